#include <string.h>

#include "ConfigSimulationPrivate.h"

#define LOG_LATENCY (2 * MICROS_PER_MS)
#define PEER_LATENCY (1 * MICROS_PER_MS)
#define GOSSIP_BYTES 64
#define FANOUT 2

bool
LabNet_Chance(Lab *lab, double probability)
{
    return Random_Unit(lab->random) < probability;
}

/* A request or an answer on its way. */
typedef struct LabMessage_ {
    Lab *lab;
    uint32_t host;
    uint32_t generation;
    ConfigAction action;
    uint64_t next; /* end of the stream as a read sees it */
    bool failed;
    Micros deadline;
    uint32_t peer;
    uint64_t offset;
    ConfigChunk chunk;
    GString *data;       /* of the chunk's records or piece */
    ConfigRecord *items; /* of the chunk */
} LabMessage;

static void
free_message(LabMessage *message)
{
    if (message->data != NULL) {
        g_string_free(message->data, TRUE);
    }
    g_free(message->items);
    g_free(message);
}

static LabMessage *
new_message(Lab *lab, uint32_t host)
{
    LabMessage *message = g_new0(LabMessage, 1);

    message->lab = lab;
    message->host = host;
    message->generation = lab->hosts[host].generation;
    return message;
}

/* True if the message can be handled now; a pause only delays it. */
static bool
can_deliver(LabMessage *message, EventHandler *again)
{
    Lab *lab = message->lab;
    LabHost *host = &lab->hosts[message->host];
    Micros now = Clock_Now(lab->clock);

    if (!host->alive || host->generation != message->generation ||
        lab->stopped) {
        free_message(message);
        return false;
    }
    if (host->paused_until > now) {
        EventQueue_Add(lab->queue, host->paused_until - now, again, message,
                       0);
        return false;
    }
    return true;
}

void
LabNet_AfterEvent(LabHost *host)
{
    uint64_t before = host->last_offset;

    LabModel_CheckHost(host, false);
    if (!host->ready && ConfigSync_Ready(host->sync)) {
        host->ready = true;
        Histogram_Add(host->lab->report->ready,
                      Clock_Now(host->lab->clock) - host->started);
        LabModel_CheckHost(host, true);
        if (ConfigState_Offset(host->state) < host->must_reach) {
            host->lab->report->reverts++;
            LabModel_Violate(host, "restarted below what was in force,",
                             host->must_reach);
        }
    }
    if (host->ready && host->last_offset > before) {
        LabNet_Gossip(host);
    }
    LabNet_Drain(host);
}

bool
LabNet_IsDown(const Lab *lab, uint32_t host)
{
    return Clock_Now(lab->clock) < lab->down_until ||
           host < lab->options->cut_off_hosts;
}

static void
deliver_read(void *user, uint64_t argument)
{
    LabMessage *message = user;
    Lab *lab = message->lab;
    LabHost *host = &lab->hosts[message->host];
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
        count = LabStream_Read(&lab->streams[stream],
                               message->action.read.from, message->next,
                               records, MIN(message->action.read.max, 256));
        ConfigSync_OnRecords(host->sync, stream, lab->streams[stream].first,
                             message->next, records, count);
    }
    free_message(message);
    LabNet_AfterEvent(host);
}

static void
answer_read(LabMessage *message, bool failed, Micros delay)
{
    Lab *lab = message->lab;

    message->failed = failed;
    message->next = LabStream_Next(&lab->streams[message->action.read.stream]);
    if (LabNet_Chance(lab, lab->options->lagging_read_ratio)) {
        uint64_t missed = 1 + Random_Below(lab->random, 4);

        message->next -= MIN(message->next, missed);
    }
    EventQueue_Add(lab->queue, delay, deliver_read, message, 0);
}

static void
arrive_read(void *user, uint64_t argument)
{
    LabMessage *message = user;
    Lab *lab = message->lab;
    const LabStream *stream = &lab->streams[message->action.read.stream];

    if (LabNet_IsDown(lab, message->host)) {
        answer_read(message, true,
                    LabNet_Chance(lab, 0.5) ? LOG_LATENCY : READ_TIMEOUT);
        return;
    }
    if (message->action.read.from >= LabStream_Next(stream) &&
        message->action.read.wait_ms > 0 && !lab->stopped) {
        message->deadline = Clock_Now(lab->clock) +
                            message->action.read.wait_ms * MICROS_PER_MS;
        g_ptr_array_add(lab->waiting, message);
        return;
    }
    answer_read(message, false, LOG_LATENCY);
}

/* Ends long polls: there is a record, the time is up, or the log is down. */
void
LabNet_WakeReaders(Lab *lab)
{
    for (guint i = lab->waiting->len; i > 0; i--) {
        LabMessage *message = lab->waiting->pdata[i - 1];
        bool down = LabNet_IsDown(lab, message->host);
        const LabStream *stream = &lab->streams[message->action.read.stream];

        if (down || lab->stopped ||
            message->action.read.from < LabStream_Next(stream) ||
            message->deadline <= Clock_Now(lab->clock)) {
            g_ptr_array_remove_index_fast(lab->waiting, i - 1);
            answer_read(message, down, LOG_LATENCY);
        }
    }
}

static void
deliver_append(void *user, uint64_t argument)
{
    LabMessage *message = user;
    LabHost *host = &message->lab->hosts[message->host];

    if (!can_deliver(message, deliver_append)) {
        return;
    }
    ConfigSync_OnAppended(host->sync, message->failed ? ERR_UNAVAILABLE : 0);
    free_message(message);
    LabNet_AfterEvent(host);
}

static void
send_append(LabHost *host, const ConfigAction *action)
{
    Lab *lab = host->lab;
    LabMessage *message = new_message(lab, host->index);

    message->failed = LabNet_IsDown(lab, host->index);
    if (!message->failed) {
        LabStream_Append(&lab->streams[STREAM_SNAPSHOTS],
                         action->append.record, Clock_Wall(lab->clock));
        lab->report->snapshot_appends++;
        message->failed = LabNet_Chance(lab, lab->options->lost_reply_ratio);
    }
    EventQueue_Add(lab->queue, message->failed ? READ_TIMEOUT : LOG_LATENCY,
                   deliver_append, message, 0);
}

static void
deliver_chunk(void *user, uint64_t argument)
{
    LabMessage *message = user;
    LabHost *host = &message->lab->hosts[message->host];

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
    LabNet_AfterEvent(host);
}

/* The peer's memory may change before the answer arrives. */
static void
copy_chunk(LabMessage *message)
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
    message->lab->report->peer_bytes += message->data->len;
}

static void
arrive_fetch(void *user, uint64_t argument)
{
    LabMessage *message = user;
    Lab *lab = message->lab;
    LabHost *peer = &lab->hosts[message->peer];

    if (!peer->alive || peer->paused_until > Clock_Now(lab->clock) ||
        LabNet_Chance(lab, lab->options->lost_peer_ratio) || lab->stopped) {
        free_message(message);
        return;
    }
    message->failed =
        ConfigSync_Serve(peer->sync, &message->action.fetch.request,
                         &message->chunk) != 0;
    if (!message->failed) {
        copy_chunk(message);
    }
    EventQueue_Add(lab->queue, PEER_LATENCY, deliver_chunk, message, 0);
}

static void
send_fetch(LabHost *host, const ConfigAction *action)
{
    Lab *lab = host->lab;
    uint32_t others = lab->options->hosts - 1;
    LabMessage *message = new_message(lab, host->index);

    message->action = *action;
    if (others == 0) {
        message->failed = true;
        EventQueue_Add(lab->queue, PEER_LATENCY, deliver_chunk, message, 0);
        return;
    }
    message->peer =
        (host->index + 1 + (uint32_t)(action->fetch.choice % others)) %
        lab->options->hosts;
    if (LabNet_Chance(lab, lab->options->lost_peer_ratio)) {
        free_message(message);
        return;
    }
    EventQueue_Add(lab->queue, PEER_LATENCY, arrive_fetch, message, 0);
}

static void
deliver_gossip(void *user, uint64_t argument)
{
    LabMessage *message = user;
    LabHost *host = &message->lab->hosts[message->host];

    if (!can_deliver(message, deliver_gossip)) {
        return;
    }
    ConfigSync_OnPeerOffset(host->sync, message->offset);
    free_message(message);
    LabNet_AfterEvent(host);
}

void
LabNet_Gossip(LabHost *host)
{
    Lab *lab = host->lab;

    for (int i = 0; i < FANOUT && lab->options->hosts > 1; i++) {
        uint32_t to =
            (host->index + 1 +
             (uint32_t)Random_Below(lab->random, lab->options->hosts - 1)) %
            lab->options->hosts;
        LabMessage *message;

        lab->report->peer_bytes += GOSSIP_BYTES;
        if (LabNet_Chance(lab, lab->options->lost_peer_ratio)) {
            continue;
        }
        message = new_message(lab, to);
        message->offset = ConfigState_Offset(host->state);
        EventQueue_Add(lab->queue, PEER_LATENCY, deliver_gossip, message, 0);
    }
}

void
LabNet_Drain(LabHost *host)
{
    ConfigAction action;

    while (ConfigSync_NextAction(host->sync, &action)) {
        LabMessage *message;

        switch (action.type) {
        case CONFIG_ACTION_READ:
            message = new_message(host->lab, host->index);
            message->action = action;
            EventQueue_Add(host->lab->queue, LOG_LATENCY, arrive_read, message,
                           0);
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
