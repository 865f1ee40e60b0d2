#include "Router.h"

#include <glib.h>

#include "Health.h"
#include "LoadEstimate.h"
#include "RouteDecision.h"
#include "SlotLending.h"
#include "UpstreamTable.h"

/* An upstream is worth a probe when nothing was heard from it for this long.
 */
#define PROBE_UNKNOWN_AGE MICROS_PER_S
/* Services looked at by one call of Router_NextProbe(). */
#define PROBE_SERVICES 8
/* Findings kept for sharing; later ones are dropped until these are read. */
#define FINDINGS_MAX 32

struct Router_ {
    RouterOptions options;
    const Clock *clock;
    Random *random;
    UpstreamTable *table;
    SlotLending *lending;
    uint32_t probe_turn;
    HealthEvent findings[FINDINGS_MAX];
    uint32_t finding_count;
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
        Health_OnListed(u, draining, Clock_Now(this->clock));
    }
}

void
Router_Eject(Router *this, uint32_t upstream, Micros duration)
{
    Upstream *u = UpstreamTable_Find(this->table, upstream);

    if (u != NULL) {
        Health_Suspect(u, Clock_Now(this->clock), duration);
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
    u->started += now;
    this->table->services[u->service].inflight++;
    Health_OnSent(u, now);
}

static void
add_finding(Router *this, const Upstream *u, bool draining)
{
    Micros hold = u->held_until - Clock_Now(this->clock);

    if (this->finding_count < FINDINGS_MAX) {
        this->findings[this->finding_count++] = (HealthEvent){
            .upstream = (uint32_t)(u - this->table->upstreams),
            .draining = draining,
            .hold = draining ? 0 : hold,
        };
    }
}

static void
on_drain_report(Router *this, Upstream *u, bool draining)
{
    bool known = (u->flags & UPSTREAM_REPORTED_DRAINING) != 0;

    Health_OnDrainReport(u, draining, Clock_Now(this->clock));
    if (draining && !known) {
        add_finding(this, u, true);
    }
}

bool
Router_NextHealthEvent(Router *this, HealthEvent *finding)
{
    if (this->finding_count == 0) {
        return false;
    }
    *finding = this->findings[--this->finding_count];
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
    uint8_t holds;

    /* Requests from before a removal are not counted. */
    if (u == NULL || u->inflight == 0) {
        return;
    }
    s = &this->table->services[u->service];
    u->inflight--;
    s->inflight--;
    u->started -= now - latency;
    if (u->inflight == 0) {
        /* Latencies that are off by a little do not add up. */
        u->started = 0;
    }
    if (outcome == ATTEMPT_SHED) {
        u->report_time = now;
        u->report_load = MAX(u->report_load, u->slots);
        u->sent_since_report = 0;
    }
    holds = u->holds;
    Health_OnFinished(s, u, outcome, latency, now);
    if (u->holds > holds) {
        add_finding(this, u, false);
    }
}

/* The upstream of the subset that was heard from least recently. */
static uint32_t
least_known(const Router *this, const ServiceState *s)
{
    Micros now = Clock_Now(this->clock);
    Micros oldest = now - PROBE_UNKNOWN_AGE;
    uint32_t best = UPSTREAM_NONE;

    for (uint32_t i = 0; i < s->subset_count; i++) {
        const Upstream *u = &this->table->upstreams[s->subset[i]];
        Micros known = MAX(u->report_time, u->probe_time);

        if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0) {
            known = u->probe_time;
        }
        if (known <= oldest || known < 0) {
            oldest = known;
            best = s->subset[i];
        }
    }
    return best;
}

static bool
probe_service(Router *this, uint32_t service, ProbeRequest *probe)
{
    ServiceState *s = UpstreamTable_Service(this->table, service);
    uint32_t upstream = s != NULL ? least_known(this, s) : UPSTREAM_NONE;

    if (upstream == UPSTREAM_NONE || !ProbeBudget_Take(s->budget)) {
        return false;
    }
    this->table->upstreams[upstream].probe_time = Clock_Now(this->clock);
    *probe = (ProbeRequest){.service = service, .upstream = upstream};
    return true;
}

bool
Router_NextProbe(Router *this, ProbeRequest *probe)
{
    uint32_t n = MIN(this->table->service_count, PROBE_SERVICES);

    for (uint32_t i = 0; i < n; i++) {
        uint32_t service = this->probe_turn++ % this->table->service_count;

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

ProbeSpent
Router_ProbeSpent(const Router *this, uint32_t service)
{
    ProbeSpent none = {0};

    if (service >= this->table->service_count ||
        !this->table->services[service].present) {
        return none;
    }
    return ProbeBudget_Spent(this->table->services[service].budget);
}
