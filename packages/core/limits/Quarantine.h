#ifndef AGATECRANK_CORE_QUARANTINE_H
#define AGATECRANK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef Quarantine - refuses requests that crash upstreams
 *
 * If an upstream becomes unreachable while a request runs on it, a loss is
 * counted for the fingerprint of the request. One loss makes the fingerprint a
 * suspect. After losses of two distinct upstreams it is refused on every host
 * for a time that grows with the number of losses. Then hosts admit it again,
 * each at a time of its own, so that a request that still crashes upstreams
 * reaches few of them. A response clears it, and so does an operator.
 */
typedef struct Quarantine_ Quarantine;

/** Losses of distinct upstreams after which a fingerprint is refused */
#define QUARANTINE_LOSS_THRESHOLD 2

/** Losses that are kept for a fingerprint */
#define QUARANTINE_LOSSES_MAX 6

/**
 * struct Fingerprint_ - identity of a request for Quarantine
 * @line: line index; a fingerprint never affects another line
 * @high, @low: two independent hashes of the request
 */
typedef struct Fingerprint_ {
    uint32_t line;
    uint64_t high;
    uint64_t low;
} Fingerprint;

/**
 * struct QuarantineOptions_ - bounds
 * @max_entries: entries kept; if exceeded, one of the oldest is evicted,
 *   suspects before refused fingerprints; 0 for 4096
 * @suspect_ttl: microseconds after which a suspect expires; 0 for 60 s
 * @refuse_ttl: microseconds for which a fingerprint is refused after two
 *   losses, and after which a release expires; 0 for 10 min. The refusal lasts
 *   at least 5 min after three losses, 50 min after four and a day after more.
 * @host_salt: differs between hosts; the end of a refusal is delayed by up to
 *   its duration, as this number decides; 0 for no delay
 * @other_losses: number of other upstreams that are lost at about the same time
 *   from which on two losses are not enough to refuse a fingerprint: upstreams
 *   fail for another reason then; 0 for no limit
 * @newest_only: the peers see only the newest item that any host has sent for
 *   a fingerprint, so that an item which lacks something is replaced by the
 *   hosts that know it
 */
typedef struct QuarantineOptions_ {
    uint32_t max_entries;
    Micros suspect_ttl;
    Micros refuse_ttl;
    uint64_t host_salt;
    uint32_t other_losses;
    bool newest_only;
} QuarantineOptions;

/** enum QuarantineVerdict - how to handle a request */
typedef enum QuarantineVerdict_ {
    QUARANTINE_PASS,
    QUARANTINE_ISOLATE, /* avoid upstreams that run other suspects */
    QUARANTINE_REFUSE,  /* respond with not-run, reason "quarantined" */
} QuarantineVerdict;

/**
 * struct QuarantineItem_ - one fingerprint, for peers and for operators
 * @losses: number of distinct upstreams that became unreachable; 0 without
 *   @released if this host has forgotten the fingerprint
 * @upstreams: those upstreams, @losses of them
 * @age: time since the last loss, or since the release if @released, in
 *   microseconds
 * @released: an operator released it; the later of release and loss takes
 *   precedence
 */
typedef struct QuarantineItem_ {
    Fingerprint fingerprint;
    uint32_t losses;
    uint32_t upstreams[QUARANTINE_LOSSES_MAX];
    Micros age;
    bool released;
} QuarantineItem;

/**
 * Quarantine_Create() - create an instance without entries
 * @clock: borrowed
 */
Quarantine *Quarantine_Create(const QuarantineOptions *options,
                              const Clock *clock);

/** Quarantine_Destroy() - free the instance */
void Quarantine_Destroy(Quarantine *this);

/**
 * Quarantine_Fingerprint() - compute the fingerprint of a request
 * @body_digest: digest of the body, empty if there is none
 *
 * The result is the same on every host, so that it can be sent to the peers.
 */
Fingerprint Quarantine_Fingerprint(uint32_t line, Str method, Str path,
                                   Str body_digest);

/** Quarantine_Check() - decide on a request before it is sent */
QuarantineVerdict Quarantine_Check(Quarantine *this,
                                   const Fingerprint *fingerprint);

/** Quarantine_LossCount() - losses of distinct upstreams known for a request */
uint32_t Quarantine_LossCount(Quarantine *this,
                              const Fingerprint *fingerprint);

/**
 * Quarantine_SuspectUpstreams() - upstreams that run a suspect now
 *
 * Requests with the verdict QUARANTINE_ISOLATE must avoid them.
 *
 * Return: number of upstreams written, at most @max.
 */
size_t Quarantine_SuspectUpstreams(Quarantine *this, uint32_t *upstreams,
                                   size_t max);

/** Quarantine_OnSent() - a request was sent to @upstream */
void Quarantine_OnSent(Quarantine *this, const Fingerprint *fingerprint,
                       uint32_t upstream);

/**
 * Quarantine_OnAttemptEnd() - an attempt ended without a response that shows
 * anything about the request
 */
void Quarantine_OnAttemptEnd(Quarantine *this, const Fingerprint *fingerprint,
                             uint32_t upstream);

/**
 * Quarantine_OnResponse() - the upstream executed the request and responded
 *
 * Clears the suspicion. A fingerprint that is refused stays refused; with up
 * to three losses, this host admits it until the next loss.
 */
void Quarantine_OnResponse(Quarantine *this, const Fingerprint *fingerprint,
                           uint32_t upstream);

/**
 * Quarantine_OnUpstreamUnreachable() - an upstream became unreachable while
 * requests ran on it
 * @running: fingerprints of all requests of this host that ran on it; all of
 *   them are counted as ended
 * @n: number of fingerprints
 */
void Quarantine_OnUpstreamUnreachable(Quarantine *this, uint32_t upstream,
                                      const Fingerprint *running, size_t n);

/**
 * Quarantine_OnLoss() - an upstream became unreachable while a request ran on
 * it
 * @when: time at which the attempt ended, not after now
 *
 * Return: false if the loss does not count, because the request has got a
 * response since or the upstream is counted already.
 */
bool Quarantine_OnLoss(Quarantine *this, const Fingerprint *fingerprint,
                       uint32_t upstream, Micros when);

/**
 * Quarantine_OnPeerItem() - merge an item of another host
 *
 * Return: 0; ERR_INVALID if the item contradicts itself; ERR_EXPIRED if it is
 * too old to matter.
 */
int Quarantine_OnPeerItem(Quarantine *this, const QuarantineItem *item);

/**
 * Quarantine_OnPeerForgot() - the newest item of a fingerprint was removed
 *
 * With @newest_only, the item is sent again while it matters to this host.
 */
void Quarantine_OnPeerForgot(Quarantine *this, const Fingerprint *fingerprint);

/**
 * Quarantine_SetPeersReachable() - whether items reach the peers
 *
 * A fingerprint with three losses or more stays refused while they do not: the
 * hosts could not tell each other of a further loss.
 */
void Quarantine_SetPeersReachable(Quarantine *this, bool reachable);

/**
 * Quarantine_NextItem() - next changed item to send to the peers
 *
 * Refused fingerprints come first.
 *
 * Return: false if there is none.
 */
bool Quarantine_NextItem(Quarantine *this, QuarantineItem *item);

/** Quarantine_NextSendTime() - when the next item is due, or -1 for never */
Micros Quarantine_NextSendTime(const Quarantine *this);

/** Quarantine_Resend() - an item that was taken did not reach the peers */
void Quarantine_Resend(Quarantine *this, const Fingerprint *fingerprint);

/**
 * Quarantine_NextForgotten() - drop the expired entries
 *
 * Return: true with the fingerprint of one that this host had sent to the
 * peers; false if there is none left.
 */
bool Quarantine_NextForgotten(Quarantine *this, Fingerprint *fingerprint);

/**
 * Quarantine_RefusedUntil() - time at which this host admits a refused request
 * again if there is no further loss
 */
Micros Quarantine_RefusedUntil(Quarantine *this,
                               const Fingerprint *fingerprint);

/**
 * Quarantine_List() - list refused fingerprints, then suspects
 *
 * Each group is ordered from the newest to the oldest.
 *
 * Return: number of items written, at most @max.
 */
size_t Quarantine_List(Quarantine *this, QuarantineItem *items, size_t max);

/**
 * Quarantine_Release() - an operator permits a fingerprint again
 *
 * Return: 0, or ERR_NOT_FOUND.
 */
int Quarantine_Release(Quarantine *this, const Fingerprint *fingerprint);

/** Quarantine_EntryCount() - number of fingerprints kept */
size_t Quarantine_EntryCount(const Quarantine *this);

/** Quarantine_Bytes() - memory used, in bytes */
size_t Quarantine_Bytes(const Quarantine *this);

#endif
