#ifndef AGATECRANK_CORE_BALANCERPRIVATE_H
#define AGATECRANK_CORE_BALANCERPRIVATE_H

#include "BalancerRequest.h"

/** struct BalancerService_ - state of a balancer for one service */
typedef struct BalancerService_ {
    RetryBudget *retry_budget;
    GQueue waiting; /* BalancerRequest * that waits for a free slot */
} BalancerService;

struct Balancer_ {
    BalancerOptions options;
    ConfigState *config;
    const Clock *clock;
    EventLog *log;
    Counters *counters;
    NameTable *services;
    NameTable *lines;
    Directory *directory;
    Router *router;
    Admission *admission;
    Quarantine *quarantine;
    Claims *claims;
    GPtrArray *service_list; /* BalancerService * by service index */
    GHashTable *requests;    /* maps id to BalancerRequest */
    GTree *deadlines;        /* BalancerRequest, by deadline and id */
    GArray *actions;         /* BalancerAction */
    guint next_action;
    GString *replay; /* response of the last BALANCER_REPLAY */
    uint64_t last_id;
    bool ready;
};

/** Balancer_GetService() - return the state of a service, created on demand */
BalancerService *Balancer_GetService(Balancer *this, uint32_t service);

/** Balancer_OnDirectoryChange() - the DirectoryHandler of a balancer */
void Balancer_OnDirectoryChange(void *user, const DirectoryUpstream *upstream,
                                DirectoryChange change);

/** Balancer_CountOutcome() - count a finished request in the metrics */
void Balancer_CountOutcome(Balancer *this, const BalancerRequest *request,
                           Outcome outcome, const char *reason);

/**
 * Balancer_LogRoute() - log a routing decision
 * @choice: valid only if @code is 0
 * @code: 0, or the error of Router_Choose()
 */
void Balancer_LogRoute(Balancer *this, const BalancerRequest *request,
                       const RouteChoice *choice, int code);

/** Balancer_LogRefusal() - log a response that this host generates itself */
void Balancer_LogRefusal(Balancer *this, const BalancerRequest *request,
                         const BalancerAction *action);

#endif
