#include "Router.h"

#include <glib.h>

#include "Health.h"
#include "LoadEstimate.h"
#include "RouteDecision.h"
#include "SlotLending.h"
#include "UpstreamTable.h"

/* An upstream is probed when its last report or probe is at least this old. */
#define PROBE_MIN_REPORT_AGE_US MICROS_PER_S
/* Services that one call of Router_NextProbe() considers. */
#define PROBE_SERVICES_MAX 8
/* Capacity for events that were not read yet; further ones are dropped. */
#define HEALTH_EVENTS_MAX 32

struct Router_ {
    RouterOptions options;
    const Clock *clock;
    Random *random;
    UpstreamTable *table;
    SlotLending *lending;
    uint32_t next_probe_service;
    HealthEvent health_events[HEALTH_EVENTS_MAX];
    uint32_t health_event_count;
};

RouterOptions
RouterOptions_Default(void)
{
    return (RouterOptions){
        .policy = ROUTING_REPORTS,
        .subset_size = 20,
        .lend_slots = true,
        .verify_reports = true,
        .eject_outliers = true,
        .same_domain_bonus = 1 * MICROS_PER_MS,
        .ramp_time = 10 * MICROS_PER_S,
    };
}

Router *
Router_Create(const RouterOptions *options, const Clock *clock, Random *random)
{
    Router *this = g_new0(Router, 1);

    this->options = *options;
    this->clock = clock;
    this->random = random;
    this->table = UpstreamTable_Create(&this->options, clock);
    this->lending = SlotLending_Create(this->table, random);
    return this;
}

void
Router_Destroy(Router *this)
{
    SlotLending_Destroy(this->lending);
    UpstreamTable_Destroy(this->table);
    g_free(this);
}

void
Router_SetHosts(Router *this, const uint64_t *keys, uint32_t count,
                uint32_t own)
{
    UpstreamTable_SetHosts(this->table, keys, count, own);
}

void
Router_SetService(Router *this, uint32_t service, const ServiceInfo *info)
{
    UpstreamTable_SetService(this->table, service, info);
}

void
Router_AddUpstream(Router *this, uint32_t service, uint32_t upstream,
                   const UpstreamInfo *info)
{
    UpstreamTable_Add(this->table, service, upstream, info);
}

void
Router_RemoveUpstream(Router *this, uint32_t upstream)
{
    UpstreamTable_Remove(this->table, upstream);
}

void
Router_SetDraining(Router *this, uint32_t upstream, bool draining)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);

    if (u != NULL) {
        Health_OnDrainListed(u, draining, Clock_Now(this->clock));
    }
}

void
Router_Eject(Router *this, uint32_t upstream, Micros duration)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);

    if (u != NULL) {
        Health_Eject(u, Clock_Now(this->clock), duration);
    }
}

int
Router_Choose(Router *this, const RouteQuery *query, RouteChoice *choice)
{
    RouteContext context;
    int result;

    context.options = &this->options;
    context.service = UpstreamTable_Service(this->table, query->service);
    context.random = this->random;
    context.now = Clock_Now(this->clock);
    context.count = 0;
    if (context.service == NULL) {
        return ERR_NOT_FOUND;
    }
    SlotLending_Expire(this->lending);
    result = RouteDecision_Make(&context, this->table, query, choice);
    if (result == ERR_LIMIT && this->options.lend_slots &&
        this->options.policy == ROUTING_SLOT_SHARES) {
        SlotLending_Borrow(this->lending, query->service);
    }
    return result;
}

void
Router_OnSent(Router *this, uint32_t upstream)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);
    Micros now = Clock_Now(this->clock);

    if (u == NULL) {
        return;
    }
    u->inflight++;
    u->sent_since_report++;
    u->start_time_sum += now;
    this->table->services[u->service].inflight++;
    Health_OnSent(u, now);
}

static void
add_health_event(Router *this, const Upstream *u, bool draining)
{
    Micros ejection_time = u->ejected_until - Clock_Now(this->clock);

    if (this->health_event_count < HEALTH_EVENTS_MAX) {
        this->health_events[this->health_event_count++] = (HealthEvent){
            .upstream = (uint32_t)(u - this->table->upstreams),
            .draining = draining,
            .ejection_time = draining ? 0 : ejection_time,
        };
    }
}

static void
on_drain_report(Router *this, Upstream *u, bool draining)
{
    bool already_known = (u->flags & UPSTREAM_REPORTED_DRAINING) != 0;

    Health_OnDrainReport(u, draining, Clock_Now(this->clock));
    if (draining && !already_known) {
        add_health_event(this, u, true);
    }
}

bool
Router_NextHealthEvent(Router *this, HealthEvent *event)
{
    if (this->health_event_count == 0) {
        return false;
    }
    *event = this->health_events[--this->health_event_count];
    return true;
}

void
Router_OnReport(Router *this, uint32_t upstream, const LoadReport *report,
                Micros age)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);
    Micros now = Clock_Now(this->clock);

    if (u == NULL) {
        return;
    }
    if (this->options.policy != ROUTING_PROBED) {
        LoadEstimate_OnReport(&this->table->services[u->service], u, report,
                              now - age, &this->options);
    }
    on_drain_report(this, u, report->draining);
}

void
Router_OnFinished(Router *this, uint32_t upstream, AttemptOutcome outcome,
                  Micros latency)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);
    Micros now = Clock_Now(this->clock);
    ServiceState *s;
    uint8_t ejections;

    /* Requests sent before the upstream was removed are not counted. */
    if (u == NULL || u->inflight == 0) {
        return;
    }
    s = &this->table->services[u->service];
    u->inflight--;
    s->inflight--;
    u->start_time_sum -= now - latency;
    if (u->inflight == 0) {
        /* Keeps errors of the measured latencies from accumulating. */
        u->start_time_sum = 0;
    }
    if (outcome == ATTEMPT_SHED) {
        u->report_time = now;
        u->report_load = MAX(u->report_load, u->slots);
        u->sent_since_report = 0;
    }
    ejections = u->ejections;
    Health_OnFinished(s, u, outcome, latency, now);
    if (u->ejections > ejections) {
        add_health_event(this, u, false);
    }
}

/* Finds the upstream in the subset with the oldest report or probe. */
static uint32_t
least_recently_reported(const Router *this, const ServiceState *s)
{
    Micros now = Clock_Now(this->clock);
    Micros oldest = now - PROBE_MIN_REPORT_AGE_US;
    uint32_t best = UPSTREAM_NONE;

    for (uint32_t i = 0; i < s->subset_count; i++) {
        const Upstream *u = &this->table->upstreams[s->subset[i]];
        Micros last_contact = MAX(u->report_time, u->probe_time);

        if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0) {
            last_contact = u->probe_time;
        }
        if (last_contact <= oldest || last_contact < 0) {
            oldest = last_contact;
            best = s->subset[i];
        }
    }
    return best;
}

static bool
probe_service(Router *this, uint32_t service, ProbeRequest *probe)
{
    ServiceState *s = UpstreamTable_Service(this->table, service);
    uint32_t upstream =
        s != NULL ? least_recently_reported(this, s) : UPSTREAM_NONE;

    if (upstream == UPSTREAM_NONE || !ProbeBudget_Reserve(s->budget)) {
        return false;
    }
    this->table->upstreams[upstream].probe_time = Clock_Now(this->clock);
    *probe = (ProbeRequest){.service = service, .upstream = upstream};
    return true;
}

bool
Router_NextProbe(Router *this, ProbeRequest *probe)
{
    uint32_t n = MIN(this->table->service_count, PROBE_SERVICES_MAX);

    for (uint32_t i = 0; i < n; i++) {
        uint32_t service =
            this->next_probe_service++ % this->table->service_count;

        if (probe_service(this, service, probe)) {
            return true;
        }
    }
    return false;
}

void
Router_OnProbe(Router *this, const ProbeRequest *probe,
               const LoadReport *report, uint32_t bytes, Micros time)
{
    ServiceState *s = UpstreamTable_Service(this->table, probe->service);
    Upstream *u = UpstreamTable_Find(this->table, probe->upstream);

    if (s != NULL) {
        ProbeBudget_Settle(s->budget, bytes, time);
    }
    if (s == NULL || u == NULL || report == NULL) {
        return;
    }
    LoadEstimate_OnReport(s, u, report, Clock_Now(this->clock), NULL);
    on_drain_report(this, u, report->draining);
}

bool
Router_NextSlotMessage(Router *this, SlotMessage *message)
{
    return this->options.policy == ROUTING_SLOT_SHARES &&
           SlotLending_Next(this->lending, message);
}

bool
Router_OnSlotMessage(Router *this, const SlotMessage *message)
{
    SlotLending_Expire(this->lending);
    return SlotLending_OnMessage(this->lending, message);
}

uint32_t
Router_Inflight(const Router *this, uint32_t upstream)
{
    const Upstream *u = UpstreamTable_Find(this->table, upstream);

    return u != NULL ? u->inflight : 0;
}

uint32_t
Router_ConnectionLimit(Router *this, uint32_t upstream)
{
    const Upstream *u = UpstreamTable_Find(this->table, upstream);
    const ServiceState *s;

    if (u == NULL) {
        return 0;
    }
    s = UpstreamTable_Service(this->table, u->service);
    for (uint32_t i = 0; i < s->subset_count; i++) {
        if (s->subset[i] == upstream) {
            return RouteDecision_ConnectionLimit(&this->options, s, u);
        }
    }
    return 0;
}

size_t
Router_Subset(Router *this, uint32_t service, uint32_t *upstreams, size_t max)
{
    const ServiceState *s = UpstreamTable_Service(this->table, service);
    size_t n = s != NULL ? MIN(max, s->subset_count) : 0;

    for (size_t i = 0; i < n; i++) {
        upstreams[i] = s->subset[i];
    }
    return n;
}

ProbeUsage
Router_ProbeUsage(const Router *this, uint32_t service)
{
    ProbeUsage none = {0};

    if (service >= this->table->service_count ||
        !this->table->services[service].present) {
        return none;
    }
    return ProbeBudget_Usage(this->table->services[service].budget);
}
