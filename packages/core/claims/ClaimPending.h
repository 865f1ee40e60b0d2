#ifndef AGATECRANK_CORE_CLAIMPENDING_H
#define AGATECRANK_CORE_CLAIMPENDING_H

#include <glib.h>

#include "Clock.h"
#include "IdempotencyKey.h"

/** enum PendingState_ - event for which the requests of a key wait */
typedef enum PendingState_ {
    PENDING_CLAIMING, /* own claim is read back from the log */
    PENDING_QUERYING, /* reply of the holder or the issuer */
    PENDING_RUNNING,  /* end of the request that this host dispatched */
} PendingState;

/** struct Waiter_ - a request that waits for an answer */
typedef struct Waiter_ {
    uint64_t request_id;
    Micros deadline;
} Waiter;

/**
 * struct Pending_ - a key with open requests on this host
 * @waiters: requests that wait for dispatch or an answer, without @runner
 * @number: number of the claim or the query
 * @next_retry: monotonic time of the next submission or query
 * @retry_interval: time between retries, doubled up to a maximum
 * @in_direct_batch: the claim is queued for an append by this host itself
 * @dispatched: Claims_NextAction() has returned the dispatch of @runner
 * @runner: dispatched request, while PENDING_RUNNING
 * @holder: host that is queried, while PENDING_QUERYING
 * @issued: the key was issued by a host
 * @may_grant: the queried host issued the key and may grant it
 */
typedef struct Pending_ {
    KeyHash key;
    uint64_t digest;
    uint64_t key_time_ms;
    uint32_t partition;
    PendingState state;
    GArray *waiters;
    uint64_t number;
    Micros next_retry;
    Micros retry_interval;
    bool in_direct_batch;
    bool dispatched;
    Waiter runner;
    GString *holder;
    uint64_t holder_incarnation;
    bool issued;
    bool may_grant;
} Pending;

/** typedef PendingSet - pending keys, indexed by key and by request */
typedef struct PendingSet_ PendingSet;

PendingSet *PendingSet_Create(void);
void PendingSet_Destroy(PendingSet *this);

/** PendingSet_Add() - add a pending key without waiters */
Pending *PendingSet_Add(PendingSet *this, KeyHash key);

/** PendingSet_Remove() - remove and free a key and its waiters */
void PendingSet_Remove(PendingSet *this, Pending *pending);

/** PendingSet_Find() - NULL if the key is not pending */
Pending *PendingSet_Find(const PendingSet *this, KeyHash key);

/** PendingSet_AddWaiter() - add a request that waits for the key */
void PendingSet_AddWaiter(PendingSet *this, Pending *pending, Waiter waiter);

/** PendingSet_TakeWaiter() - remove waiter @i and return it */
Waiter PendingSet_TakeWaiter(PendingSet *this, Pending *pending, guint i);

/** PendingSet_SetRunner() - set the dispatched request of the key */
void PendingSet_SetRunner(PendingSet *this, Pending *pending, Waiter runner);

/** PendingSet_FindRequest() - key of a request; NULL if unknown */
Pending *PendingSet_FindRequest(const PendingSet *this, uint64_t request_id);

/** PendingSet_Count() - number of pending keys */
guint PendingSet_Count(const PendingSet *this);

/** PendingSet_Get() - pending key @i; a removal moves the last to its place */
Pending *PendingSet_Get(const PendingSet *this, guint i);

#endif
