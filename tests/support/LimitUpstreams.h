#ifndef AGATECRANK_TESTS_LIMITUPSTREAMS_H
#define AGATECRANK_TESTS_LIMITUPSTREAMS_H

#include "Dispatcher.h"
#include "EventQueue.h"
#include "LimitSimulation.h"

/**
 * typedef LimitUpstreams - upstreams that name limits and count what they get
 *
 * Judges each arrival by the rule: from 3 s after an upstream first named its
 * limit, in no 4 s more than one and a half times what the limit allows, and 5
 * requests, from hosts that passed on a response with a limit 0.5 s before.
 */
typedef struct LimitUpstreams_ LimitUpstreams;

/** LimitUpstreams_Create() - upstreams without limits; borrows its arguments */
LimitUpstreams *LimitUpstreams_Create(const LimitOptions *options,
                                      EventQueue *events, const Clock *clock,
                                      Random *random);

/** LimitUpstreams_Destroy() - release */
void LimitUpstreams_Destroy(LimitUpstreams *this);

/** LimitUpstreams_Start() - schedule the changes of the limits */
void LimitUpstreams_Start(LimitUpstreams *this);

/** LimitUpstreams_Entry() - its description; valid until it restarts */
UpstreamEntry LimitUpstreams_Entry(const LimitUpstreams *this,
                                   uint32_t upstream);

/** LimitUpstreams_Restart() - a new incarnation, which has no limit */
void LimitUpstreams_Restart(LimitUpstreams *this, uint32_t upstream);

/** LimitUpstreams_Life() - number of its incarnation */
uint32_t LimitUpstreams_Life(const LimitUpstreams *this, uint32_t upstream);

/**
 * LimitUpstreams_OnArrival() - a host has sent it a request
 * @wait: output: time until it starts to process the request
 * @work: output: processing time
 */
void LimitUpstreams_OnArrival(LimitUpstreams *this, uint32_t upstream,
                              uint32_t host, Micros *wait, Micros *work);

/** LimitUpstreams_OnWorkStart() - it starts to process a request */
void LimitUpstreams_OnWorkStart(LimitUpstreams *this, uint32_t upstream);

/** LimitUpstreams_OnWorkEnd() - it has processed a request */
void LimitUpstreams_OnWorkEnd(LimitUpstreams *this, uint32_t upstream);

/** LimitUpstreams_Report() - its load report */
LoadReport LimitUpstreams_Report(const LimitUpstreams *this,
                                 uint32_t upstream);

/** LimitUpstreams_Named() - what its responses say of a limit now */
LimitNotice LimitUpstreams_Named(const LimitUpstreams *this,
                                 uint32_t upstream);

/** LimitUpstreams_OnRelayed() - a host has passed on a response with a limit */
void LimitUpstreams_OnRelayed(LimitUpstreams *this, uint32_t upstream,
                              uint32_t host);

/** LimitUpstreams_OnHostStart() - a host has restarted and knows nothing */
void LimitUpstreams_OnHostStart(LimitUpstreams *this, uint32_t host);

/** LimitUpstreams_HasFreeSlot() - whether one without a limit has a free slot */
bool LimitUpstreams_HasFreeSlot(const LimitUpstreams *this);

/** LimitUpstreams_Judge() - write the figures of the upstreams to @result */
void LimitUpstreams_Judge(const LimitUpstreams *this, LimitResult *result);

#endif
