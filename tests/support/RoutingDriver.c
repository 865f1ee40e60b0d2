#include "RoutingDriver.h"

#include <glib.h>
#include <string.h>

#include "EventQueue.h"

#define LATE_BY (500 * MICROS_PER_MS)
#define HISTORY_STEP (5 * MICROS_PER_MS)
#define HISTORY (LATE_BY / HISTORY_STEP)
#define PROBE_POLL (10 * MICROS_PER_MS)
#define PROBE_BYTES 220
#define TRIES_MAX 4
/* A cold upstream is this much slower for its first requests. */
#define COLD_FACTOR 5.0
#define COLD_REQUESTS 200
#define RETRY_BURST 10.0
/* Arrivals stop at the end; what is in flight gets this long to finish. */
#define DRAIN_OUT (60 * MICROS_PER_S)

typedef struct Driver_ Driver;

typedef struct Request_ {
    Driver *driver;
    Micros arrived;
    Micros sent;
    Micros service_time;
    uint32_t service;
    uint32_t host;
    uint32_t upstream;
    uint32_t tried[TRIES_MAX];
    uint32_t tries;
    AttemptOutcome outcome;
    LoadReport report;
} Request;

typedef struct Fake_ {
    uint32_t service;
    uint32_t domain;
    uint32_t slots;
    uint32_t busy;
    uint32_t cold_left;
    uint32_t connections;
    bool affected;
    bool draining;
    GQueue queue;
    LoadReport history[HISTORY];
} Fake;

typedef struct Host_ {
    Driver *driver;
    Router *router;
    GQueue waiting[DRIVER_SERVICES];
    double retries[DRIVER_SERVICES];
} Host;

typedef struct Flow_ {
    ServiceResult result;
    GArray *latencies;
    GArray *waits;
    uint64_t affected;
    uint64_t late;
    uint64_t late_affected;
    uint64_t after;
    uint64_t after_affected;
} Flow;

typedef struct Delivery_ {
    Driver *driver;
    uint32_t host;
    SlotMessage message;
} Delivery;

typedef struct ProbeRun_ {
    Driver *driver;
    uint32_t host;
    ProbeRequest probe;
} ProbeRun;

struct Driver_ {
    DriverOptions options;
    Clock *clock;
    EventQueue *queue;
    Random *random;
    Host *hosts;
    uint64_t *host_keys;
    Fake fakes[DRIVER_UPSTREAMS];
    uint32_t fake_count;
    uint32_t first[DRIVER_SERVICES + 1];
    Flow flows[DRIVER_SERVICES];
    uint32_t history_at;
    DriverResult result;
};

const Deployment deployment_tunis = {
    .name = "tunis",
    .services = {{"claims_desk", 20, 6}, {"court_calendar", 15, 6}},
    .domains = 4,
    .one_way = 500,
};

const Deployment deployment_puntarenas = {
    .name = "puntarenas",
    .services = {{"dispatch", 20, 4}, {"archive", 15, 4}},
    .domains = 3,
    .one_way = 1500,
};

DriverOptions
DriverOptions_Default(const Deployment *deployment)
{
    return (DriverOptions){
        .deployment = deployment,
        .router = RouterOptions_Default(),
        .hosts = 20,
        .load = 0.8,
        .mean = 10 * MICROS_PER_MS,
        .retry_share = 0.1,
        .probes = {20, 4000, 0.001},
        .connections = 250,
        .slow_factor = 10,
        .warmup = 2 * MICROS_PER_S,
        .duration = 22 * MICROS_PER_S,
        .seed = 1,
    };
}

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
    return now_of(d) >= d->options.from && now_of(d) < d->options.until;
}

static uint32_t
domain_of(const Driver *d, uint32_t host)
{
    return d->options.one_domain ? 0 : host % d->options.deployment->domains;
}

static Micros
one_way(const Driver *d, uint32_t host, const Fake *fake)
{
    bool near = domain_of(d, host) == fake->domain;

    return near && d->options.near > 0 ? d->options.near
                                       : d->options.deployment->one_way;
}

static LoadReport
state_of(const Fake *fake)
{
    return (LoadReport){
        .inflight = fake->busy,
        .slots = fake->slots,
        .queue = fake->queue.length,
        .draining = fake->draining,
    };
}

static LoadReport
report_of(const Driver *d, const Fake *fake)
{
    LoadReport report = state_of(fake);

    if (d->options.reports == REPORTS_LATE) {
        report = fake->history[d->history_at];
        report.draining = fake->draining;
    }
    if (d->options.reports == REPORTS_ZERO) {
        report.inflight = 0;
        report.queue = 0;
    }
    return report;
}

static Micros
draw_time(Driver *d)
{
    double mean = (double)d->options.mean;
    double sum = 0;

    switch (d->options.times) {
    case TIMES_EXPONENTIAL:
        return (Micros)Random_Exponential(d->random, mean);
    case TIMES_ERLANG4:
        for (int i = 0; i < 4; i++) {
            sum += Random_Exponential(d->random, mean / 4);
        }
        return (Micros)sum;
    case TIMES_CONSTANT:
        return (Micros)mean;
    }
    return 0;
}

static void on_response(void *user, uint64_t argument);
static void on_served(void *user, uint64_t argument);
static void pump_messages(Driver *d, uint32_t host);

static void
respond(Request *r, AttemptOutcome outcome)
{
    Driver *d = r->driver;
    Fake *fake = &d->fakes[r->upstream];

    r->outcome = outcome;
    r->report = report_of(d, fake);
    EventQueue_Add(d->queue, one_way(d, r->host, fake), on_response, r, 0);
}

static void
serve(Request *r)
{
    Driver *d = r->driver;
    Fake *fake = &d->fakes[r->upstream];
    double factor = 1;

    if (fake->affected && in_period(d) && d->options.slow_share > 0) {
        factor = d->options.slow_factor;
    }
    if (fake->cold_left > 0) {
        fake->cold_left--;
        factor *= COLD_FACTOR;
    }
    fake->busy++;
    r->service_time = (Micros)((double)draw_time(d) * factor);
    EventQueue_Add(d->queue, r->service_time, on_served, r, 0);
}

static void
on_served(void *user, uint64_t argument)
{
    Request *r = user;
    Fake *fake = &r->driver->fakes[r->upstream];
    Request *next;

    fake->busy--;
    next = g_queue_pop_head(&fake->queue);
    if (next != NULL) {
        serve(next);
    }
    respond(r, ATTEMPT_OK);
}

static void
count_attempt(Driver *d, const Request *r)
{
    Flow *flow = &d->flows[r->service];
    bool affected = d->fakes[r->upstream].affected;
    Micros now = now_of(d);

    if (!is_measured(d)) {
        return;
    }
    flow->result.sent++;
    flow->affected += affected;
    if (now >= d->options.from + 50 * MICROS_PER_MS &&
        now < d->options.until) {
        flow->late++;
        flow->late_affected += affected;
    }
    if (now >= d->options.duration - MICROS_PER_S) {
        flow->after++;
        flow->after_affected += affected;
    }
}

static void
on_received(void *user, uint64_t argument)
{
    Request *r = user;
    Driver *d = r->driver;
    Fake *fake = &d->fakes[r->upstream];
    bool failing =
        d->options.down || (fake->affected && d->options.failing > 0);

    count_attempt(d, r);
    if (fake->draining && now_of(d) > d->options.from + 2 * MICROS_PER_S) {
        d->result.sent_while_draining++;
    }
    if (failing && in_period(d)) {
        respond(r, ATTEMPT_ERROR);
    }
    else if (fake->busy < fake->slots) {
        serve(r);
    }
    else if (d->options.shed && fake->queue.length >= d->options.queue_max) {
        respond(r, ATTEMPT_SHED);
    }
    else {
        g_queue_push_tail(&fake->queue, r);
    }
}

static void
finish(Request *r, bool answered)
{
    Driver *d = r->driver;
    Flow *flow = &d->flows[r->service];
    gint32 latency = (gint32)(now_of(d) - r->arrived);
    gint32 wait = latency - (gint32)r->service_time;

    if (r->arrived >= d->options.warmup) {
        flow->result.answered += answered;
        flow->result.failed += !answered;
        if (answered) {
            g_array_append_val(flow->latencies, latency);
            g_array_append_val(flow->waits, wait);
        }
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
    Fake *fake;

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
    fake = &d->fakes[choice.upstream];
    fake->connections++;
    d->result.connections_peak =
        MAX(d->result.connections_peak, fake->connections);
    EventQueue_Add(d->queue, one_way(d, r->host, fake), on_received, r, 0);
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

    if (r->outcome == ATTEMPT_OK) {
        *tokens = MIN(RETRY_BURST, *tokens + d->options.retry_share);
        finish(r, true);
        return;
    }
    result->sheds += is_measured(d) && r->outcome == ATTEMPT_SHED;
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

    d->fakes[r->upstream].connections--;
    if (d->options.reports != REPORTS_NONE) {
        Router_OnReport(router, r->upstream, &r->report, 0);
    }
    Router_OnFinished(router, r->upstream, r->outcome, now_of(d) - r->sent);
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
    double gap =
        (double)d->options.mean / (d->options.load * s->upstreams * s->slots);
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
    LoadReport report = report_of(d, &d->fakes[run->probe.upstream]);
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
    for (uint32_t u = 0; u < d->fake_count; u++) {
        d->fakes[u].history[d->history_at] = state_of(&d->fakes[u]);
    }
    d->history_at = (d->history_at + 1) % HISTORY;
    EventQueue_Add(d->queue, HISTORY_STEP, on_history, d, 0);
}

/* The period starts: drains and restarts; slowness is read from the time. */
static void
on_period(void *user, uint64_t argument)
{
    Driver *d = user;

    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        uint32_t u = d->first[s];
        UpstreamInfo info = {.key = u + 1,
                             .domain = d->fakes[u].domain,
                             .slots = d->fakes[u].slots,
                             .cold = true};

        d->fakes[u].draining = d->options.drain;
        d->fakes[u].cold_left = d->options.cold ? COLD_REQUESTS : 0;
        for (uint32_t h = 0; h < d->options.hosts; h++) {
            if (d->options.drain && d->options.listed) {
                Router_SetDraining(d->hosts[h].router, u, true);
            }
            if (d->options.cold) {
                Router_RemoveUpstream(d->hosts[h].router, u);
                Router_AddUpstream(d->hosts[h].router, s, u, &info);
            }
        }
    }
}

static void
create_fakes(Driver *d)
{
    const Deployment *deployment = d->options.deployment;

    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        const DriverService *service = &deployment->services[s];
        uint32_t affected =
            d->options.failing +
            (uint32_t)(d->options.slow_share * service->upstreams + 0.5);

        d->first[s] = d->fake_count;
        for (uint32_t i = 0; i < service->upstreams; i++) {
            Fake *fake = &d->fakes[d->fake_count++];

            fake->service = s;
            fake->slots = service->slots;
            fake->domain = i % deployment->domains;
            fake->affected = i < affected ||
                             (i == 0 && (d->options.cold || d->options.drain));
            g_queue_init(&fake->queue);
        }
        d->flows[s].latencies = g_array_new(FALSE, FALSE, sizeof(gint32));
        d->flows[s].waits = g_array_new(FALSE, FALSE, sizeof(gint32));
    }
    d->first[DRIVER_SERVICES] = d->fake_count;
}

static void
create_router(Driver *d, uint32_t h)
{
    RouterOptions options = d->options.router;
    ServiceInfo info = {.connections = d->options.connections,
                        .probes = d->options.probes};

    options.own_domain = domain_of(d, h);
    d->hosts[h].driver = d;
    d->hosts[h].router = Router_Create(&options, d->clock, d->random);
    Router_SetHosts(d->hosts[h].router, d->host_keys, d->options.hosts, h);
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        g_queue_init(&d->hosts[h].waiting[s]);
        Router_SetService(d->hosts[h].router, s, &info);
    }
    for (uint32_t u = 0; u < d->fake_count; u++) {
        UpstreamInfo upstream = {.key = u + 1,
                                 .domain = d->fakes[u].domain,
                                 .slots = d->fakes[u].slots};

        Router_AddUpstream(d->hosts[h].router, d->fakes[u].service, u,
                           &upstream);
    }
}

static void
create_hosts(Driver *d)
{
    d->hosts = g_new0(Host, d->options.hosts);
    d->host_keys = g_new0(uint64_t, d->options.hosts);
    for (uint32_t h = 0; h < d->options.hosts; h++) {
        d->host_keys[h] = Random_Next(d->random);
    }
    for (uint32_t h = 0; h < d->options.hosts; h++) {
        create_router(d, h);
    }
}

static gint
compare_values(gconstpointer a, gconstpointer b)
{
    gint32 x = *(const gint32 *)a;
    gint32 y = *(const gint32 *)b;

    return x < y ? -1 : x > y;
}

static Micros
quantile(GArray *values, double q)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_values);
    return g_array_index(values, gint32, (guint)(q * (values->len - 1)));
}

static double
share(uint64_t part, uint64_t whole)
{
    return whole > 0 ? (double)part / (double)whole : 0;
}

static void
collect_results(Driver *d)
{
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        Flow *flow = &d->flows[s];
        ServiceResult *r = &flow->result;

        r->p50 = quantile(flow->latencies, 0.5);
        r->p99 = quantile(flow->latencies, 0.99);
        r->wait_p99 = quantile(flow->waits, 0.99);
        r->affected_share = share(flow->affected, r->sent);
        r->affected_late = share(flow->late_affected, flow->late);
        r->affected_after = share(flow->after_affected, flow->after);
        d->result.services[s] = *r;
    }
}

static void
free_request(void *user)
{
    g_free(user);
}

static void
destroy_parts(Driver *d)
{
    for (uint32_t h = 0; h < d->options.hosts; h++) {
        Router_Destroy(d->hosts[h].router);
        for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
            g_queue_clear_full(&d->hosts[h].waiting[s], free_request);
        }
    }
    for (uint32_t u = 0; u < d->fake_count; u++) {
        g_queue_clear_full(&d->fakes[u].queue, free_request);
    }
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        g_array_free(d->flows[s].latencies, TRUE);
        g_array_free(d->flows[s].waits, TRUE);
    }
    g_free(d->hosts);
    g_free(d->host_keys);
    EventQueue_Destroy(d->queue);
    Random_Destroy(d->random);
    Clock_Destroy(d->clock);
}

DriverResult
RoutingDriver_Run(const DriverOptions *options)
{
    Driver *d = g_new0(Driver, 1);
    DriverResult result;

    d->options = *options;
    d->clock = Clock_CreateManual(0, 0);
    d->queue = EventQueue_Create(d->clock);
    d->random = Random_Create(options->seed);
    create_fakes(d);
    create_hosts(d);
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        EventQueue_Add(d->queue, 0, on_arrival, d, s);
    }
    EventQueue_Add(d->queue, 0, on_probe_poll, d, 0);
    EventQueue_Add(d->queue, 0, on_history, d, 0);
    if (options->drain || options->cold) {
        EventQueue_Add(d->queue, options->from, on_period, d, 0);
    }
    EventQueue_RunUntil(d->queue, options->duration + DRAIN_OUT);
    collect_results(d);
    result = d->result;
    destroy_parts(d);
    g_free(d);
    return result;
}
