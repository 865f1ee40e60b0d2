#ifndef AGATECRANK_CORE_BALANCERPRIVATE_H
#define AGATECRANK_CORE_BALANCERPRIVATE_H

#include "BalancerRequest.h"

/** struct Service_ - what a balancer keeps for each service */
typedef struct Service_ {
    RetryBudget *retries;
    GQueue waiting; /* BalancerRequest * whose upstreams were all full */
} Service;

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
    GPtrArray *service_states; /* Service by index */
    GHashTable *requests;      /* id to BalancerRequest */
    GTree *deadlines;          /* BalancerRequest by deadline and id */
    GArray *actions;           /* BalancerAction */
    guint next_action;
    GString *replay; /* text of the last BALANCER_REPLAY */
    uint64_t last_id;
    bool ready;
};

/** Balancer_ServiceState() - state of a service, made when it is first asked */
Service *Balancer_ServiceState(Balancer *this, uint32_t service);

/** Balancer_OnDirectoryChange() - the DirectoryHandler of a balancer */
void Balancer_OnDirectoryChange(void *user, const DirectoryUpstream *upstream,
                                DirectoryChange change);

/** Balancer_CountOutcome() - count a request that is over */
void Balancer_CountOutcome(Balancer *this, const BalancerRequest *request,
                           Outcome outcome, const char *reason);

/** Balancer_LogRoute() - the log line of a routing decision */
void Balancer_LogRoute(Balancer *this, const BalancerRequest *request,
                       const RouteChoice *choice, int code);

/** Balancer_LogRefusal() - the log line of an answer of our own */
void Balancer_LogRefusal(Balancer *this, const BalancerRequest *request,
                         const BalancerAction *action);

#endif
