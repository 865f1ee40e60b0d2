#include "RoutingDriver.h"

#include <glib.h>

#include "DriverState.h"

#define HISTORY_STEP (5 * MICROS_PER_MS)
#define PROBE_POLL (10 * MICROS_PER_MS)
#define PROBE_BYTES 220
/* A cold process is slow for its first requests. */
#define COLD_REQUESTS 200
/* An upstream that leaves gets nothing new after this time. */
#define DRAIN_BOUND (2 * MICROS_PER_S)
#define RETRY_BURST 10.0

static Micros
now_of(const Driver *d)
{
    return Clock_Now(d->clock);
}

static bool
is_measured(const Driver *d)
{
    return now_of(d) >= d->options.warmup && now_of(d) < d->options.duration;
}

static bool
in_period(const Driver *d)
{
    return now_of(d) >= d->options.fault_start &&
           now_of(d) < d->options.fault_end;
}

static Micros
one_way(const Driver *d, uint32_t host, const Target *t)
{
    bool same_domain = Driver_DomainOf(d, host) == t->domain;

    return same_domain && d->options.same_domain_latency > 0
               ? d->options.same_domain_latency
               : d->options.deployment->one_way;
}

static void on_response(void *user, uint64_t argument);
static void pump_messages(Driver *d, uint32_t host);

static void
on_fake_done(FakeJob *job)
{
    Request *r = (Request *)job;
    Driver *d = r->driver;
    const Target *t = &d->targets[r->upstream];

    EventQueue_Add(d->queue, one_way(d, r->host, t), on_response, r, 0);
}

static void
count_attempt(Driver *d, const Request *r)
{
    FlowStats *flow = &d->flows[r->service];
    bool affected = d->targets[r->upstream].affected;
    Micros now = now_of(d);

    if (!is_measured(d)) {
        return;
    }
    flow->result.sent++;
    if (in_period(d)) {
        FlowStats_AddAttempt(flow, PHASE_PERIOD, affected);
    }
    if (in_period(d) && now >= d->options.fault_start + 50 * MICROS_PER_MS) {
        FlowStats_AddAttempt(flow, PHASE_LATE, affected);
    }
    if (now >= d->options.duration - MICROS_PER_S) {
        FlowStats_AddAttempt(flow, PHASE_AFTER, affected);
    }
}

static void
on_received(void *user, uint64_t argument)
{
    Request *r = user;
    Driver *d = r->driver;
    Target *t = &d->targets[r->upstream];

    count_attempt(d, r);
    if (t->fake.draining && now_of(d) > d->options.fault_start + DRAIN_BOUND) {
        d->result.sent_while_draining++;
    }
    r->job.done = on_fake_done;
    FakeUpstream_Receive(&t->fake, &r->job);
}

static void
finish(Request *r, bool answered)
{
    Driver *d = r->driver;
    FlowStats *flow = &d->flows[r->service];

    if (r->arrived >= d->options.warmup && answered) {
        FlowStats_AddAnswer(flow, now_of(d) - r->arrived, r->job.service_time);
    }
    if (r->arrived >= d->options.warmup && !answered) {
        flow->result.failed++;
    }
    g_free(r);
}

static bool
dispatch(Request *r)
{
    Driver *d = r->driver;
    Router *router = d->hosts[r->host].router;
    RouteQuery query = {
        .service = r->service, .avoid = r->tried, .avoid_count = r->tries};
    RouteChoice choice;
    int result = Router_Choose(router, &query, &choice);
    Target *t;

    if (result == ERR_LIMIT) {
        return false;
    }
    if (result < 0) {
        finish(r, false);
        return true;
    }
    Router_OnSent(router, choice.upstream);
    r->upstream = choice.upstream;
    r->sent = now_of(d);
    r->tried[r->tries++] = choice.upstream;
    t = &d->targets[choice.upstream];
    t->connections++;
    d->result.connections_peak =
        MAX(d->result.connections_peak, t->connections);
    EventQueue_Add(d->queue, one_way(d, r->host, t), on_received, r, 0);
    return true;
}

static void
dispatch_waiting(Driver *d, uint32_t host, uint32_t service)
{
    GQueue *waiting = &d->hosts[host].waiting[service];

    while (waiting->length > 0) {
        Request *r = g_queue_pop_head(waiting);

        if (!dispatch(r)) {
            g_queue_push_head(waiting, r);
            return;
        }
    }
}

static void
enter(Request *r)
{
    Host *host = &r->driver->hosts[r->host];

    g_queue_push_tail(&host->waiting[r->service], r);
    dispatch_waiting(r->driver, r->host, r->service);
    pump_messages(r->driver, r->host);
}

static bool
may_retry(Host *host, const Request *r)
{
    double *tokens = &host->retries[r->service];

    if (r->tries >= TRIES_MAX || *tokens < 1) {
        return false;
    }
    *tokens -= 1;
    return true;
}

static void
conclude(Request *r)
{
    Driver *d = r->driver;
    Host *host = &d->hosts[r->host];
    ServiceResult *result = &d->flows[r->service].result;
    double *tokens = &host->retries[r->service];

    if (r->job.outcome == ATTEMPT_OK) {
        *tokens = MIN(RETRY_BURST, *tokens + d->options.retry_share);
        finish(r, true);
        return;
    }
    result->sheds += is_measured(d) && r->job.outcome == ATTEMPT_SHED;
    if (!may_retry(host, r)) {
        finish(r, false);
        return;
    }
    result->retries += is_measured(d);
    g_queue_push_head(&host->waiting[r->service], r);
}

static void
on_response(void *user, uint64_t argument)
{
    Request *r = user;
    Driver *d = r->driver;
    uint32_t host = r->host;
    uint32_t service = r->service;
    Router *router = d->hosts[host].router;

    d->targets[r->upstream].connections--;
    if (d->options.reports != REPORTS_NONE) {
        Router_OnReport(router, r->upstream, &r->job.report, 0);
    }
    Router_OnFinished(router, r->upstream, r->job.outcome,
                      now_of(d) - r->sent);
    conclude(r);
    dispatch_waiting(d, host, service);
    pump_messages(d, host);
}

static void
on_slot_message(void *user, uint64_t argument)
{
    Delivery *delivery = user;
    Driver *d = delivery->driver;
    uint32_t host = delivery->host;

    if (Router_OnSlotMessage(d->hosts[host].router, &delivery->message)) {
        dispatch_waiting(d, host, delivery->message.service);
    }
    pump_messages(d, host);
    g_free(delivery);
}

static uint32_t
host_of(const Driver *d, uint64_t key)
{
    uint32_t h = 0;

    while (d->host_keys[h] != key) {
        h++;
    }
    return h;
}

static void
pump_messages(Driver *d, uint32_t host)
{
    SlotMessage message;

    while (Router_NextSlotMessage(d->hosts[host].router, &message)) {
        Delivery *delivery = g_new0(Delivery, 1);

        delivery->driver = d;
        delivery->host = host_of(d, message.peer);
        delivery->message = message;
        delivery->message.peer = d->host_keys[host];
        d->result.slot_messages += is_measured(d);
        EventQueue_Add(d->queue, d->options.deployment->one_way,
                       on_slot_message, delivery, 0);
    }
}

static void
on_arrival(void *user, uint64_t service)
{
    Driver *d = user;
    const DriverService *s = &d->options.deployment->services[service];
    double gap = (double)d->options.mean_service_time /
                 (d->options.load * s->upstreams * s->slots);
    Request *r;

    if (now_of(d) >= d->options.duration) {
        return;
    }
    r = g_new0(Request, 1);
    r->driver = d;
    r->arrived = now_of(d);
    r->service = (uint32_t)service;
    r->host = (uint32_t)Random_Below(d->random, d->options.hosts);
    d->flows[service].result.offered += is_measured(d);
    enter(r);
    EventQueue_Add(d->queue, (Micros)Random_Exponential(d->random, gap),
                   on_arrival, d, service);
}

static void
on_probed(void *user, uint64_t argument)
{
    ProbeRun *run = user;
    Driver *d = run->driver;
    LoadReport report =
        FakeUpstream_Report(&d->targets[run->probe.upstream].fake);
    bool lost = d->options.down && in_period(d);

    Router_OnProbe(d->hosts[run->host].router, &run->probe,
                   lost ? NULL : &report, PROBE_BYTES,
                   lost ? PROBE_TIME_MAX : 300);
    g_free(run);
}

/* Largest use of any limit so far, over all hosts together. */
static void
check_probes(Driver *d, uint32_t service)
{
    const ProbeLimits *limits = &d->options.probes;
    const DriverService *s = &d->options.deployment->services[service];
    double seconds = (double)now_of(d) / MICROS_PER_S;
    double slots = s->upstreams * s->slots;
    ProbeSpent sum = {0};
    double use;

    for (uint32_t h = 0; h < d->options.hosts; h++) {
        ProbeSpent spent = Router_ProbeSpent(d->hosts[h].router, service);

        sum.requests += spent.requests;
        sum.bytes += spent.bytes;
        sum.time += spent.time;
    }
    if (seconds < 1) {
        return;
    }
    use = (double)sum.requests / limits->requests_per_s;
    use = MAX(use, (double)sum.bytes / limits->bytes_per_s);
    use = MAX(use,
              (double)sum.time / MICROS_PER_S / (limits->time_share * slots));
    d->flows[service].result.probe_peak =
        MAX(d->flows[service].result.probe_peak, use / seconds);
}

static void
on_probe_poll(void *user, uint64_t argument)
{
    Driver *d = user;

    if (now_of(d) >= d->options.duration) {
        return;
    }
    for (uint32_t h = 0; h < d->options.hosts; h++) {
        ProbeRequest probe;

        if (Router_NextProbe(d->hosts[h].router, &probe)) {
            ProbeRun *run = g_new0(ProbeRun, 1);

            *run = (ProbeRun){.driver = d, .host = h, .probe = probe};
            EventQueue_Add(d->queue, 2 * d->options.deployment->one_way,
                           on_probed, run, 0);
        }
    }
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        check_probes(d, s);
    }
    EventQueue_Add(d->queue, PROBE_POLL, on_probe_poll, d, 0);
}

static void
on_history(void *user, uint64_t argument)
{
    Driver *d = user;

    if (now_of(d) >= d->options.duration) {
        return;
    }
    for (uint32_t u = 0; u < d->target_count; u++) {
        FakeUpstream_Remember(&d->targets[u].fake);
    }
    EventQueue_Add(d->queue, HISTORY_STEP, on_history, d, 0);
}

static void
tell_hosts(Driver *d, uint32_t upstream)
{
    const Target *t = &d->targets[upstream];
    UpstreamInfo info = {.key = upstream + 1,
                         .domain = t->domain,
                         .slots = t->fake.slots,
                         .cold = true};

    for (uint32_t h = 0; h < d->options.hosts; h++) {
        if (d->options.drain && d->options.listed) {
            Router_SetDraining(d->hosts[h].router, upstream, true);
        }
        if (d->options.cold) {
            Router_RemoveUpstream(d->hosts[h].router, upstream);
            Router_AddUpstream(d->hosts[h].router, t->service, upstream,
                               &info);
        }
    }
}

static void
on_period_start(void *user, uint64_t argument)
{
    Driver *d = user;
    const DriverOptions *options = &d->options;

    for (uint32_t u = 0; u < d->target_count; u++) {
        Target *t = &d->targets[u];

        t->fake.failing =
            options->down || (t->affected && options->failing > 0);
        t->fake.misreporting = t->affected && options->misreporting > 0;
        if (t->affected && options->slow_share > 0) {
            t->fake.slowness = options->slow_factor;
        }
        if (t->affected && (options->drain || options->cold)) {
            t->fake.draining = options->drain;
            t->fake.cold_left = options->cold ? COLD_REQUESTS : 0;
            tell_hosts(d, u);
        }
    }
}

static void
on_period_end(void *user, uint64_t argument)
{
    Driver *d = user;

    for (uint32_t u = 0; u < d->target_count; u++) {
        d->targets[u].fake.failing = false;
        d->targets[u].fake.slowness = 1;
    }
}

DriverResult
RoutingDriver_Run(const DriverOptions *options)
{
    Driver *d = Driver_Create(options);
    DriverResult result;

    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        EventQueue_Add(d->queue, 0, on_arrival, d, s);
    }
    EventQueue_Add(d->queue, 0, on_probe_poll, d, 0);
    EventQueue_Add(d->queue, 0, on_history, d, 0);
    if (options->fault_end > options->fault_start) {
        EventQueue_Add(d->queue, options->fault_start, on_period_start, d, 0);
        EventQueue_Add(d->queue, options->fault_end, on_period_end, d, 0);
    }
    EventQueue_RunUntil(d->queue, options->duration);
    /* Arrivals have stopped; lets what is in flight finish. */
    while (EventQueue_Pending(d->queue) > 0) {
        EventQueue_RunUntil(d->queue, now_of(d) + MICROS_PER_S);
    }
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        d->result.services[s] = FlowStats_Finish(&d->flows[s]);
    }
    result = d->result;
    Driver_Destroy(d);
    return result;
}
