#ifndef AGATECRANK_GATEWAY_ELIGIBILITY_H
#define AGATECRANK_GATEWAY_ELIGIBILITY_H

#include "UpstreamLimits.h"

/**
 * typedef Eligibility - which upstreams this host may send requests to now
 *
 * Holds what an upstream has announced and what this host has found out, by
 * incarnation, and reduces it to one reason for each upstream.
 */
typedef struct Eligibility_ Eligibility;

/** Longest pause of an upstream that is believed */
#define UPSTREAM_PAUSE_MAX (120 * MICROS_PER_S)

/** enum EligibilityReason_ - why no request may be sent, weakest reason first */
typedef enum EligibilityReason_ {
    ELIGIBILITY_OK,
    ELIGIBILITY_EJECTED,   /* it fails or is unreachable; the last resort */
    ELIGIBILITY_LIMIT,     /* this host's part of its limit is used up */
    ELIGIBILITY_PAUSED,    /* it wants nothing from this host for a time */
    ELIGIBILITY_EVACUATED, /* operators evacuate its failure domain */
    ELIGIBILITY_DRAINING,  /* its description says so */
    ELIGIBILITY_LEAVING,   /* its responses say so */
    ELIGIBILITY_COUNT,
} EligibilityReason;

/** Eligibility_Create() - all pointers are borrowed */
Eligibility *Eligibility_Create(UpstreamLimits *limits, const Clock *clock);

/** Eligibility_Destroy() - NULL is allowed */
void Eligibility_Destroy(Eligibility *this);

/** Eligibility_ReasonName() - static lower-case word */
const char *Eligibility_ReasonName(EligibilityReason reason);

/**
 * Eligibility_OnListed() - the index is used by an incarnation from now on
 * @instance: identifies it on all hosts; 0 if unknown
 */
void Eligibility_OnListed(Eligibility *this, uint32_t upstream,
                          uint32_t instance);

/** Eligibility_OnRemoved() - the upstream is not listed any more */
void Eligibility_OnRemoved(Eligibility *this, uint32_t upstream);

/** Eligibility_SetDraining() - set what its description says */
void Eligibility_SetDraining(Eligibility *this, uint32_t upstream,
                             bool draining);

/**
 * Eligibility_SetEvacuated() - set whether operators evacuate the failure
 *     domain of the upstream
 */
void Eligibility_SetEvacuated(Eligibility *this, uint32_t upstream,
                              bool evacuated);

/**
 * Eligibility_Inherit() - an upstream uses the address of an incarnation that
 *     has ended
 * @upstream: listed
 * @predecessor: instance of the one that has ended; it is not listed any more
 * @since: time of the start of the new one by the clock of this host
 *
 * Responses to requests that were sent since then are of the new incarnation,
 * whether they have arrived or not. If the clock of this host is fast, they may
 * be of the one before, so load probes ask whether the new one leaves.
 */
void Eligibility_Inherit(Eligibility *this, uint32_t upstream,
                         uint32_t predecessor, Micros since);

/**
 * Eligibility_SetLeaving() - a response of the upstream says that it will end
 * @sent: time at which the request was sent
 *
 * Holds for its incarnation, also while that is not listed.
 *
 * Return: whether this was unknown.
 */
bool Eligibility_SetLeaving(Eligibility *this, uint32_t upstream, Micros sent);

/**
 * Eligibility_OnPeerNotice() - another host has received a response of the
 *     upstream that says so
 * @instance: of the upstream; it need not be listed
 *
 * A host may be mistaken, so this holds for 60 s, load probes go on, and a
 * response to one that was sent since then confirms or refutes it.
 */
bool Eligibility_OnPeerNotice(Eligibility *this, uint32_t instance,
                              Micros sent);

/**
 * Eligibility_OnNotLeaving() - a response of the upstream does not say that it
 *     will end; ends what it has inherited or another host has said
 * @sent: time at which the request was sent
 */
void Eligibility_OnNotLeaving(Eligibility *this, uint32_t upstream,
                              Micros sent);

/**
 * Eligibility_Pause() - the upstream wants nothing from this host for a time
 * @time: from now, UPSTREAM_PAUSE_MAX at most
 * @sent: time at which the request was sent that it has responded to
 *
 * A shorter one does not end a longer one before. Holds for its incarnation,
 * also while that is not listed.
 *
 * Return: whether there was none.
 */
bool Eligibility_Pause(Eligibility *this, uint32_t upstream, Micros time,
                       Micros sent);

/** Eligibility_IsPaused() - whether it may get neither requests nor probes */
bool Eligibility_IsPaused(const Eligibility *this, uint32_t upstream);

/** Eligibility_IsEnding() - whether the upstream is draining or leaving */
bool Eligibility_IsEnding(const Eligibility *this, uint32_t upstream);

/**
 * Eligibility_Eject() - the upstream fails; each further ejection in a row
 *     lasts longer
 */
void Eligibility_Eject(Eligibility *this, uint32_t upstream);

/** Eligibility_OnSuccess() - the upstream has processed a request */
void Eligibility_OnSuccess(Eligibility *this, uint32_t upstream);

/** Eligibility_OnSent() - the upstream is sent a request */
void Eligibility_OnSent(Eligibility *this, uint32_t upstream);

/** Eligibility_SaveEjections() - remember the ejections of all upstreams */
void Eligibility_SaveEjections(Eligibility *this);

/** Eligibility_RestoreEjections() - forget those since they were saved */
void Eligibility_RestoreEjections(Eligibility *this);

/** Eligibility_Reason() - strongest reason against a request to the upstream */
EligibilityReason Eligibility_Reason(const Eligibility *this,
                                     uint32_t upstream);

/**
 * Eligibility_Wait() - time until the upstream may get a request
 *
 * Return: 0 if it may now, -1 if the time is unknown.
 */
Micros Eligibility_Wait(const Eligibility *this, uint32_t upstream);

/** Eligibility_MayProbe() - whether its load may be probed for a request */
bool Eligibility_MayProbe(const Eligibility *this, uint32_t upstream);

/** Eligibility_Count() - number of listed upstreams with a reason */
uint32_t Eligibility_Count(const Eligibility *this, EligibilityReason reason);

#endif
