#ifndef AGATECRANK_GATEWAY_CRASHGUARD_H
#define AGATECRANK_GATEWAY_CRASHGUARD_H

#include "BodyBuffer.h"
#include "Counters.h"
#include "EventLog.h"
#include "LossWatch.h"
#include "QuarantineExchange.h"
#include "UpstreamSet.h"

/**
 * typedef CrashGuard - refuses requests that crash upstreams, on all hosts
 *
 * Joins LossWatch, which decides what a host has observed, the Quarantine, and
 * the QuarantineExchange, which tells it to the other hosts. Upstreams are
 * known to the quarantine by their incarnation: one that crashes again counts
 * again.
 */
typedef struct CrashGuard_ CrashGuard;

/**
 * CrashGuard_Create() - all pointers are borrowed
 * @host: id of this host
 */
CrashGuard *CrashGuard_Create(const UpstreamSet *upstreams, Str host,
                              const Clock *clock, Random *random,
                              EventLog *log, Counters *counters);

/** CrashGuard_Destroy() - NULL is allowed */
void CrashGuard_Destroy(CrashGuard *this);

/** CrashGuard_Fingerprint() - identity of a request; @body may be NULL */
Fingerprint CrashGuard_Fingerprint(Str method, Str path,
                                   const BodyBuffer *body);

/** CrashGuard_Refuses() - whether the request must not be sent now */
bool CrashGuard_Refuses(CrashGuard *this, const Fingerprint *fingerprint);

/**
 * CrashGuard_RefusalTime() - time from now on in which the request is refused
 */
Micros CrashGuard_RefusalTime(CrashGuard *this,
                              const Fingerprint *fingerprint);

/** CrashGuard_LossCount() - upstreams known to be lost to the request */
uint32_t CrashGuard_LossCount(CrashGuard *this,
                              const Fingerprint *fingerprint);

/** CrashGuard_Instance() - incarnation of an upstream, 0 if it is unlisted */
uint32_t CrashGuard_Instance(const CrashGuard *this, uint32_t upstream);

/** CrashGuard_OnSuccess() - an upstream executed the request */
void CrashGuard_OnSuccess(CrashGuard *this, const Fingerprint *fingerprint,
                          uint32_t upstream);

/** CrashGuard_OnAlive() - an upstream responded to what was sent at @sent */
void CrashGuard_OnAlive(CrashGuard *this, uint32_t upstream, Micros sent);

/** CrashGuard_AliveAt() - time of the upstream's last response, 0 for none */
Micros CrashGuard_AliveAt(const CrashGuard *this, uint32_t upstream);

/** CrashGuard_OnNoResponse() - see LossWatch_Add() */
void CrashGuard_OnNoResponse(CrashGuard *this, const LostAttempt *attempt);

/** CrashGuard_OnProbeFailure() - see LossWatch_OnProbeFailure() */
void CrashGuard_OnProbeFailure(CrashGuard *this, uint32_t upstream,
                               Micros sent, bool refused);

/** CrashGuard_OnProbeUnclear() - see LossWatch_OnProbeUnclear() */
void CrashGuard_OnProbeUnclear(CrashGuard *this, uint32_t upstream,
                               Micros sent, bool accepted);

/** CrashGuard_OnReachable() - see LossWatch_OnReachable() */
void CrashGuard_OnReachable(CrashGuard *this, Micros sent);

/** CrashGuard_OnPathLost() - this host is cut off from all upstreams */
void CrashGuard_OnPathLost(CrashGuard *this);

/**
 * CrashGuard_OnPathRestored() - this host reaches upstreams again
 * @duration: time for which it has not
 *
 * Attempts without a response are decided on by what is learnt from now on.
 * Those of a longer time ago are dropped.
 */
void CrashGuard_OnPathRestored(CrashGuard *this, Micros duration);

/** CrashGuard_OnUnreachable() - the last probes of an upstream have failed */
void CrashGuard_OnUnreachable(CrashGuard *this, uint32_t upstream);

/** CrashGuard_OnUpstreamsChanged() - the set of upstreams has changed */
void CrashGuard_OnUpstreamsChanged(CrashGuard *this);

/** CrashGuard_NextProbe() - see LossWatch_NextUpstream(), but only upstreams
 *                           of which a probe would help to decide */
bool CrashGuard_NextProbe(const CrashGuard *this, size_t *i,
                          uint32_t *upstream);

/** CrashGuard_IsWatched() - see LossWatch_IsWatched() */
bool CrashGuard_IsWatched(const CrashGuard *this, uint32_t upstream);

/** CrashGuard_NeedsReference() - see LossWatch_NeedsReference() */
bool CrashGuard_NeedsReference(const CrashGuard *this, uint32_t *upstream);

/**
 * CrashGuard_OnTime() - count the losses that are certain
 * @reachable: this host reaches upstreams; if not, or if it is in doubt, see
 *             LossWatch_NextProvenLoss()
 */
void CrashGuard_OnTime(CrashGuard *this, bool reachable);

/** CrashGuard_NextTime() - when to call CrashGuard_OnTime(), -1 for never */
Micros CrashGuard_NextTime(const CrashGuard *this);

/**
 * CrashGuard_NextBatch() - see QuarantineExchange_NextBatch()
 */
size_t CrashGuard_NextBatch(CrashGuard *this, QuarantineItem *items);

/** CrashGuard_NextBatchTime() - see QuarantineExchange_NextTime() */
Micros CrashGuard_NextBatchTime(CrashGuard *this);

/** CrashGuard_OnBatchEnd() - see QuarantineExchange_OnBatchEnd() */
void CrashGuard_OnBatchEnd(CrashGuard *this, int code);

/**
 * CrashGuard_OnPeerItem() - an item of another host or of an earlier life
 *
 * Losses of upstreams that have responded to this host since are left out.
 *
 * Return: 0, also if nothing is left; otherwise see
 * QuarantineExchange_Receive().
 */
int CrashGuard_OnPeerItem(CrashGuard *this, const QuarantineItem *item);

/** CrashGuard_OnPeerForgot() - see Quarantine_OnPeerForgot() */
void CrashGuard_OnPeerForgot(CrashGuard *this, const Fingerprint *fingerprint);

/** CrashGuard_List() - see Quarantine_List() */
size_t CrashGuard_List(CrashGuard *this, QuarantineItem *items, size_t max);

/** CrashGuard_SetPeersReachable() - see Quarantine_SetPeersReachable() */
void CrashGuard_SetPeersReachable(CrashGuard *this, bool reachable);

#endif
