#ifndef AGATECRANK_NET_CLAIMFOLLOWER_H
#define AGATECRANK_NET_CLAIMFOLLOWER_H

#include "Claims.h"
#include "LogClient.h"

/**
 * typedef ClaimFollower - carries out the log reads and appends of Claims
 *
 * Each partition of the claims is a stream of the log, which is read with long
 * polls without end.
 */
typedef struct ClaimFollower_ ClaimFollower;

/** typedef ClaimFollowerHandler - the claims may have new actions to run */
typedef void ClaimFollowerHandler(void *user);

/**
 * ClaimFollower_Create() - start to read all partitions
 * @claims, @log: borrowed
 * @partitions: number of claims streams
 * @timeout: for the response to a read or an append
 * @on_event: called after each completed read or append; the owner then runs
 *            the actions of @claims
 */
ClaimFollower *ClaimFollower_Create(Loop *loop, Claims *claims,
                                    uint32_t partitions, LogClient *log,
                                    Micros timeout,
                                    ClaimFollowerHandler *on_event,
                                    void *user);

/** ClaimFollower_Destroy() - stop and release */
void ClaimFollower_Destroy(ClaimFollower *this);

/**
 * ClaimFollower_Append() - carry out a CLAIM_APPEND action
 *
 * The result goes to Claims_OnAppendResult().
 */
void ClaimFollower_Append(ClaimFollower *this, const ClaimAction *action);

#endif
