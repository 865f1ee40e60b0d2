#ifndef AGATECRANK_CORE_LOSSWATCH_H
#define AGATECRANK_CORE_LOSSWATCH_H

#include "Quarantine.h"

/**
 * typedef LossWatch - decides whether an upstream has ended under a request
 *
 * An attempt that ends without a response does not show that its upstream has
 * ended: the connection may have been reset, the response lost, or this host
 * cut off. The attempt is kept until the upstream responds to something that
 * was sent later, which clears it, or until two probes have failed or a second
 * has passed. It then counts as a loss if another upstream has
 * responded to this host in the meantime.
 */
typedef struct LossWatch_ LossWatch;

/** enum LostAttemptKind_ - how an attempt has ended without a response */
typedef enum LostAttemptKind_ {
    LOST_ATTEMPT_TIMEOUT,   /* no response so far */
    LOST_ATTEMPT_BROKEN,    /* its connection was closed by the other side */
    LOST_ATTEMPT_CANCELLED, /* by the caller; the missing response shows nothing
                             * by itself */
} LostAttemptKind;

/**
 * struct LostAttempt_ - an attempt without a response
 * @instance: identifies the incarnation of the upstream
 * @sent, @ended: times of the attempt
 */
typedef struct LostAttempt_ {
    Fingerprint fingerprint;
    uint32_t upstream;
    uint32_t instance;
    Micros sent;
    Micros ended;
    LostAttemptKind kind;
} LostAttempt;

/** LossWatch_Create() - @clock is borrowed */
LossWatch *LossWatch_Create(const Clock *clock);

/** LossWatch_Destroy() - NULL is allowed */
void LossWatch_Destroy(LossWatch *this);

/**
 * LossWatch_Add() - an attempt ended, or continues, without a response
 *
 * The oldest attempt is dropped if there are too many.
 */
void LossWatch_Add(LossWatch *this, const LostAttempt *attempt);

/**
 * LossWatch_OnResponse() - an upstream responded to a request or a probe
 * @sent: time at which that was sent
 */
void LossWatch_OnResponse(LossWatch *this, uint32_t upstream, Micros sent);

/**
 * LossWatch_OnReachable() - an upstream responded on a new connection
 * @sent: time at which it was opened
 */
void LossWatch_OnReachable(LossWatch *this, Micros sent);

/**
 * LossWatch_OnProbeFailure() - a probe got no load report
 * @sent: time at which it was sent
 * @refused: the upstream's machine responded, so this host is not cut off
 */
void LossWatch_OnProbeFailure(LossWatch *this, uint32_t upstream, Micros sent,
                              bool refused);

/**
 * LossWatch_OnProbeUnclear() - a probe ended and shows nothing
 * @accepted: its connection was accepted and closed, so that this host is not
 *            cut off. A full upstream does this, and so does a proxy before one
 *            that has ended
 *
 * The probe is repeated, after a pause, until the decision.
 */
void LossWatch_OnProbeUnclear(LossWatch *this, uint32_t upstream, Micros sent,
                              bool accepted);

/**
 * LossWatch_OnPathLost() - this host is cut off from all upstreams, until
 *     LossWatch_Clear() or LossWatch_Renew()
 */
void LossWatch_OnPathLost(LossWatch *this);

/** LossWatch_Clear() - drop all attempts; this host is not cut off */
void LossWatch_Clear(LossWatch *this);

/**
 * LossWatch_Renew() - drop the evidence so far; attempts count as ended now,
 *     and this host is not cut off
 */
void LossWatch_Renew(LossWatch *this);

/** LossWatch_OnUnreachable() - as many probes as are needed have failed */
void LossWatch_OnUnreachable(LossWatch *this, uint32_t upstream);

/**
 * LossWatch_OnInstance() - the incarnation that now uses the index
 * @instance: 0 if the upstream is no longer listed
 *
 * Attempts of other incarnations are dropped. A crashed upstream is listed for
 * seconds, so one that is not has left as planned.
 */
void LossWatch_OnInstance(LossWatch *this, uint32_t upstream,
                          uint32_t instance);

/** LossWatch_NextUpstream() - iterate over the upstreams that are watched
 * @i: start with 0; incremented
 *
 * Return: false at the end. An upstream may occur more than once.
 */
bool LossWatch_NextUpstream(const LossWatch *this, size_t *i,
                            uint32_t *upstream);

/** LossWatch_IsWatched() - whether an attempt at the upstream is kept */
bool LossWatch_IsWatched(const LossWatch *this, uint32_t upstream);

/** LossWatch_NeedsProbe() - whether a probe of the upstream helps to decide */
bool LossWatch_NeedsProbe(const LossWatch *this, uint32_t upstream);

/**
 * LossWatch_NeedsReference() - whether a response of another upstream is all
 * that is missing for a decision
 * @upstream: set to the upstream that is watched
 */
bool LossWatch_NeedsReference(const LossWatch *this, uint32_t *upstream);

/** LossWatch_NextLoss() - take the next loss that is certain */
bool LossWatch_NextLoss(LossWatch *this, LostAttempt *loss);

/**
 * LossWatch_NextProvenLoss() - take the next loss that is certain even if this
 *     host is cut off now
 *
 * The connection broke or two probes failed, and a new connection to another
 * upstream worked after that. Other losses are left for LossWatch_NextLoss().
 */
bool LossWatch_NextProvenLoss(LossWatch *this, LostAttempt *loss);

/** LossWatch_NextTime() - when to call LossWatch_NextLoss(), or -1 for never */
Micros LossWatch_NextTime(const LossWatch *this);

#endif
