#include "RoutingDriver.h"

#include <glib.h>

#include "DriverState.h"

#define HISTORY_STEP_US (5 * MICROS_PER_MS)
#define PROBE_POLL_US (10 * MICROS_PER_MS)
#define PROBE_BYTES 220
/* Requests that run slowly after a cold start. */
#define COLD_REQUESTS 200
/* Time from which a draining upstream must get no new requests. */
#define DRAIN_GRACE_US (2 * MICROS_PER_S)
#define RETRY_BURST_MAX 10.0

static Micros
now_of(const Driver *d)
{
    return Clock_Now(d->clock);
}

static bool
is_measuring(const Driver *d)
{
    return now_of(d) >= d->options.warmup && now_of(d) < d->options.duration;
}

static bool
in_fault_period(const Driver *d)
{
    return now_of(d) >= d->options.fault_start &&
           now_of(d) < d->options.fault_end;
}

static Micros
one_way(const Driver *d, uint32_t host, const SimUpstream *upstream)
{
    bool same_domain = Driver_DomainOf(d, host) == upstream->domain;

    return same_domain && d->options.same_domain_latency > 0
               ? d->options.same_domain_latency
               : d->options.deployment->one_way;
}

static void on_response(void *user, uint64_t argument);
static void send_slot_messages(Driver *d, uint32_t host);

static void
on_fake_done(FakeJob *job)
{
    Request *r = (Request *)job;
    Driver *d = r->driver;
    const SimUpstream *upstream = &d->upstreams[r->upstream];

    EventQueue_Add(d->queue, one_way(d, r->host, upstream), on_response, r, 0);
}

static void
count_attempt(Driver *d, const Request *r)
{
    FlowStats *flow = &d->flows[r->service];
    bool affected = d->upstreams[r->upstream].affected;
    Micros now = now_of(d);

    if (!is_measuring(d)) {
        return;
    }
    flow->result.sent++;
    if (in_fault_period(d)) {
        FlowStats_AddAttempt(flow, PHASE_PERIOD, affected);
    }
    if (in_fault_period(d) &&
        now >= d->options.fault_start + 50 * MICROS_PER_MS) {
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
    SimUpstream *upstream = &d->upstreams[r->upstream];

    count_attempt(d, r);
    if (upstream->fake.draining &&
        now_of(d) > d->options.fault_start + DRAIN_GRACE_US) {
        d->result.sent_while_draining++;
    }
    r->job.done = on_fake_done;
    FakeUpstream_Receive(&upstream->fake, &r->job);
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
        .service = r->service, .avoid = r->tried, .avoid_count = r->attempts};
    RouteChoice choice;
    int result = Router_Choose(router, &query, &choice);
    SimUpstream *upstream;

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
    r->tried[r->attempts++] = choice.upstream;
    upstream = &d->upstreams[choice.upstream];
    upstream->connections++;
    d->result.connections_peak =
        MAX(d->result.connections_peak, upstream->connections);
    EventQueue_Add(d->queue, one_way(d, r->host, upstream), on_received, r, 0);
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
enqueue(Request *r)
{
    Host *host = &r->driver->hosts[r->host];

    g_queue_push_tail(&host->waiting[r->service], r);
    dispatch_waiting(r->driver, r->host, r->service);
    send_slot_messages(r->driver, r->host);
}

static bool
may_retry(Host *host, const Request *r)
{
    double *tokens = &host->retry_tokens[r->service];

    if (r->attempts >= ATTEMPTS_MAX || *tokens < 1) {
        return false;
    }
    *tokens -= 1;
    return true;
}

static void
handle_outcome(Request *r)
{
    Driver *d = r->driver;
    Host *host = &d->hosts[r->host];
    ServiceResult *result = &d->flows[r->service].result;
    double *tokens = &host->retry_tokens[r->service];

    if (r->job.outcome == ATTEMPT_OK) {
        *tokens = MIN(RETRY_BURST_MAX, *tokens + d->options.retry_share);
        finish(r, true);
        return;
    }
    result->sheds += is_measuring(d) && r->job.outcome == ATTEMPT_SHED;
    if (!may_retry(host, r)) {
        finish(r, false);
        return;
    }
    result->retries += is_measuring(d);
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

    d->upstreams[r->upstream].connections--;
    if (d->options.reports != REPORTS_NONE) {
        Router_OnReport(router, r->upstream, &r->job.report, 0);
    }
    Router_OnFinished(router, r->upstream, r->job.outcome,
                      now_of(d) - r->sent);
    handle_outcome(r);
    dispatch_waiting(d, host, service);
    send_slot_messages(d, host);
}

static void
on_slot_message(void *user, uint64_t argument)
{
    SlotDelivery *delivery = user;
    Driver *d = delivery->driver;
    uint32_t host = delivery->host;

    if (Router_OnSlotMessage(d->hosts[host].router, &delivery->message)) {
        dispatch_waiting(d, host, delivery->message.service);
    }
    send_slot_messages(d, host);
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
send_slot_messages(Driver *d, uint32_t host)
{
    SlotMessage message;

    while (Router_NextSlotMessage(d->hosts[host].router, &message)) {
        SlotDelivery *delivery = g_new0(SlotDelivery, 1);

        delivery->driver = d;
        delivery->host = host_of(d, message.peer);
        delivery->message = message;
        delivery->message.peer = d->host_keys[host];
        d->result.slot_messages += is_measuring(d);
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
    d->flows[service].result.offered += is_measuring(d);
    enqueue(r);
    EventQueue_Add(d->queue, (Micros)Random_Exponential(d->random, gap),
                   on_arrival, d, service);
}

static void
on_probed(void *user, uint64_t argument)
{
    ProbeRun *run = user;
    Driver *d = run->driver;
    LoadReport report =
        FakeUpstream_Report(&d->upstreams[run->probe.upstream].fake);
    bool failed = d->options.down && in_fault_period(d);

    Router_OnProbe(d->hosts[run->host].router, &run->probe,
                   failed ? NULL : &report, PROBE_BYTES,
                   failed ? PROBE_TIMEOUT_US : 300);
    g_free(run);
}

/* Updates the largest ratio of use to limit, over all hosts together. */
static void
update_probe_peak(Driver *d, uint32_t service)
{
    const ProbeLimits *limits = &d->options.probes;
    const DriverService *s = &d->options.deployment->services[service];
    double seconds = (double)now_of(d) / MICROS_PER_S;
    double slots = s->upstreams * s->slots;
    ProbeUsage sum = {0};
    double use;

    for (uint32_t h = 0; h < d->options.hosts; h++) {
        ProbeUsage usage = Router_ProbeUsage(d->hosts[h].router, service);

        sum.requests += usage.requests;
        sum.bytes += usage.bytes;
        sum.time += usage.time;
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
        update_probe_peak(d, s);
    }
    EventQueue_Add(d->queue, PROBE_POLL_US, on_probe_poll, d, 0);
}

static void
on_history_step(void *user, uint64_t argument)
{
    Driver *d = user;

    if (now_of(d) >= d->options.duration) {
        return;
    }
    for (uint32_t u = 0; u < d->upstream_count; u++) {
        FakeUpstream_RecordState(&d->upstreams[u].fake);
    }
    EventQueue_Add(d->queue, HISTORY_STEP_US, on_history_step, d, 0);
}

static void
update_hosts(Driver *d, uint32_t index)
{
    const SimUpstream *upstream = &d->upstreams[index];
    UpstreamInfo info = {.key = index + 1,
                         .domain = upstream->domain,
                         .slots = upstream->fake.slots,
                         .cold = true};

    for (uint32_t h = 0; h < d->options.hosts; h++) {
        if (d->options.drain && d->options.drain_listed) {
            Router_SetDraining(d->hosts[h].router, index, true);
        }
        if (d->options.cold) {
            Router_RemoveUpstream(d->hosts[h].router, index);
            Router_AddUpstream(d->hosts[h].router, upstream->service, index,
                               &info);
        }
    }
}

static void
on_fault_start(void *user, uint64_t argument)
{
    Driver *d = user;
    const DriverOptions *options = &d->options;

    for (uint32_t u = 0; u < d->upstream_count; u++) {
        SimUpstream *upstream = &d->upstreams[u];

        upstream->fake.failing =
            options->down || (upstream->affected && options->failing > 0);
        upstream->fake.misreporting =
            upstream->affected && options->misreporting > 0;
        if (upstream->affected && options->slow_share > 0) {
            upstream->fake.slowdown_factor = options->slow_factor;
        }
        if (upstream->affected && (options->drain || options->cold)) {
            upstream->fake.draining = options->drain;
            upstream->fake.cold_requests_left =
                options->cold ? COLD_REQUESTS : 0;
            update_hosts(d, u);
        }
    }
}

static void
on_fault_end(void *user, uint64_t argument)
{
    Driver *d = user;

    for (uint32_t u = 0; u < d->upstream_count; u++) {
        d->upstreams[u].fake.failing = false;
        d->upstreams[u].fake.slowdown_factor = 1;
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
    EventQueue_Add(d->queue, 0, on_history_step, d, 0);
    if (options->fault_end > options->fault_start) {
        EventQueue_Add(d->queue, options->fault_start, on_fault_start, d, 0);
        EventQueue_Add(d->queue, options->fault_end, on_fault_end, d, 0);
    }
    EventQueue_RunUntil(d->queue, options->duration);
    /* Lets requests in flight finish after the last arrival. */
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
