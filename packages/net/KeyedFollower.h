#ifndef AGATECRANK_NET_KEYEDFOLLOWER_H
#define AGATECRANK_NET_KEYEDFOLLOWER_H

#include <glib.h>

#include "KeyedLog.h"
#include "KeyedMirror.h"
#include "Loop.h"
#include "Random.h"

/**
 * typedef KeyedFollower - keeps up with one topic of a KeyedLog
 *
 * It reads a snapshot, then the records that follow, and a snapshot again
 * when the log has dropped what it needs.
 */
typedef struct KeyedFollower_ KeyedFollower;

/**
 * struct KeyedFollowerOptions_ - how often the log is called
 * @topic: copied
 * @read_interval: time between reads that bring records, so that they come together
 * @wait: time that the log may hold a read without a record
 * @recovery_wait: the same within @recovery_time after an outage or a snapshot
 * @timeout: time beyond @wait after which a read is given up
 * @retry_delay: mean time until a read is tried again after a failure
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
 * struct KeyedFollowerHandlers_ - what the owner does
 * @on_record: a record, newer than those of the same key before
 * @on_snapshot: a snapshot is complete; @keys (set of GString) are all there
 *               are, and every other key is gone
 * @on_state: the log answers again, or no longer; @since tells from when on it
 *            may have answered again: the start of the last read that failed
 * @on_page: an answer was taken in
 */
typedef struct KeyedFollowerHandlers_ {
    void (*on_record)(void *user, const KeyedRecord *record);
    void (*on_snapshot)(void *user, GHashTable *keys);
    void (*on_state)(void *user, bool reachable, Micros since);
    void (*on_page)(void *user);
} KeyedFollowerHandlers;

/** KeyedFollower_Create() - starts to read; everything else is borrowed */
KeyedFollower *KeyedFollower_Create(Loop *loop, const KeyedLog *source,
                                    const KeyedFollowerOptions *options,
                                    const KeyedFollowerHandlers *handlers,
                                    void *user, Random *random, EventLog *log);

/** KeyedFollower_Destroy() - after Loop_Close(); NULL is allowed */
void KeyedFollower_Destroy(KeyedFollower *this);

/** KeyedFollower_RetryNow() - if it waits after a failure, read at once */
void KeyedFollower_RetryNow(KeyedFollower *this);

/** KeyedFollower_IsComplete() - a snapshot was read since the start */
bool KeyedFollower_IsComplete(const KeyedFollower *this);

/** KeyedFollower_Mirror() - what was read */
const KeyedMirror *KeyedFollower_Mirror(const KeyedFollower *this);

/** KeyedFollower_Age() - time since the last answer; -1 while the log can not
 *                        be read or no snapshot is complete */
Micros KeyedFollower_Age(const KeyedFollower *this);

#endif
