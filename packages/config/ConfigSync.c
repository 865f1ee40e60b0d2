#include "ConfigSync.h"

#include <string.h>

#include "ConfigSyncPrivate.h"

/* A change has to be in force everywhere in 9 s. A connection that went silent
 * is noticed after this and the log's timeout, and then read again. */
#define READ_WAIT (5 * MICROS_PER_S)

static void
set_default(Micros *value, Micros fallback)
{
    if (*value == 0) {
        *value = fallback;
    }
}

ConfigSync *
ConfigSync_Create(const ConfigSyncOptions *options, ConfigState *state,
                  const Clock *clock, Random *random, EventLog *log)
{
    ConfigSync *this = g_new0(ConfigSync, 1);

    this->options = *options;
    set_default(&this->options.retry, 200 * MICROS_PER_MS);
    set_default(&this->options.retry_max, 2 * MICROS_PER_S);
    set_default(&this->options.read_wait, READ_WAIT);
    set_default(&this->options.peer_after, 300 * MICROS_PER_MS);
    set_default(&this->options.fetch_limit, 250 * MICROS_PER_MS);
    if (options->read_max == 0) {
        this->options.read_max = 256;
    }
    if (options->tail_bytes == 0) {
        this->options.tail_bytes = 1024 * 1024;
    }
    this->state = state;
    this->clock = clock;
    this->random = random;
    this->log = log;
    this->schedule =
        SnapshotSchedule_Create(&options->snapshots, clock, random);
    this->scan = SnapshotScan_Create();
    this->tail = ConfigTail_Create(this->options.tail_bytes, clock);
    this->pieces = SnapshotBuffer_Create();
    this->record = g_string_new(NULL);
    ConfigVerdict_Init(&this->verdict);
    this->status.reason = "starting";
    this->started = Clock_Now(clock);
    this->last_read = this->started;
    this->choice = Random_Next(random);
    SnapshotScan_Start(this->scan);
    return this;
}

static void
drop_writing(ConfigSync *this)
{
    if (this->writing != NULL) {
        g_string_free(this->writing, TRUE);
        this->writing = NULL;
    }
}

void
ConfigSync_Destroy(ConfigSync *this)
{
    drop_writing(this);
    g_string_free(this->record, TRUE);
    ConfigVerdict_Clear(&this->verdict);
    SnapshotBuffer_Destroy(this->pieces);
    ConfigTail_Destroy(this->tail);
    SnapshotScan_Destroy(this->scan);
    SnapshotSchedule_Destroy(this->schedule);
    g_free(this);
}

void
ConfigSync_SetApplied(ConfigSync *this, ConfigSyncApplied *applied, void *user)
{
    this->applied = applied;
    this->user = user;
}

static void
log_verdict(ConfigSync *this)
{
    const ConfigVerdict *verdict = &this->verdict;

    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "config-record")) {
        EventLog_Int(this->log, "offset", (int64_t)verdict->offset);
        EventLog_CStr(this->log, "outcome",
                      ConfigVerdict_Name(verdict->outcome));
        EventLog_CStr(this->log, "author", verdict->author);
        EventLog_CStr(this->log, "id", verdict->id);
        EventLog_End(this->log);
    }
}

/* Records below the offset were applied; one above it leaves a gap. */
void
ConfigSync_ApplyRecord(ConfigSync *this, const ConfigRecord *record)
{
    uint8_t before[SNAPSHOT_DIGEST_BYTES];

    if (record->offset != ConfigState_Offset(this->state)) {
        return;
    }
    memcpy(before, ConfigState_Digest(this->state), sizeof(before));
    ConfigState_Apply(this->state, record->offset, record->data,
                      &this->verdict, NULL);
    ConfigTail_Add(this->tail, record, before);
    SnapshotSchedule_OnRecord(this->schedule, record->offset, record->time_ms);
    log_verdict(this);
    if (this->applied != NULL) {
        this->applied(this->user, &this->verdict);
    }
}

bool
ConfigSync_Load(ConfigSync *this, const GString *snapshot)
{
    Error error = {0};
    int code = ConfigState_LoadSnapshot(this->state, Str_FromString(snapshot),
                                        &error);

    if (code == 0) {
        ConfigTail_Clear(this->tail);
        this->status.gap = false;
        /* A gap has delayed the next read; now there is something to read. */
        this->streams[STREAM_CONFIG].next_time = Clock_Now(this->clock);
        return true;
    }
    if (code != ERR_EXPIRED) {
        this->status.rejected++;
        if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "snapshot-rejected")) {
            EventLog_Error(this->log, &error);
            EventLog_End(this->log);
        }
    }
    return code == ERR_EXPIRED;
}

static void
end_scan(ConfigSync *this)
{
    if (this->checking) {
        this->checking = false;
        SnapshotSchedule_OnChecked(this->schedule);
    }
}

/* A forged snapshot with a right digest must not keep hosts from writing
 * a good one. */
static bool
is_good(const ConfigSync *this, const GString *snapshot)
{
    return ConfigState_CheckSnapshot(this->state, Str_FromString(snapshot),
                                     NULL) == 0;
}

/* Signatures do not cover the offset. A forged one beyond the end of the log
 * would keep a host from ever reading on. */
static bool
is_within_log(ConfigSync *this, const GString *snapshot, uint64_t *offset)
{
    int code = ConfigState_SnapshotOffset(Str_FromString(snapshot), offset);

    if (code == 0 && (*offset <= this->log_end ||
                      (this->options.test_faults & CONFIG_FAULT_BEYOND_LOG))) {
        return true;
    }
    this->status.rejected++;
    return false;
}

static void
use_scan(ConfigSync *this)
{
    GString *snapshot;
    uint64_t offset;
    uint64_t time_ms;

    while ((snapshot = SnapshotScan_Take(this->scan, &offset, &time_ms)) !=
           NULL) {
        bool good = is_within_log(this, snapshot, &offset) &&
                    (this->checking ? is_good(this, snapshot)
                                    : ConfigSync_Load(this, snapshot));

        if (good) {
            SnapshotSchedule_OnSnapshot(this->schedule, offset, time_ms);
            SnapshotScan_Finish(this->scan);
        }
        g_string_free(snapshot, TRUE);
    }
    if (!SnapshotScan_IsActive(this->scan)) {
        end_scan(this);
    }
}

static void
read_succeeded(SyncStream *stream, Micros now)
{
    stream->pending = false;
    stream->delay = 0;
    stream->next_time = now;
}

static bool
has_asked_peers(const ConfigSync *this)
{
    Micros age = Clock_Now(this->clock) - this->started;

    if (this->options.test_faults & CONFIG_FAULT_SKIP_PEERS) {
        return true;
    }
    return this->peer_answers >= PEERS_ASKED || age >= SILENCE_LIMIT ||
           (age >= SETTLED &&
            this->peer_answers + this->refusals >= PEERS_WITHOUT);
}

void
ConfigSync_CheckReady(ConfigSync *this)
{
    ConfigSyncStatus *status = &this->status;

    if (status->ready) {
        return;
    }
    if (ConfigState_AcceptedOffset(this->state) == 0) {
        status->reason = "no-configuration";
        return;
    }
    if (!has_asked_peers(this)) {
        status->reason = "asking-peers";
        return;
    }
    if (!ConfigSync_HasPeerOffset(this) &&
        !(this->options.test_faults & CONFIG_FAULT_SKIP_PEERS)) {
        status->reason = "behind-peers";
        return;
    }
    if (!this->caught_up && status->log_up) {
        status->reason = "reading-log";
        return;
    }
    if (!this->caught_up && this->peer_answers == 0) {
        status->reason = "no-log-no-peer";
        return;
    }
    status->ready = true;
    status->reason = "";
}

static void
on_config(ConfigSync *this, uint64_t first, uint64_t next,
          const ConfigRecord *records, size_t count)
{
    ConfigSyncStatus *status = &this->status;
    uint64_t offset;

    for (size_t i = 0; i < count; i++) {
        ConfigSync_ApplyRecord(this, &records[i]);
    }
    offset = ConfigState_Offset(this->state);
    this->probed = true;
    status->log_up = true;
    status->log_next = MAX(status->log_next, next);
    this->log_end = MAX(this->log_end, next);
    status->lagging_reads += next < offset;
    status->ahead = next < offset;
    this->last_read = Clock_Now(this->clock);
    this->caught_up = offset >= status->log_next;
    status->gap = first > offset;
    if (status->gap && !SnapshotScan_IsActive(this->scan)) {
        SnapshotScan_Start(this->scan);
    }
    if (first > offset) {
        this->streams[STREAM_CONFIG].next_time += this->options.retry_max;
    }
    else if (next < offset) {
        this->streams[STREAM_CONFIG].next_time += this->options.retry;
    }
}

void
ConfigSync_OnRecords(ConfigSync *this, ConfigStream stream, uint64_t first,
                     uint64_t next, const ConfigRecord *records, size_t count)
{
    read_succeeded(&this->streams[stream], Clock_Now(this->clock));
    if (stream == STREAM_SNAPSHOTS) {
        SnapshotScan_OnRecords(this->scan, first, next, records, count);
        use_scan(this);
    }
    else {
        on_config(this, first, next, records, count);
    }
    ConfigSync_CheckReady(this);
}

/* Random delays, so that hosts do not come back all at once. */
void
ConfigSync_OnReadFailed(ConfigSync *this, ConfigStream stream)
{
    SyncStream *read = &this->streams[stream];
    Micros delay = MAX(read->delay, this->options.retry);

    read->pending = false;
    read->next_time =
        Clock_Now(this->clock) + delay / 2 +
        (Micros)Random_Below(this->random, (uint64_t)delay / 2 + 1);
    read->delay = MIN(2 * delay, this->options.retry_max);
    if (stream == STREAM_CONFIG) {
        this->status.log_up = false;
        this->caught_up = false;
        /* What the log said before it failed no longer holds back. */
        this->status.log_next = ConfigState_Offset(this->state);
    }
    else if (this->checking) {
        this->checking = false;
        SnapshotScan_Finish(this->scan);
        SnapshotSchedule_OnFailed(this->schedule);
    }
    ConfigSync_CheckReady(this);
}

static void
start_writing(ConfigSync *this)
{
    this->writing = g_string_new(NULL);
    ConfigState_WriteSnapshot(this->state, this->writing);
    this->writing_offset = ConfigState_Offset(this->state);
    this->writing_index = 0;
    Snapshot_Digest(Str_FromString(this->writing), this->writing_digest);
}

void
ConfigSync_OnAppended(ConfigSync *this, int code)
{
    this->appending = false;
    if (this->writing == NULL) {
        return;
    }
    /* A lost answer leaves pieces behind; the next check finds them. */
    if (code != 0) {
        drop_writing(this);
        SnapshotSchedule_OnFailed(this->schedule);
        return;
    }
    this->writing_index++;
    if (this->writing_index <
        Snapshot_ChunkCount(this->writing->len, SNAPSHOT_CHUNK_BYTES)) {
        return;
    }
    drop_writing(this);
    this->status.written++;
    SnapshotSchedule_OnSnapshot(
        this->schedule, this->writing_offset,
        (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS));
    SnapshotSchedule_OnFailed(this->schedule);
}

static void
step_schedule(ConfigSync *this)
{
    if (!this->status.ready || !this->status.log_up || !this->caught_up ||
        this->writing != NULL || SnapshotScan_IsActive(this->scan)) {
        return;
    }
    switch (SnapshotSchedule_Step(this->schedule)) {
    case SNAPSHOT_WAIT:
        return;
    case SNAPSHOT_CHECK:
        this->checking = true;
        SnapshotScan_Start(this->scan);
        return;
    case SNAPSHOT_WRITE:
        start_writing(this);
        return;
    }
}

void
ConfigSync_OnTick(ConfigSync *this)
{
    if (this->fetching && Clock_Now(this->clock) - this->fetch_time >=
                              this->options.fetch_limit) {
        ConfigSync_DropFetch(this);
    }
    step_schedule(this);
    ConfigSync_CheckReady(this);
}

/* The scan at the start comes first, as reading every record is slower; only
 * the end of the config stream has to be known for it. */
static bool
next_read(ConfigSync *this, ConfigAction *action)
{
    bool scanning = SnapshotScan_IsActive(this->scan);
    SyncStream *read = &this->streams[STREAM_SNAPSHOTS];
    bool first = scanning && !this->status.ready && read->delay == 0 &&
                 !this->status.gap;
    ConfigStream stream = STREAM_CONFIG;
    Micros now = Clock_Now(this->clock);

    if (scanning && this->probed && !read->pending && now >= read->next_time) {
        stream = STREAM_SNAPSHOTS;
    }
    else {
        read = &this->streams[STREAM_CONFIG];
        if (read->pending || now < read->next_time ||
            (first && this->probed)) {
            return false;
        }
    }
    read->pending = true;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_READ;
    action->read.stream = stream;
    if (stream == STREAM_SNAPSHOTS) {
        SnapshotScan_Next(this->scan, &action->read.from, &action->read.max);
        return true;
    }
    action->read.from = ConfigState_Offset(this->state);
    action->read.max = this->probed ? this->options.read_max : 1;
    action->read.wait_ms =
        this->caught_up ? (uint32_t)(this->options.read_wait / MICROS_PER_MS)
                        : 0;
    return true;
}

static bool
next_append(ConfigSync *this, ConfigAction *action)
{
    SnapshotChunk chunk = {.offset = this->writing_offset};
    size_t start = (size_t)this->writing_index * SNAPSHOT_CHUNK_BYTES;

    if (this->writing == NULL || this->appending) {
        return false;
    }
    memcpy(chunk.digest, this->writing_digest, SNAPSHOT_DIGEST_BYTES);
    chunk.index = this->writing_index;
    chunk.count =
        Snapshot_ChunkCount(this->writing->len, SNAPSHOT_CHUNK_BYTES);
    chunk.data = (Str){this->writing->str + start,
                       MIN(this->writing->len - start, SNAPSHOT_CHUNK_BYTES)};
    g_string_truncate(this->record, 0);
    Snapshot_WriteChunk(&chunk, this->record);
    this->appending = true;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_APPEND;
    action->append.record = Str_FromString(this->record);
    return true;
}

bool
ConfigSync_NextAction(ConfigSync *this, ConfigAction *action)
{
    return next_read(this, action) || next_append(this, action) ||
           ConfigSync_NextFetch(this, action);
}

int
ConfigSync_Serve(ConfigSync *this, const ConfigFetch *request,
                 ConfigChunk *chunk)
{
    if (!this->status.ready) {
        return ERR_NOT_FOUND;
    }
    return ConfigTail_Serve(this->tail, this->state, request, chunk);
}

bool
ConfigSync_Ready(const ConfigSync *this)
{
    return this->status.ready;
}

void
ConfigSync_Status(const ConfigSync *this, ConfigSyncStatus *status)
{
    *status = this->status;
    status->offset = ConfigState_Offset(this->state);
    status->read_age = Clock_Now(this->clock) - this->last_read;
}
