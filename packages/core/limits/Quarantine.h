#ifndef AGATECRANK_CORE_QUARANTINE_H
#define AGATECRANK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef Quarantine - refuses requests that crash the upstreams
 *
 * A request whose fingerprint has cost two upstreams is refused on every
 * host until the entry expires or an operator releases it.
 */
typedef struct Quarantine_ Quarantine;

/** Distinct upstreams a fingerprint must have cost before it is refused */
#define QUARANTINE_LOSS_THRESHOLD 2

/**
 * struct Fingerprint_ - identity of a request for Quarantine
 * @line: line index; a fingerprint never affects another line
 */
typedef struct Fingerprint_ {
    uint32_t line;
    uint64_t high;
    uint64_t low;
} Fingerprint;

/**
 * struct QuarantineOptions_ - bounds
 * @max_entries: suspects kept, oldest dropped first; 0 for 4096
 * @suspect_time: a suspect is forgotten after it, in microseconds; 0 for 60 s
 * @refuse_time: a refusal ends after it, in microseconds; 0 for 10 min
 */
typedef struct QuarantineOptions_ {
    uint32_t max_entries;
    Micros suspect_time;
    Micros refuse_time;
} QuarantineOptions;

/** enum QuarantineVerdict - what to do with a request */
typedef enum QuarantineVerdict_ {
    QUARANTINE_PASS,
    QUARANTINE_ISOLATE, /* suspect: avoid upstreams that run other suspects */
    QUARANTINE_REFUSE,  /* answer not-run, reason "quarantined" */
} QuarantineVerdict;

/**
 * struct QuarantineItem_ - one fingerprint, for gossip and for operators
 * @losses: distinct upstreams lost
 * @upstreams: those upstreams, @losses of them
 * @age: time since the last loss, in microseconds
 * @released: an operator released it; the newest of release and loss counts
 */
typedef struct QuarantineItem_ {
    Fingerprint fingerprint;
    uint32_t losses;
    uint32_t upstreams[QUARANTINE_LOSS_THRESHOLD];
    Micros age;
    bool released;
} QuarantineItem;

/** Quarantine_Create() - @clock is borrowed */
Quarantine *Quarantine_Create(const QuarantineOptions *options,
                              const Clock *clock);

/** Quarantine_Destroy() - release it */
void Quarantine_Destroy(Quarantine *this);

/**
 * Quarantine_Fingerprint() - fingerprint of a request
 * @body_digest: digest of the body, empty for none
 *
 * The same on every host, so that it can be sent to the peers.
 */
Fingerprint Quarantine_Fingerprint(uint32_t line, Str method, Str path,
                                   Str body_digest);

/** Quarantine_Check() - before dispatch */
QuarantineVerdict Quarantine_Check(Quarantine *this,
                                   const Fingerprint *fingerprint);

/**
 * Quarantine_SuspectUpstreams() - upstreams that run a suspect now, to be avoided by
 * requests with the verdict QUARANTINE_ISOLATE
 *
 * Return: number of upstreams written, at most @max.
 */
size_t Quarantine_SuspectUpstreams(Quarantine *this, uint32_t *upstreams,
                                   size_t max);

/** Quarantine_OnSent() - a request was sent to @upstream */
void Quarantine_OnSent(Quarantine *this, const Fingerprint *fingerprint,
                       uint32_t upstream);

/** Quarantine_OnResponse() - the upstream answered; clears suspicion */
void Quarantine_OnResponse(Quarantine *this, const Fingerprint *fingerprint,
                           uint32_t upstream);

/**
 * Quarantine_OnUpstreamUnreachable() - an upstream was lost while requests ran on it
 * @running: fingerprints of all requests that this host had running there;
 *           each counts as ended
 */
void Quarantine_OnUpstreamUnreachable(Quarantine *this, uint32_t upstream,
                                      const Fingerprint *running, size_t n);

/** Quarantine_OnPeerItem() - an item of another host */
void Quarantine_OnPeerItem(Quarantine *this, const QuarantineItem *item);

/** Quarantine_NextItem() - next changed item for the peers; false if none */
bool Quarantine_NextItem(Quarantine *this, QuarantineItem *item);

/** Quarantine_List() - refused fingerprints, then suspects, newest first */
size_t Quarantine_List(Quarantine *this, QuarantineItem *items, size_t max);

/**
 * Quarantine_Release() - an operator lets a fingerprint run again
 *
 * Return: 0, or ERR_NOT_FOUND.
 */
int Quarantine_Release(Quarantine *this, const Fingerprint *fingerprint);

/** Quarantine_EntryCount() - fingerprints kept now */
size_t Quarantine_EntryCount(const Quarantine *this);

/** Quarantine_Bytes() - memory held, in bytes */
size_t Quarantine_Bytes(const Quarantine *this);

#endif
