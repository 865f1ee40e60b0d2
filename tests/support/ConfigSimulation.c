#include <string.h>

#include "ConfigSimulationPrivate.h"

#define START (2 * MICROS_PER_S) /* first faults and publications */
#define OUTAGE_GAP (1500 * MICROS_PER_MS)
/* A change is in force on a host that is cut off from the log, too. */
#define SETTLE_TIME (5 * MICROS_PER_S)
#define GOSSIP_EVERY (500 * MICROS_PER_MS)
#define TICK (50 * MICROS_PER_MS)

static void
on_applied(void *user, const ConfigVerdict *verdict)
{
    LabModel_OnApplied(user, verdict);
}

static void
tick_host(void *user, uint64_t generation)
{
    LabHost *host = user;
    Lab *lab = host->lab;
    Micros now = Clock_Now(lab->clock);

    if (lab->stopped || !host->alive || host->generation != generation) {
        return;
    }
    if (host->paused_until <= now) {
        ConfigSync_OnTick(host->sync);
        if (host->ready && now >= host->next_gossip) {
            host->next_gossip = now + GOSSIP_EVERY;
            LabNet_Gossip(host);
        }
        LabNet_AfterEvent(host);
    }
    EventQueue_Add(lab->queue, TICK, tick_host, host, generation);
}

static uint64_t
offset_in_force(const Lab *lab)
{
    uint64_t least = UINT64_MAX;

    for (uint32_t i = 0; i < lab->options->hosts; i++) {
        const LabHost *host = &lab->hosts[i];

        if (host->alive && host->ready) {
            least = MIN(least, ConfigState_Offset(host->state));
        }
    }
    return least == UINT64_MAX ? 0 : least;
}

static void
start_host(void *user, uint64_t argument)
{
    LabHost *host = user;
    Lab *lab = host->lab;
    ConfigOptions options = Fixture_Options();
    ConfigSyncOptions sync = {.snapshots = lab->options->snapshots};

    if (host->index == 0) {
        options.test_faults = lab->options->test_faults;
        sync.test_faults = lab->options->test_faults;
    }
    host->generation++;
    host->alive = true;
    host->ready = false;
    host->started = Clock_Now(lab->clock);
    host->last_offset = 0;
    host->must_reach = offset_in_force(lab);
    host->state = ConfigState_Create(&options);
    host->random = Random_Create(Random_Next(lab->random));
    host->sync =
        ConfigSync_Create(&sync, host->state, lab->clock, host->random, NULL);
    ConfigSync_SetApplied(host->sync, on_applied, host);
    EventQueue_Add(lab->queue, (Micros)Random_Below(lab->random, TICK),
                   tick_host, host, host->generation);
    LabNet_Drain(host);
}

static void
stop_host(LabHost *host)
{
    ConfigSimulationReport *report = host->lab->report;
    ConfigSyncStatus status;

    if (!host->alive) {
        return;
    }
    ConfigSync_Status(host->sync, &status);
    report->from_peers += status.from_peers;
    report->lagging_reads += status.lagging_reads;
    report->snapshots_written += status.written;
    ConfigSync_Destroy(host->sync);
    ConfigState_Destroy(host->state);
    Random_Destroy(host->random);
    host->alive = false;
}

static void
restart_host(void *user, uint64_t argument)
{
    LabHost *host = user;
    Lab *lab = host->lab;

    if (lab->stopped || !host->alive) {
        return;
    }
    stop_host(host);
    lab->report->restarts++;
    EventQueue_Add(lab->queue,
                   (Micros)Random_Below(lab->random, MICROS_PER_S / 2),
                   start_host, host, 0);
}

static Micros
next_time(Lab *lab, Micros mean)
{
    return 1 + (Micros)Random_Exponential(lab->random, (double)mean);
}

static bool
faults_over(const Lab *lab)
{
    return Clock_Now(lab->clock) >= lab->options->faults_end;
}

/*
 * Records that expire while the log is down and every host is new are lost
 * by any design without other storage. Outages therefore end within a third
 * of the retention time and leave the hosts a moment in between; real
 * retention times are days.
 */
static void
begin_outage(void *user, uint64_t argument)
{
    Lab *lab = user;
    Micros now = Clock_Now(lab->clock);
    Micros length = next_time(lab, lab->options->outage_mean);

    if (faults_over(lab)) {
        return;
    }
    if (lab->options->retention > 0) {
        length = MIN(length, lab->options->retention / 3);
    }
    lab->down_until = MIN(now + length, lab->options->faults_end);
    LabNet_WakeReaders(lab);
    EventQueue_Add(lab->queue,
                   lab->down_until - now + OUTAGE_GAP +
                       next_time(lab, lab->options->outage_interval),
                   begin_outage, lab, 0);
}

static void
begin_pause(void *user, uint64_t argument)
{
    Lab *lab = user;
    LabHost *host =
        &lab->hosts[Random_Below(lab->random, lab->options->hosts)];

    if (faults_over(lab)) {
        return;
    }
    host->paused_until = Clock_Now(lab->clock) +
                         (Micros)Random_Below(lab->random, 3 * MICROS_PER_S);
    EventQueue_Add(lab->queue, next_time(lab, lab->options->pause_interval),
                   begin_pause, lab, 0);
}

static void
begin_restart(void *user, uint64_t argument)
{
    Lab *lab = user;

    if (faults_over(lab)) {
        return;
    }
    restart_host(&lab->hosts[Random_Below(lab->random, lab->options->hosts)],
                 0);
    EventQueue_Add(lab->queue, next_time(lab, lab->options->restart_interval),
                   begin_restart, lab, 0);
}

/* What is appended later need not be on every host at the end of the run. */
static bool
can_settle(const Lab *lab)
{
    return Clock_Now(lab->clock) <= lab->options->end - SETTLE_TIME;
}

/* Repeats the same record until an answer arrives, as the command does. */
static void
append_publication(void *user, uint64_t index)
{
    Lab *lab = user;
    LabPublication *publication = lab->publications->pdata[index];
    Str record = Str_FromString(publication->record);

    if (!can_settle(lab)) {
        return;
    }
    if (publication->sent == 0) {
        publication->sent = Clock_Now(lab->clock);
    }
    if (Clock_Now(lab->clock) < lab->down_until) {
        EventQueue_Add(lab->queue, 300 * MICROS_PER_MS, append_publication,
                       lab, index);
        return;
    }
    LabStream_Append(&lab->streams[STREAM_CONFIG], record,
                     Clock_Wall(lab->clock));
    lab->report->appends++;
    LabModel_OnAppend(lab, publication, record, publication->sent);
    LabNet_WakeReaders(lab);
    if (publication->repeats++ < 3 &&
        LabNet_Chance(lab, lab->options->lost_reply_ratio)) {
        EventQueue_Add(lab->queue, next_time(lab, READ_TIMEOUT),
                       append_publication, lab, index);
    }
}

/* An attacker who can append but has no operator's key. */
static void
append_forged(Lab *lab)
{
    GString *record = g_string_new(NULL);

    Fixture_Sign(record, "forged", "root", KEY_OTHER, 1,
                 "[service.svc]\nconnections = 9\n");
    LabStream_Append(&lab->streams[STREAM_CONFIG], Str_FromString(record),
                     Clock_Wall(lab->clock));
    LabModel_OnAppend(lab, NULL, Str_FromString(record), 0);
    g_string_free(record, TRUE);
    LabNet_WakeReaders(lab);
}

/* Contents signed as they are, with an offset that the log does not have;
 * the head of the piece, which no digest covers, gives the true one. */
static void
append_forged_snapshot(Lab *lab)
{
    unsigned long long offset = ConfigState_Offset(lab->reference);
    SnapshotChunk chunk = {.offset = offset, .count = 1};
    char *from = g_strdup_printf("offset %llu\naccepted", offset);
    char *to = g_strdup_printf("offset %llu\naccepted", offset + 1000);
    GString *text = g_string_new(NULL);
    GString *record = g_string_new(NULL);

    ConfigState_WriteSnapshot(lab->reference, text);
    g_string_replace(text, from, to, 1);
    Fixture_FixDigest(text);
    chunk.data = Str_FromString(text);
    Snapshot_Digest(chunk.data, chunk.digest);
    Snapshot_WriteChunk(&chunk, record);
    LabStream_Append(&lab->streams[STREAM_SNAPSHOTS], Str_FromString(record),
                     Clock_Wall(lab->clock));
    g_string_free(record, TRUE);
    g_string_free(text, TRUE);
    g_free(to);
    g_free(from);
}

static void
publish(void *user, uint64_t argument)
{
    Lab *lab = user;
    const LabHost *host =
        &lab->hosts[Random_Below(lab->random, lab->options->hosts)];

    if (lab->stopped || lab->publications->len >= lab->options->publications) {
        return;
    }
    if (LabNet_Chance(lab, lab->options->forged_ratio) && can_settle(lab) &&
        !LabNet_IsDown(lab, UINT32_MAX)) {
        append_forged(lab);
        append_forged_snapshot(lab);
    }
    if (host->alive && host->ready) {
        LabModel_Create(lab, ConfigState_Offset(host->state));
        EventQueue_Add(lab->queue, next_time(lab, 200 * MICROS_PER_MS),
                       append_publication, lab, lab->publications->len - 1);
    }
    EventQueue_Add(lab->queue, next_time(lab, lab->options->publish_interval),
                   publish, lab, 0);
}

static void
expire(void *user, uint64_t argument)
{
    Lab *lab = user;
    Micros time = Clock_Wall(lab->clock) - lab->options->retention;

    if (lab->stopped) {
        return;
    }
    if (lab->options->retention > 0) {
        LabStream_Expire(&lab->streams[STREAM_CONFIG], time);
        LabStream_Expire(&lab->streams[STREAM_SNAPSHOTS], time);
    }
    LabNet_WakeReaders(lab);
    EventQueue_Add(lab->queue, 250 * MICROS_PER_MS, expire, lab, 0);
}

static void
plan_replacements(Lab *lab)
{
    Micros at = lab->options->faults_end / 4;
    Micros step = lab->options->faults_end / 2 / lab->options->hosts;

    for (uint32_t i = 0; i < lab->options->hosts; i++) {
        EventQueue_Add(lab->queue, at + i * step, restart_host, &lab->hosts[i],
                       0);
    }
    at = lab->options->faults_end * 7 / 8;
    for (uint32_t i = 0; i < 5 && i + 1 < lab->options->hosts; i++) {
        EventQueue_Add(lab->queue, at, restart_host, &lab->hosts[i], 0);
    }
}

static void
plan(Lab *lab)
{
    const ConfigSimulationOptions *options = lab->options;

    for (uint32_t i = 0; i < options->hosts; i++) {
        lab->hosts[i].lab = lab;
        lab->hosts[i].index = i;
        start_host(&lab->hosts[i], 0);
    }
    EventQueue_Add(lab->queue, START, publish, lab, 0);
    EventQueue_Add(lab->queue, 0, expire, lab, 0);
    if (options->outage_interval > 0) {
        EventQueue_Add(lab->queue,
                       START + next_time(lab, options->outage_interval),
                       begin_outage, lab, 0);
    }
    if (options->pause_interval > 0) {
        EventQueue_Add(lab->queue, next_time(lab, options->pause_interval),
                       begin_pause, lab, 0);
    }
    if (options->restart_interval > 0) {
        EventQueue_Add(lab->queue, next_time(lab, options->restart_interval),
                       begin_restart, lab, 0);
    }
    if (options->rolling_restart) {
        plan_replacements(lab);
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
    Lab lab = {.options = options, .report = report};

    if (report->in_force == NULL) {
        report->in_force = Histogram_Create();
        report->ready = Histogram_Create();
    }
    lab.clock = Clock_CreateManual(0, 1000000 * MICROS_PER_S);
    lab.random = Random_Create(options->seed);
    lab.queue = EventQueue_Create(lab.clock);
    lab.waiting = g_ptr_array_new();
    LabStream_Init(&lab.streams[STREAM_CONFIG]);
    LabStream_Init(&lab.streams[STREAM_SNAPSHOTS]);
    LabModel_Init(&lab);
    plan(&lab);
    EventQueue_RunUntil(lab.queue, options->end);
    LabModel_CheckEnd(&lab);
    lab.stopped = true;
    LabNet_WakeReaders(&lab);
    EventQueue_RunUntil(lab.queue, options->end + 60 * MICROS_PER_S);
    for (uint32_t i = 0; i < options->hosts; i++) {
        stop_host(&lab.hosts[i]);
    }
    LabModel_Clear(&lab);
    LabStream_Clear(&lab.streams[STREAM_CONFIG]);
    LabStream_Clear(&lab.streams[STREAM_SNAPSHOTS]);
    g_ptr_array_free(lab.waiting, TRUE);
    EventQueue_Destroy(lab.queue);
    Random_Destroy(lab.random);
    Clock_Destroy(lab.clock);
}

void
ConfigSimulationReport_Clear(ConfigSimulationReport *report)
{
    Histogram_Destroy(report->in_force);
    Histogram_Destroy(report->ready);
}
