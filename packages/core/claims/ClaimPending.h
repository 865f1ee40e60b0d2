#ifndef AGATECRANK_CORE_CLAIMPENDING_H
#define AGATECRANK_CORE_CLAIMPENDING_H

#include <glib.h>

#include "Clock.h"
#include "IdempotencyKey.h"

/** enum PendingState - what the requests of a key wait for */
typedef enum PendingState_ {
    PENDING_CLAIMING, /* own claim to be read back from the log */
    PENDING_QUERYING, /* holder's or issuer's reply */
    PENDING_RUNNING,  /* end of the request that runs on this host */
} PendingState;

/** struct Waiter_ - a request that waits for an answer */
typedef struct Waiter_ {
    uint64_t request_id;
    Micros deadline;
} Waiter;

/**
 * struct Pending_ - a key with open requests on this host
 * @waiters: requests to be dispatched or answered; without @runner
 * @number: claim or query number
 * @next_retry: time of the next resubmit or query
 * @retry_interval: time between tries
 * @in_direct_batch: the claim is queued for a direct append
 * @dispatched: the dispatch action was handed out
 * @runner: request that runs, while PENDING_RUNNING
 * @holder: host asked, while PENDING_QUERYING
 * @issued: the key was issued by a balancer
 * @may_grant: the host asked is the issuer
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

/** typedef PendingSet - pending keys, found by key or request */
typedef struct PendingSet_ PendingSet;

PendingSet *PendingSet_Create(void);
void PendingSet_Destroy(PendingSet *this);

/** PendingSet_Add() - a pending key without waiters */
Pending *PendingSet_Add(PendingSet *this, KeyHash key);

/** PendingSet_Remove() - release a key and its waiters */
void PendingSet_Remove(PendingSet *this, Pending *pending);

/** PendingSet_Find() - NULL if the key is not pending */
Pending *PendingSet_Find(const PendingSet *this, KeyHash key);

/** PendingSet_AddWaiter() - let a request wait for the key */
void PendingSet_AddWaiter(PendingSet *this, Pending *pending, Waiter waiter);

/** PendingSet_TakeWaiter() - remove waiter @i and return it */
Waiter PendingSet_TakeWaiter(PendingSet *this, Pending *pending, guint i);

/** PendingSet_SetRunner() - make a request the one that runs */
void PendingSet_SetRunner(PendingSet *this, Pending *pending, Waiter runner);

/** PendingSet_FindRequest() - key on which a request waits or runs */
Pending *PendingSet_FindRequest(const PendingSet *this, uint64_t request_id);

/** PendingSet_Count() - number of pending keys */
guint PendingSet_Count(const PendingSet *this);

/** PendingSet_Get() - pending key @i; a removal moves the last to its place */
Pending *PendingSet_Get(const PendingSet *this, guint i);

#endif
