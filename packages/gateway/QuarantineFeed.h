#ifndef AGATECRANK_GATEWAY_QUARANTINEFEED_H
#define AGATECRANK_GATEWAY_QUARANTINEFEED_H

#include "CrashGuard.h"
#include "KeyedRelay.h"

/**
 * typedef QuarantineFeed - exchanges the quarantine with the other hosts
 *
 * Follows a topic of the shared log and appends to it. The log also keeps the
 * newest items for hosts that start later.
 */
typedef struct QuarantineFeed_ QuarantineFeed;

/**
 * QuarantineFeed_Create() - start to follow the topic
 * @source: to read from
 * @keyed_log: to append to
 * @relay: serves the topic to other hosts
 *
 * All pointers are borrowed.
 */
QuarantineFeed *QuarantineFeed_Create(Loop *loop, const KeyedLog *source,
                                      const KeyedLog *keyed_log,
                                      KeyedRelay *relay, CrashGuard *guard,
                                      Random *random, EventLog *log,
                                      Counters *counters);

/** QuarantineFeed_Destroy() - only after Loop_Close(); NULL is allowed */
void QuarantineFeed_Destroy(QuarantineFeed *this);

/** QuarantineFeed_Flush() - send what is due; cheap if there is nothing */
void QuarantineFeed_Flush(QuarantineFeed *this);

/** QuarantineFeed_Appends() - number of calls to append so far */
uint64_t QuarantineFeed_Appends(const QuarantineFeed *this);

#endif
