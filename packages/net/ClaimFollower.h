#ifndef AGATECRANK_NET_CLAIMFOLLOWER_H
#define AGATECRANK_NET_CLAIMFOLLOWER_H

#include "Claims.h"
#include "LogClient.h"

/** typedef ClaimFollower - reads and appends the claims streams of a host */
typedef struct ClaimFollower_ ClaimFollower;

typedef void ClaimFollowerHandler(void *user);

/**
 * ClaimFollower_Create() - starts reading every partition at once
 * @on_event: called after each event; the owner then drains @claims
 */
ClaimFollower *ClaimFollower_Create(Loop *loop, Claims *claims,
                                    uint32_t partitions, LogClient *log,
                                    Micros timeout,
                                    ClaimFollowerHandler *on_event,
                                    void *user);

/** ClaimFollower_Destroy() - stop and release */
void ClaimFollower_Destroy(ClaimFollower *this);

/** ClaimFollower_Append() - carry out a CLAIM_APPEND */
void ClaimFollower_Append(ClaimFollower *this, const ClaimAction *action);

#endif
