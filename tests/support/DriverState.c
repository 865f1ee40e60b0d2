#include "DriverState.h"

#include <glib.h>

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
        .mean_service_time = 10 * MICROS_PER_MS,
        .retry_share = 0.1,
        .probes = {20, 4000, 0.001},
        .connections = 250,
        .slow_factor = 10,
        .warmup = 2 * MICROS_PER_S,
        .duration = 22 * MICROS_PER_S,
        .seed = 1,
    };
}

uint32_t
Driver_DomainOf(const Driver *d, uint32_t host)
{
    return d->options.one_domain ? 0 : host % d->options.deployment->domains;
}

static void
create_upstreams(Driver *d)
{
    const Deployment *deployment = d->options.deployment;
    bool first_affected = d->options.cold || d->options.drain;

    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        const DriverService *service = &deployment->services[s];
        double affected = d->options.failing + d->options.misreporting +
                          first_affected +
                          d->options.slow_share * service->upstreams;

        for (uint32_t i = 0; i < service->upstreams; i++) {
            SimUpstream *upstream = &d->upstreams[d->upstream_count++];

            FakeUpstream_Init(&upstream->fake, &d->rules, service->slots);
            upstream->service = s;
            upstream->domain = i % deployment->domains;
            upstream->affected = i < affected;
        }
        FlowStats_Init(&d->flows[s]);
    }
}

/*
 * Each host lists itself first, then the hosts that follow it cyclically; the
 * last @unknown_hosts of them are left out.
 */
static void
set_hosts(Driver *d, uint32_t h)
{
    uint32_t known = d->options.hosts - d->options.unknown_hosts;
    uint64_t *keys = g_new(uint64_t, known);

    for (uint32_t i = 0; i < known; i++) {
        keys[i] = d->host_keys[(h + i) % d->options.hosts];
    }
    Router_SetHosts(d->hosts[h].router, keys, known, 0);
    g_free(keys);
}

static void
create_router(Driver *d, uint32_t h)
{
    RouterOptions options = d->options.router;
    ServiceInfo info = {.connections = d->options.connections,
                        .probes = d->options.probes};

    options.own_domain = Driver_DomainOf(d, h);
    d->hosts[h].driver = d;
    d->hosts[h].router = Router_Create(&options, d->clock, d->random);
    set_hosts(d, h);
    for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
        g_queue_init(&d->hosts[h].waiting[s]);
        Router_SetService(d->hosts[h].router, s, &info);
    }
    for (uint32_t u = 0; u < d->upstream_count; u++) {
        UpstreamInfo upstream = {.key = u + 1,
                                 .domain = d->upstreams[u].domain,
                                 .slots = d->upstreams[u].fake.slots};

        Router_AddUpstream(d->hosts[h].router, d->upstreams[u].service, u,
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

Driver *
Driver_Create(const DriverOptions *options)
{
    Driver *d = g_new0(Driver, 1);

    d->options = *options;
    d->clock = Clock_CreateManual(0, 0);
    d->queue = EventQueue_Create(d->clock);
    d->random = Random_Create(options->seed);
    d->rules = (FakeRules){
        .clock = d->clock,
        .queue = d->queue,
        .random = d->random,
        .mean_service_time = options->mean_service_time,
        .service_times = options->service_times,
        .reports = options->reports,
        .shed = options->shed,
        .queue_max = options->queue_max,
    };
    create_upstreams(d);
    create_hosts(d);
    return d;
}

static void
free_request(void *user)
{
    g_free(user);
}

void
Driver_Destroy(Driver *d)
{
    for (uint32_t h = 0; h < d->options.hosts; h++) {
        Router_Destroy(d->hosts[h].router);
        for (uint32_t s = 0; s < DRIVER_SERVICES; s++) {
            g_queue_clear_full(&d->hosts[h].waiting[s], free_request);
        }
    }
    for (uint32_t u = 0; u < d->upstream_count; u++) {
        g_queue_clear_full(&d->upstreams[u].fake.waiting, free_request);
    }
    g_free(d->hosts);
    g_free(d->host_keys);
    EventQueue_Destroy(d->queue);
    Random_Destroy(d->random);
    Clock_Destroy(d->clock);
    g_free(d);
}
