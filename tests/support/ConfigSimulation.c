#include <string.h>

#include "ConfigSimulationPrivate.h"

#define FIRST_EVENT_US (2 * MICROS_PER_S) /* earliest publication, outage */
#define OUTAGE_GAP_US (1500 * MICROS_PER_MS)
/* Time for a change to reach all hosts, including those cut off from the
 * log. */
#define SETTLE_TIME_US (5 * MICROS_PER_S)
#define GOSSIP_INTERVAL_US (500 * MICROS_PER_MS)
#define TICK_US (50 * MICROS_PER_MS)

static void
on_applied(void *user, const ConfigVerdict *verdict)
{
    SimulationModel_OnApplied(user, verdict);
}

static void
tick_host(void *user, uint64_t generation)
{
    SimulatedHost *host = user;
    ConfigSimulation *simulation = host->simulation;
    Micros now = Clock_Now(simulation->clock);

    if (simulation->stopped || !host->alive ||
        host->generation != generation) {
        return;
    }
    if (host->paused_until <= now) {
        ConfigSync_OnTick(host->sync);
        if (host->ready && now >= host->next_gossip) {
            host->next_gossip = now + GOSSIP_INTERVAL_US;
            SimulationNetwork_Gossip(host);
        }
        SimulationNetwork_AfterEvent(host);
    }
    EventQueue_Add(simulation->queue, TICK_US, tick_host, host, generation);
}

static uint64_t
offset_in_force(const ConfigSimulation *simulation)
{
    uint64_t least = UINT64_MAX;

    for (uint32_t i = 0; i < simulation->options->hosts; i++) {
        const SimulatedHost *host = &simulation->hosts[i];

        if (host->alive && host->ready) {
            least = MIN(least, ConfigState_Offset(host->state));
        }
    }
    return least == UINT64_MAX ? 0 : least;
}

static void
start_host(void *user, uint64_t argument)
{
    SimulatedHost *host = user;
    ConfigSimulation *simulation = host->simulation;
    ConfigOptions options = Fixture_Options();
    ConfigSyncOptions sync = {.snapshots = simulation->options->snapshots};

    if (host->index == 0) {
        options.test_faults = simulation->options->test_faults;
        sync.test_faults = simulation->options->test_faults;
    }
    host->generation++;
    host->alive = true;
    host->ready = false;
    host->started = Clock_Now(simulation->clock);
    host->last_offset = 0;
    host->min_offset = offset_in_force(simulation);
    host->state = ConfigState_Create(&options);
    host->random = Random_Create(Random_Next(simulation->random));
    host->sync = ConfigSync_Create(&sync, host->state, simulation->clock,
                                   host->random, NULL);
    ConfigSync_SetAppliedHandler(host->sync, on_applied, host);
    EventQueue_Add(simulation->queue,
                   (Micros)Random_Below(simulation->random, TICK_US),
                   tick_host, host, host->generation);
    SimulationNetwork_RunActions(host);
}

static void
stop_host(SimulatedHost *host)
{
    ConfigSimulationReport *report = host->simulation->report;
    ConfigSyncStatus status;

    if (!host->alive) {
        return;
    }
    ConfigSync_Status(host->sync, &status);
    report->records_from_peers += status.records_from_peers;
    report->lagging_reads += status.lagging_reads;
    report->snapshots_written += status.snapshots_written;
    ConfigSync_Destroy(host->sync);
    ConfigState_Destroy(host->state);
    Random_Destroy(host->random);
    host->alive = false;
}

static void
restart_host(void *user, uint64_t argument)
{
    SimulatedHost *host = user;
    ConfigSimulation *simulation = host->simulation;

    if (simulation->stopped || !host->alive) {
        return;
    }
    stop_host(host);
    simulation->report->restarts++;
    EventQueue_Add(simulation->queue,
                   (Micros)Random_Below(simulation->random, MICROS_PER_S / 2),
                   start_host, host, 0);
}

static Micros
next_time(ConfigSimulation *simulation, Micros mean)
{
    return 1 + (Micros)Random_Exponential(simulation->random, (double)mean);
}

static bool
are_faults_over(const ConfigSimulation *simulation)
{
    return Clock_Now(simulation->clock) >= simulation->options->faults_end;
}

/*
 * Records that expire while the log is down and after all hosts have
 * restarted are lost in any design without other storage. Outages therefore
 * last at most a third of the retention time, with at least OUTAGE_GAP_US
 * between them. Real retention times are days.
 */
static void
begin_outage(void *user, uint64_t argument)
{
    ConfigSimulation *simulation = user;
    Micros now = Clock_Now(simulation->clock);
    Micros length = next_time(simulation, simulation->options->outage_mean);

    if (are_faults_over(simulation)) {
        return;
    }
    if (simulation->options->retention > 0) {
        length = MIN(length, simulation->options->retention / 3);
    }
    simulation->outage_end =
        MIN(now + length, simulation->options->faults_end);
    SimulationNetwork_WakeReaders(simulation);
    EventQueue_Add(
        simulation->queue,
        simulation->outage_end - now + OUTAGE_GAP_US +
            next_time(simulation, simulation->options->outage_interval),
        begin_outage, simulation, 0);
}

static void
begin_pause(void *user, uint64_t argument)
{
    ConfigSimulation *simulation = user;
    SimulatedHost *host = &simulation->hosts[Random_Below(
        simulation->random, simulation->options->hosts)];

    if (are_faults_over(simulation)) {
        return;
    }
    host->paused_until =
        Clock_Now(simulation->clock) +
        (Micros)Random_Below(simulation->random, 3 * MICROS_PER_S);
    EventQueue_Add(simulation->queue,
                   next_time(simulation, simulation->options->pause_interval),
                   begin_pause, simulation, 0);
}

static void
begin_restart(void *user, uint64_t argument)
{
    ConfigSimulation *simulation = user;

    if (are_faults_over(simulation)) {
        return;
    }
    restart_host(&simulation->hosts[Random_Below(simulation->random,
                                                 simulation->options->hosts)],
                 0);
    EventQueue_Add(
        simulation->queue,
        next_time(simulation, simulation->options->restart_interval),
        begin_restart, simulation, 0);
}

/* False near the end of the run, when a new record might not reach all hosts
 * before the final check. */
static bool
can_settle(const ConfigSimulation *simulation)
{
    return Clock_Now(simulation->clock) <=
           simulation->options->end - SETTLE_TIME_US;
}

/* Retries the same record until a reply arrives, as the publish command does,
 * but appends it at most 4 times. */
static void
append_publication(void *user, uint64_t index)
{
    ConfigSimulation *simulation = user;
    SimulatedPublication *publication = simulation->publications->pdata[index];
    Str record = Str_FromString(publication->record);

    if (!can_settle(simulation)) {
        return;
    }
    if (publication->first_sent == 0) {
        publication->first_sent = Clock_Now(simulation->clock);
    }
    if (Clock_Now(simulation->clock) < simulation->outage_end) {
        EventQueue_Add(simulation->queue, 300 * MICROS_PER_MS,
                       append_publication, simulation, index);
        return;
    }
    SimulatedStream_Append(&simulation->streams[STREAM_CONFIG], record,
                           Clock_Wall(simulation->clock));
    simulation->report->appends++;
    SimulationModel_OnAppend(simulation, publication, record,
                             publication->first_sent);
    SimulationNetwork_WakeReaders(simulation);
    if (publication->retries++ < 3 &&
        SimulationNetwork_Chance(simulation,
                                 simulation->options->lost_reply_ratio)) {
        EventQueue_Add(simulation->queue,
                       next_time(simulation, READ_TIMEOUT_US),
                       append_publication, simulation, index);
    }
}

/* Simulates an attacker who can append but has no operator's key. */
static void
append_forged(ConfigSimulation *simulation)
{
    GString *record = g_string_new(NULL);

    Fixture_Sign(record, "forged", "root", KEY_OTHER, 1,
                 "[service.svc]\nconnections = 9\n");
    SimulatedStream_Append(&simulation->streams[STREAM_CONFIG],
                           Str_FromString(record),
                           Clock_Wall(simulation->clock));
    SimulationModel_OnAppend(simulation, NULL, Str_FromString(record), 0);
    g_string_free(record, TRUE);
    SimulationNetwork_WakeReaders(simulation);
}

/* Appends a snapshot with correctly signed contents but an offset beyond the
 * end of the log. The header of its chunk, which no digest covers, states the
 * true offset. */
static void
append_forged_snapshot(ConfigSimulation *simulation)
{
    unsigned long long offset = ConfigState_Offset(simulation->reference);
    SnapshotChunk chunk = {.offset = offset, .count = 1};
    char *from = g_strdup_printf("offset %llu\naccepted", offset);
    char *to = g_strdup_printf("offset %llu\naccepted", offset + 1000);
    GString *text = g_string_new(NULL);
    GString *record = g_string_new(NULL);

    ConfigState_WriteSnapshot(simulation->reference, text);
    g_string_replace(text, from, to, 1);
    Fixture_FixDigest(text);
    chunk.data = Str_FromString(text);
    Snapshot_Digest(chunk.data, chunk.digest);
    Snapshot_WriteChunk(&chunk, record);
    SimulatedStream_Append(&simulation->streams[STREAM_SNAPSHOTS],
                           Str_FromString(record),
                           Clock_Wall(simulation->clock));
    g_string_free(record, TRUE);
    g_string_free(text, TRUE);
    g_free(to);
    g_free(from);
}

static void
publish(void *user, uint64_t argument)
{
    ConfigSimulation *simulation = user;
    const SimulatedHost *host = &simulation->hosts[Random_Below(
        simulation->random, simulation->options->hosts)];

    if (simulation->stopped ||
        simulation->publications->len >= simulation->options->publications) {
        return;
    }
    if (SimulationNetwork_Chance(simulation,
                                 simulation->options->forged_ratio) &&
        can_settle(simulation) &&
        !SimulationNetwork_IsDown(simulation, UINT32_MAX)) {
        append_forged(simulation);
        append_forged_snapshot(simulation);
    }
    if (host->alive && host->ready) {
        SimulationModel_CreatePublication(simulation,
                                          ConfigState_Offset(host->state));
        EventQueue_Add(
            simulation->queue, next_time(simulation, 200 * MICROS_PER_MS),
            append_publication, simulation, simulation->publications->len - 1);
    }
    EventQueue_Add(
        simulation->queue,
        next_time(simulation, simulation->options->publish_interval), publish,
        simulation, 0);
}

static void
expire(void *user, uint64_t argument)
{
    ConfigSimulation *simulation = user;
    Micros time =
        Clock_Wall(simulation->clock) - simulation->options->retention;

    if (simulation->stopped) {
        return;
    }
    if (simulation->options->retention > 0) {
        SimulatedStream_Expire(&simulation->streams[STREAM_CONFIG], time);
        SimulatedStream_Expire(&simulation->streams[STREAM_SNAPSHOTS], time);
    }
    SimulationNetwork_WakeReaders(simulation);
    EventQueue_Add(simulation->queue, 250 * MICROS_PER_MS, expire, simulation,
                   0);
}

static void
schedule_restarts(ConfigSimulation *simulation)
{
    Micros at = simulation->options->faults_end / 4;
    Micros step =
        simulation->options->faults_end / 2 / simulation->options->hosts;

    for (uint32_t i = 0; i < simulation->options->hosts; i++) {
        EventQueue_Add(simulation->queue, at + i * step, restart_host,
                       &simulation->hosts[i], 0);
    }
    at = simulation->options->faults_end * 7 / 8;
    for (uint32_t i = 0; i < 5 && i + 1 < simulation->options->hosts; i++) {
        EventQueue_Add(simulation->queue, at, restart_host,
                       &simulation->hosts[i], 0);
    }
}

static void
schedule_events(ConfigSimulation *simulation)
{
    const ConfigSimulationOptions *options = simulation->options;

    for (uint32_t i = 0; i < options->hosts; i++) {
        simulation->hosts[i].simulation = simulation;
        simulation->hosts[i].index = i;
        start_host(&simulation->hosts[i], 0);
    }
    EventQueue_Add(simulation->queue, FIRST_EVENT_US, publish, simulation, 0);
    EventQueue_Add(simulation->queue, 0, expire, simulation, 0);
    if (options->outage_interval > 0) {
        EventQueue_Add(simulation->queue,
                       FIRST_EVENT_US +
                           next_time(simulation, options->outage_interval),
                       begin_outage, simulation, 0);
    }
    if (options->pause_interval > 0) {
        EventQueue_Add(simulation->queue,
                       next_time(simulation, options->pause_interval),
                       begin_pause, simulation, 0);
    }
    if (options->restart_interval > 0) {
        EventQueue_Add(simulation->queue,
                       next_time(simulation, options->restart_interval),
                       begin_restart, simulation, 0);
    }
    if (options->rolling_restart) {
        schedule_restarts(simulation);
    }
}

ConfigSimulationOptions
ConfigSimulation_DefaultOptions(uint64_t seed)
{
    return (ConfigSimulationOptions){
        .seed = seed,
        .hosts = 4,
        .publications = 10,
        .publish_interval = 700 * MICROS_PER_MS,
        .faults_end = 11 * MICROS_PER_S,
        .end = 18 * MICROS_PER_S,
        .lost_reply_ratio = 0.3,
        .lagging_read_ratio = 0.2,
        .lost_peer_ratio = 0.2,
        .forged_ratio = 0.1,
        .outage_interval = 4 * MICROS_PER_S,
        .outage_mean = 2 * MICROS_PER_S,
        .pause_interval = 3 * MICROS_PER_S,
        .restart_interval = 4 * MICROS_PER_S,
        .retention = 8 * MICROS_PER_S,
        .snapshots = {2 * MICROS_PER_S, MICROS_PER_S / 2, 1000},
    };
}

void
ConfigSimulation_Run(const ConfigSimulationOptions *options,
                     ConfigSimulationReport *report)
{
    ConfigSimulation simulation = {.options = options, .report = report};

    if (report->in_force == NULL) {
        report->in_force = Histogram_Create();
        report->ready = Histogram_Create();
    }
    simulation.clock = Clock_CreateManual(0, 1000000 * MICROS_PER_S);
    simulation.random = Random_Create(options->seed);
    simulation.queue = EventQueue_Create(simulation.clock);
    simulation.waiting_reads = g_ptr_array_new();
    SimulatedStream_Init(&simulation.streams[STREAM_CONFIG]);
    SimulatedStream_Init(&simulation.streams[STREAM_SNAPSHOTS]);
    SimulationModel_Init(&simulation);
    schedule_events(&simulation);
    EventQueue_RunUntil(simulation.queue, options->end);
    SimulationModel_CheckEnd(&simulation);
    simulation.stopped = true;
    SimulationNetwork_WakeReaders(&simulation);
    EventQueue_RunUntil(simulation.queue, options->end + 60 * MICROS_PER_S);
    for (uint32_t i = 0; i < options->hosts; i++) {
        stop_host(&simulation.hosts[i]);
    }
    SimulationModel_Clear(&simulation);
    SimulatedStream_Clear(&simulation.streams[STREAM_CONFIG]);
    SimulatedStream_Clear(&simulation.streams[STREAM_SNAPSHOTS]);
    g_ptr_array_free(simulation.waiting_reads, TRUE);
    EventQueue_Destroy(simulation.queue);
    Random_Destroy(simulation.random);
    Clock_Destroy(simulation.clock);
}

void
ConfigSimulationReport_Clear(ConfigSimulationReport *report)
{
    Histogram_Destroy(report->in_force);
    Histogram_Destroy(report->ready);
}
