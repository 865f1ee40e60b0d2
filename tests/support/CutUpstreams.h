#ifndef AGATECRANK_TESTS_CUTUPSTREAMS_H
#define AGATECRANK_TESTS_CUTUPSTREAMS_H

#include "CutSimulation.h"
#include "Dispatcher.h"
#include "EventQueue.h"
#include "Random.h"

#define CUT_UPSTREAMS_MAX 64
#define CUT_RUNS_MAX 8

/**
 * typedef CutUpstreams - the upstreams of a CutSimulation, in two services
 *
 * They process requests in slots and journal what arrives.
 */
typedef struct CutUpstreams_ CutUpstreams;

/**
 * struct CutRuns_ - what upstreams did with a request
 * @count: runs
 * @upstreams: those on which it ran
 */
typedef struct CutRuns_ {
    uint32_t service;
    uint32_t arrivals;
    uint32_t count;
    uint32_t upstreams[CUT_RUNS_MAX];
    uint32_t upstream_count;
} CutRuns;

/** typedef CutWorkEnd - the upstream has completed the request, or ended */
typedef void CutWorkEnd(void *user, bool completed);

CutUpstreams *CutUpstreams_Create(unsigned count, EventQueue *events,
                                  Clock *clock, Random *random);
void CutUpstreams_Destroy(CutUpstreams *this);

Str CutUpstreams_ServiceName(uint32_t service);

/** CutUpstreams_Entry() - its description, without a domain */
UpstreamEntry CutUpstreams_Entry(const CutUpstreams *this, uint32_t upstream);

/** CutUpstreams_KillService() - end its upstreams for a time */
void CutUpstreams_KillService(CutUpstreams *this, uint32_t service,
                              Micros from, Micros until);

/** CutUpstreams_StartCrashes() - one ends at random, for a short time */
void CutUpstreams_StartCrashes(CutUpstreams *this, Micros interval);

bool CutUpstreams_IsDead(const CutUpstreams *this, uint32_t upstream);
LoadReport CutUpstreams_Report(const CutUpstreams *this, uint32_t upstream);

/** CutUpstreams_Limit() - the limit that a response names; few have one */
LimitNotice CutUpstreams_Limit(const CutUpstreams *this, uint32_t upstream);

/** CutUpstreams_Arrive() - a request arrives */
void CutUpstreams_Arrive(CutUpstreams *this, uint32_t upstream, CutRuns *runs,
                         CutWorkEnd *handler, void *user);

/** CutUpstreams_OnRequest() - a caller has sent a request to a service */
void CutUpstreams_OnRequest(CutUpstreams *this, uint32_t service, Micros time);

/**
 * CutUpstreams_BudgetExcess() - most arrivals beyond the first of each request
 *     that are over the retry limit of a window
 */
double CutUpstreams_BudgetExcess(const CutUpstreams *this, Micros window,
                                 double ratio, double extra);

#endif
