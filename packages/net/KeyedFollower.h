#ifndef AGATECRANK_NET_KEYEDFOLLOWER_H
#define AGATECRANK_NET_KEYEDFOLLOWER_H

#include <glib.h>

#include "KeyedLog.h"
#include "KeyedMirror.h"
#include "Loop.h"
#include "Random.h"

/**
 * typedef KeyedFollower - follows one topic of a KeyedLog
 *
 * It reads a snapshot and then the records that follow. If the log has dropped
 * records before they were read, or has come back from an older copy (a new
 * era), it starts again with a snapshot. Pages of an earlier era are not used.
 */
typedef struct KeyedFollower_ KeyedFollower;

/**
 * struct KeyedFollowerOptions_ - settings
 * @topic: copied
 * @read_interval: pause after a read that returned records, so that the next
 *                 read returns several at once
 * @wait: longest time that the log may wait for a record (long poll)
 * @recovery_wait: replaces @wait during the recovery time
 * @recovery_time: time after an outage or an expired offset in which
 *                 @recovery_wait applies
 * @timeout: a read times out this long after the end of its wait
 * @retry_delay: mean delay between a failed read and the next one
 */
typedef struct KeyedFollowerOptions_ {
    Str topic;
    Micros read_interval;
    Micros wait;
    Micros recovery_wait;
    Micros recovery_time;
    Micros timeout;
    Micros retry_delay;
} KeyedFollowerOptions;

/**
 * struct KeyedFollowerHandlers_ - callbacks of the owner
 * @on_record: a record, newer than the previous records of its key
 * @on_snapshot: a snapshot is complete; @keys (a set of GString) has all keys
 *               of the topic, and the owner drops every other key
 * @on_state: the log has become reachable or unreachable; @since is the start
 *            of the last failed read, the earliest time at which the log may
 *            have become reachable again
 * @on_page: the records of a response have been processed
 * @on_era: the log has come back from an older copy, not before @since; a
 *          snapshot follows, and the newest record of a key may be older than
 *          one that was read before. May be NULL
 */
typedef struct KeyedFollowerHandlers_ {
    void (*on_record)(void *user, const KeyedRecord *record);
    void (*on_snapshot)(void *user, GHashTable *keys);
    void (*on_state)(void *user, bool reachable, Micros since);
    void (*on_page)(void *user);
    void (*on_era)(void *user, Micros since);
} KeyedFollowerHandlers;

/**
 * KeyedFollower_Create() - start to follow a topic
 *
 * @options and @handlers are copied, all other pointers are borrowed.
 */
KeyedFollower *KeyedFollower_Create(Loop *loop, const KeyedLog *keyed_log,
                                    const KeyedFollowerOptions *options,
                                    const KeyedFollowerHandlers *handlers,
                                    void *user, Random *random, EventLog *log);

/** KeyedFollower_Destroy() - only after Loop_Close(); NULL is allowed */
void KeyedFollower_Destroy(KeyedFollower *this);

/** KeyedFollower_RetryNow() - skip the retry delay after a failed read */
void KeyedFollower_RetryNow(KeyedFollower *this);

/** KeyedFollower_IsComplete() - whether a snapshot was ever completed */
bool KeyedFollower_IsComplete(const KeyedFollower *this);

/** KeyedFollower_Mirror() - copy of the topic as read so far */
const KeyedMirror *KeyedFollower_Mirror(const KeyedFollower *this);

/** KeyedFollower_Era() - era of the mirror */
uint64_t KeyedFollower_Era(const KeyedFollower *this);

/**
 * KeyedFollower_IsRestored() - whether the snapshot being read is the first one
 *     of a new era
 */
bool KeyedFollower_IsRestored(const KeyedFollower *this);

/** KeyedFollower_IsReachable() - whether the last read has succeeded */
bool KeyedFollower_IsReachable(const KeyedFollower *this);

/**
 * KeyedFollower_Age() - time for which the copy may be out of date
 *
 * Return: -1 while the log is unreachable or a snapshot is being read.
 */
Micros KeyedFollower_Age(const KeyedFollower *this);

/**
 * KeyedFollower_KnownAt() - time at which the copy had all records of the log,
 *     on the clock of Clock_Boot()
 *
 * Unlike KeyedFollower_Age() it is the begin of a read, not its end, and is kept
 * while the log is unreachable.
 *
 * Return: -1 before the first snapshot is complete.
 */
Micros KeyedFollower_KnownAt(const KeyedFollower *this);

#endif
