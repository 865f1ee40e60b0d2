#include <string.h>

#include "ConfigSimulationPrivate.h"

#define LOG_LATENCY_US (2 * MICROS_PER_MS)
#define PEER_LATENCY_US (1 * MICROS_PER_MS)
#define GOSSIP_BYTES 64
#define GOSSIP_FANOUT 2

bool
SimulationNetwork_Chance(ConfigSimulation *simulation, double probability)
{
    return Random_Unit(simulation->random) < probability;
}

/* A request or reply in transit. */
typedef struct SimulatedMessage_ {
    ConfigSimulation *simulation;
    uint32_t host;
    uint32_t generation;
    ConfigAction action;
    uint64_t next; /* end of the stream as seen by a read */
    bool failed;
    Micros deadline;
    uint32_t peer;
    uint64_t offset;
    ConfigChunk chunk;
    GString *data;       /* content of the records or of the piece */
    ConfigRecord *items; /* copies of the records of @chunk */
} SimulatedMessage;

static void
free_message(SimulatedMessage *message)
{
    if (message->data != NULL) {
        g_string_free(message->data, TRUE);
    }
    g_free(message->items);
    g_free(message);
}

static SimulatedMessage *
new_message(ConfigSimulation *simulation, uint32_t host)
{
    SimulatedMessage *message = g_new0(SimulatedMessage, 1);

    message->simulation = simulation;
    message->host = host;
    message->generation = simulation->hosts[host].generation;
    return message;
}

/* Returns true if the message can be delivered now. Delays it if the host is
 * paused; frees it if the host has stopped. */
static bool
can_deliver(SimulatedMessage *message, EventHandler *handler)
{
    ConfigSimulation *simulation = message->simulation;
    SimulatedHost *host = &simulation->hosts[message->host];
    Micros now = Clock_Now(simulation->clock);

    if (!host->alive || host->generation != message->generation ||
        simulation->stopped) {
        free_message(message);
        return false;
    }
    if (host->paused_until > now) {
        EventQueue_Add(simulation->queue, host->paused_until - now, handler,
                       message, 0);
        return false;
    }
    return true;
}

void
SimulationNetwork_AfterEvent(SimulatedHost *host)
{
    uint64_t before = host->last_offset;

    SimulationModel_CheckHost(host, false);
    if (!host->ready && ConfigSync_Ready(host->sync)) {
        host->ready = true;
        Histogram_Add(host->simulation->report->ready,
                      Clock_Now(host->simulation->clock) - host->started);
        SimulationModel_CheckHost(host, true);
        if (ConfigState_Offset(host->state) < host->min_offset) {
            host->simulation->report->reverts++;
            SimulationModel_ReportViolation(
                host, "restarted below the offset in force,",
                host->min_offset);
        }
    }
    if (host->ready && host->last_offset > before) {
        SimulationNetwork_Gossip(host);
    }
    SimulationNetwork_RunActions(host);
}

bool
SimulationNetwork_IsDown(const ConfigSimulation *simulation, uint32_t host)
{
    return Clock_Now(simulation->clock) < simulation->outage_end ||
           host < simulation->options->cut_off_hosts;
}

static void
deliver_read(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    ConfigSimulation *simulation = message->simulation;
    SimulatedHost *host = &simulation->hosts[message->host];
    ConfigStream stream = message->action.read.stream;
    ConfigRecord records[256];
    size_t count;

    if (!can_deliver(message, deliver_read)) {
        return;
    }
    if (message->failed) {
        ConfigSync_OnReadFailed(host->sync, stream);
    }
    else {
        count = SimulatedStream_Read(
            &simulation->streams[stream], message->action.read.from,
            message->next, records, MIN(message->action.read.max, 256));
        ConfigSync_OnRecords(host->sync, stream,
                             simulation->streams[stream].first, message->next,
                             records, count);
    }
    free_message(message);
    SimulationNetwork_AfterEvent(host);
}

static void
reply_to_read(SimulatedMessage *message, bool failed, Micros delay)
{
    ConfigSimulation *simulation = message->simulation;

    message->failed = failed;
    message->next = SimulatedStream_Next(
        &simulation->streams[message->action.read.stream]);
    if (SimulationNetwork_Chance(simulation,
                                 simulation->options->lagging_read_ratio)) {
        uint64_t missed = 1 + Random_Below(simulation->random, 4);

        message->next -= MIN(message->next, missed);
    }
    EventQueue_Add(simulation->queue, delay, deliver_read, message, 0);
}

static void
arrive_read(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    ConfigSimulation *simulation = message->simulation;
    const SimulatedStream *stream =
        &simulation->streams[message->action.read.stream];

    if (SimulationNetwork_IsDown(simulation, message->host)) {
        reply_to_read(message, true,
                      SimulationNetwork_Chance(simulation, 0.5)
                          ? LOG_LATENCY_US
                          : READ_TIMEOUT_US);
        return;
    }
    if (message->action.read.from >= SimulatedStream_Next(stream) &&
        message->action.read.wait_ms > 0 && !simulation->stopped) {
        message->deadline = Clock_Now(simulation->clock) +
                            message->action.read.wait_ms * MICROS_PER_MS;
        g_ptr_array_add(simulation->waiting_reads, message);
        return;
    }
    reply_to_read(message, false, LOG_LATENCY_US);
}

/* A long poll ends when there is a record, at its deadline, and when the log
 * goes down. */
void
SimulationNetwork_WakeReaders(ConfigSimulation *simulation)
{
    for (guint i = simulation->waiting_reads->len; i > 0; i--) {
        SimulatedMessage *message = simulation->waiting_reads->pdata[i - 1];
        bool down = SimulationNetwork_IsDown(simulation, message->host);
        const SimulatedStream *stream =
            &simulation->streams[message->action.read.stream];

        if (down || simulation->stopped ||
            message->action.read.from < SimulatedStream_Next(stream) ||
            message->deadline <= Clock_Now(simulation->clock)) {
            g_ptr_array_remove_index_fast(simulation->waiting_reads, i - 1);
            reply_to_read(message, down, LOG_LATENCY_US);
        }
    }
}

static void
deliver_append(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    SimulatedHost *host = &message->simulation->hosts[message->host];

    if (!can_deliver(message, deliver_append)) {
        return;
    }
    ConfigSync_OnAppended(host->sync, message->failed ? ERR_UNAVAILABLE : 0);
    free_message(message);
    SimulationNetwork_AfterEvent(host);
}

static void
send_append(SimulatedHost *host, const ConfigAction *action)
{
    ConfigSimulation *simulation = host->simulation;
    SimulatedMessage *message = new_message(simulation, host->index);

    message->failed = SimulationNetwork_IsDown(simulation, host->index);
    if (!message->failed) {
        SimulatedStream_Append(&simulation->streams[STREAM_SNAPSHOTS],
                               action->append.record,
                               Clock_Wall(simulation->clock));
        simulation->report->snapshot_appends++;
        message->failed = SimulationNetwork_Chance(
            simulation, simulation->options->lost_reply_ratio);
    }
    EventQueue_Add(simulation->queue,
                   message->failed ? READ_TIMEOUT_US : LOG_LATENCY_US,
                   deliver_append, message, 0);
}

static void
deliver_chunk(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    SimulatedHost *host = &message->simulation->hosts[message->host];

    if (!can_deliver(message, deliver_chunk)) {
        return;
    }
    if (message->failed) {
        ConfigSync_OnFetchFailed(host->sync);
    }
    else {
        ConfigSync_OnChunk(host->sync, &message->chunk);
    }
    free_message(message);
    SimulationNetwork_AfterEvent(host);
}

/* Copies the data, as the peer may change it before the reply arrives. */
static void
copy_chunk(SimulatedMessage *message)
{
    ConfigChunk *chunk = &message->chunk;
    size_t at = 0;

    message->data = g_string_new(NULL);
    if (chunk->snapshot) {
        Str_AppendTo(chunk->piece.data, message->data);
        chunk->piece.data = Str_FromString(message->data);
    }
    message->items = g_new0(ConfigRecord, chunk->count + 1);
    for (size_t i = 0; i < chunk->count; i++) {
        message->items[i] = chunk->records[i];
        Str_AppendTo(chunk->records[i].data, message->data);
    }
    for (size_t i = 0; i < chunk->count; i++) {
        message->items[i].data.data = message->data->str + at;
        at += message->items[i].data.length;
    }
    if (!chunk->snapshot) {
        chunk->records = message->items;
    }
    message->simulation->report->peer_bytes += message->data->len;
}

static void
arrive_fetch(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    ConfigSimulation *simulation = message->simulation;
    SimulatedHost *peer = &simulation->hosts[message->peer];

    if (!peer->alive || peer->paused_until > Clock_Now(simulation->clock) ||
        SimulationNetwork_Chance(simulation,
                                 simulation->options->lost_peer_ratio) ||
        simulation->stopped) {
        free_message(message);
        return;
    }
    message->failed =
        ConfigSync_Serve(peer->sync, &message->action.fetch.request,
                         &message->chunk) != 0;
    if (!message->failed) {
        copy_chunk(message);
    }
    EventQueue_Add(simulation->queue, PEER_LATENCY_US, deliver_chunk, message,
                   0);
}

static void
send_fetch(SimulatedHost *host, const ConfigAction *action)
{
    ConfigSimulation *simulation = host->simulation;
    uint32_t others = simulation->options->hosts - 1;
    SimulatedMessage *message = new_message(simulation, host->index);

    message->action = *action;
    if (others == 0) {
        message->failed = true;
        EventQueue_Add(simulation->queue, PEER_LATENCY_US, deliver_chunk,
                       message, 0);
        return;
    }
    message->peer =
        (host->index + 1 + (uint32_t)(action->fetch.choice % others)) %
        simulation->options->hosts;
    if (SimulationNetwork_Chance(simulation,
                                 simulation->options->lost_peer_ratio)) {
        free_message(message);
        return;
    }
    EventQueue_Add(simulation->queue, PEER_LATENCY_US, arrive_fetch, message,
                   0);
}

static void
deliver_gossip(void *user, uint64_t argument)
{
    SimulatedMessage *message = user;
    SimulatedHost *host = &message->simulation->hosts[message->host];

    if (!can_deliver(message, deliver_gossip)) {
        return;
    }
    ConfigSync_OnPeerOffset(host->sync, message->offset);
    free_message(message);
    SimulationNetwork_AfterEvent(host);
}

void
SimulationNetwork_Gossip(SimulatedHost *host)
{
    ConfigSimulation *simulation = host->simulation;

    for (int i = 0; i < GOSSIP_FANOUT && simulation->options->hosts > 1; i++) {
        uint32_t to =
            (host->index + 1 +
             (uint32_t)Random_Below(simulation->random,
                                    simulation->options->hosts - 1)) %
            simulation->options->hosts;
        SimulatedMessage *message;

        simulation->report->peer_bytes += GOSSIP_BYTES;
        if (SimulationNetwork_Chance(simulation,
                                     simulation->options->lost_peer_ratio)) {
            continue;
        }
        message = new_message(simulation, to);
        message->offset = ConfigState_Offset(host->state);
        EventQueue_Add(simulation->queue, PEER_LATENCY_US, deliver_gossip,
                       message, 0);
    }
}

void
SimulationNetwork_RunActions(SimulatedHost *host)
{
    ConfigAction action;

    while (ConfigSync_NextAction(host->sync, &action)) {
        SimulatedMessage *message;

        switch (action.type) {
        case CONFIG_ACTION_READ:
            message = new_message(host->simulation, host->index);
            message->action = action;
            EventQueue_Add(host->simulation->queue, LOG_LATENCY_US,
                           arrive_read, message, 0);
            break;
        case CONFIG_ACTION_FETCH:
            send_fetch(host, &action);
            break;
        case CONFIG_ACTION_APPEND:
            send_append(host, &action);
            break;
        }
    }
}
