#include "ConfigSync.h"

#include <string.h>

#include "ConfigSyncPrivate.h"

/* A change must be in force on all hosts within 9 s. An unresponsive
 * connection to the log is detected after this time plus the log's timeout,
 * and only then is the read retried. */
#define READ_WAIT_US (5 * MICROS_PER_S)

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
    set_default(&this->options.retry_delay, 200 * MICROS_PER_MS);
    set_default(&this->options.retry_delay_max, 2 * MICROS_PER_S);
    set_default(&this->options.read_wait, READ_WAIT_US);
    set_default(&this->options.peer_delay, 300 * MICROS_PER_MS);
    set_default(&this->options.fetch_timeout, 250 * MICROS_PER_MS);
    if (options->read_records_max == 0) {
        this->options.read_records_max = 256;
    }
    if (options->tail_bytes_max == 0) {
        this->options.tail_bytes_max = 1024 * 1024;
    }
    this->state = state;
    this->clock = clock;
    this->random = random;
    this->log = log;
    this->schedule =
        SnapshotSchedule_Create(&options->snapshots, clock, random);
    this->scan = SnapshotScan_Create();
    this->tail = ConfigTail_Create(this->options.tail_bytes_max, clock);
    this->snapshot_buffer = SnapshotBuffer_Create();
    this->append_record = g_string_new(NULL);
    ConfigVerdict_Init(&this->verdict);
    this->status.reason = "starting";
    this->started = Clock_Now(clock);
    this->last_read = this->started;
    this->peer_choice = Random_Next(random);
    SnapshotScan_Start(this->scan);
    return this;
}

static void
discard_snapshot(ConfigSync *this)
{
    if (this->snapshot_text != NULL) {
        g_string_free(this->snapshot_text, TRUE);
        this->snapshot_text = NULL;
    }
}

void
ConfigSync_Destroy(ConfigSync *this)
{
    discard_snapshot(this);
    g_string_free(this->append_record, TRUE);
    ConfigVerdict_Clear(&this->verdict);
    SnapshotBuffer_Destroy(this->snapshot_buffer);
    ConfigTail_Destroy(this->tail);
    SnapshotScan_Destroy(this->scan);
    SnapshotSchedule_Destroy(this->schedule);
    g_free(this);
}

void
ConfigSync_SetAppliedHandler(ConfigSync *this, ConfigAppliedHandler *applied,
                             void *user)
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

/* Ignores records that were applied already and records after a gap. */
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
ConfigSync_LoadSnapshot(ConfigSync *this, const GString *snapshot)
{
    Error error = {0};
    int code = ConfigState_LoadSnapshot(this->state, Str_FromString(snapshot),
                                        &error);

    if (code == 0) {
        ConfigTail_Clear(this->tail);
        this->status.gap = false;
        /* A gap delays reads; the snapshot has closed it. */
        this->streams[STREAM_CONFIG].next_time = Clock_Now(this->clock);
        return true;
    }
    if (code != ERR_EXPIRED) {
        this->status.rejected_snapshots++;
        if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "snapshot-rejected")) {
            EventLog_Error(this->log, &error);
            EventLog_End(this->log);
        }
    }
    return code == ERR_EXPIRED;
}

static void
end_schedule_check(ConfigSync *this)
{
    if (this->schedule_check) {
        this->schedule_check = false;
        SnapshotSchedule_OnChecked(this->schedule);
    }
}

/* A forged snapshot with a correct digest must not stop hosts from writing a
 * valid one. */
static bool
is_valid_snapshot(const ConfigSync *this, const GString *snapshot)
{
    return ConfigState_CheckSnapshot(this->state, Str_FromString(snapshot),
                                     NULL) == 0;
}

/* Signatures do not cover the offset. With a forged offset beyond the end of
 * the log a host would never read a new record again. */
static bool
is_within_log(ConfigSync *this, const GString *snapshot, uint64_t *offset)
{
    int code = ConfigState_SnapshotOffset(Str_FromString(snapshot), offset);

    if (code == 0 && (*offset <= this->log_end_max ||
                      (this->options.test_faults & CONFIG_FAULT_BEYOND_LOG))) {
        return true;
    }
    this->status.rejected_snapshots++;
    return false;
}

static void
use_scanned_snapshots(ConfigSync *this)
{
    GString *snapshot;
    uint64_t offset;
    uint64_t time_ms;

    while ((snapshot = SnapshotScan_Take(this->scan, &offset, &time_ms)) !=
           NULL) {
        bool usable =
            is_within_log(this, snapshot, &offset) &&
            (this->schedule_check ? is_valid_snapshot(this, snapshot)
                                  : ConfigSync_LoadSnapshot(this, snapshot));

        if (usable) {
            SnapshotSchedule_OnSnapshot(this->schedule, offset, time_ms);
            SnapshotScan_Finish(this->scan);
        }
        g_string_free(snapshot, TRUE);
    }
    if (!SnapshotScan_IsActive(this->scan)) {
        end_schedule_check(this);
    }
}

static void
on_read_succeeded(SyncStream *stream, Micros now)
{
    stream->pending = false;
    stream->retry_delay = 0;
    stream->next_time = now;
}

static bool
has_enough_replies(const ConfigSync *this)
{
    Micros age = Clock_Now(this->clock) - this->started;

    if (this->options.test_faults & CONFIG_FAULT_SKIP_PEERS) {
        return true;
    }
    return this->peer_replies >= READY_REPLIES_MIN ||
           age >= PEER_WAIT_MAX_US ||
           (age >= ANY_REPLIES_DELAY_US &&
            this->peer_replies + this->failed_fetches >= ANY_REPLIES_MIN);
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
    if (!has_enough_replies(this)) {
        status->reason = "asking-peers";
        return;
    }
    if (!ConfigSync_HasReachedPeers(this) &&
        !(this->options.test_faults & CONFIG_FAULT_SKIP_PEERS)) {
        status->reason = "behind-peers";
        return;
    }
    if (!this->caught_up && status->log_up) {
        status->reason = "reading-log";
        return;
    }
    if (!this->caught_up && this->peer_replies == 0) {
        status->reason = "no-log-no-peer";
        return;
    }
    status->ready = true;
    status->reason = "";
}

static void
on_config_records(ConfigSync *this, uint64_t first, uint64_t next,
                  const ConfigRecord *records, size_t count)
{
    ConfigSyncStatus *status = &this->status;
    uint64_t offset;

    for (size_t i = 0; i < count; i++) {
        ConfigSync_ApplyRecord(this, &records[i]);
    }
    offset = ConfigState_Offset(this->state);
    this->end_known = true;
    status->log_up = true;
    status->log_next = MAX(status->log_next, next);
    this->log_end_max = MAX(this->log_end_max, next);
    status->lagging_reads += next < offset;
    status->ahead_of_log = next < offset;
    this->last_read = Clock_Now(this->clock);
    this->caught_up = offset >= status->log_next;
    status->gap = first > offset;
    if (status->gap && !SnapshotScan_IsActive(this->scan)) {
        SnapshotScan_Start(this->scan);
    }
    if (first > offset) {
        this->streams[STREAM_CONFIG].next_time +=
            this->options.retry_delay_max;
    }
    else if (next < offset) {
        this->streams[STREAM_CONFIG].next_time += this->options.retry_delay;
    }
}

void
ConfigSync_OnRecords(ConfigSync *this, ConfigStream stream, uint64_t first,
                     uint64_t next, const ConfigRecord *records, size_t count)
{
    on_read_succeeded(&this->streams[stream], Clock_Now(this->clock));
    if (stream == STREAM_SNAPSHOTS) {
        SnapshotScan_OnRecords(this->scan, first, next, records, count);
        use_scanned_snapshots(this);
    }
    else {
        on_config_records(this, first, next, records, count);
    }
    ConfigSync_CheckReady(this);
}

/* Delays are random so that the hosts do not all retry at the same time. */
void
ConfigSync_OnReadFailed(ConfigSync *this, ConfigStream stream)
{
    SyncStream *reads = &this->streams[stream];
    Micros delay = MAX(reads->retry_delay, this->options.retry_delay);

    reads->pending = false;
    reads->next_time =
        Clock_Now(this->clock) + delay / 2 +
        (Micros)Random_Below(this->random, (uint64_t)delay / 2 + 1);
    reads->retry_delay = MIN(2 * delay, this->options.retry_delay_max);
    if (stream == STREAM_CONFIG) {
        this->status.log_up = false;
        this->caught_up = false;
        /* Readiness no longer waits for the end stated before the failure. */
        this->status.log_next = ConfigState_Offset(this->state);
    }
    else if (this->schedule_check) {
        this->schedule_check = false;
        SnapshotScan_Finish(this->scan);
        SnapshotSchedule_Reset(this->schedule);
    }
    ConfigSync_CheckReady(this);
}

static void
start_snapshot(ConfigSync *this)
{
    this->snapshot_text = g_string_new(NULL);
    ConfigState_WriteSnapshot(this->state, this->snapshot_text);
    this->snapshot_offset = ConfigState_Offset(this->state);
    this->chunk_index = 0;
    Snapshot_Digest(Str_FromString(this->snapshot_text),
                    this->snapshot_digest);
}

void
ConfigSync_OnAppended(ConfigSync *this, int code)
{
    this->append_pending = false;
    if (this->snapshot_text == NULL) {
        return;
    }
    /* If only the reply was lost, the chunk is in the log: the next check of
     * the snapshots stream finds it. */
    if (code != 0) {
        discard_snapshot(this);
        SnapshotSchedule_Reset(this->schedule);
        return;
    }
    this->chunk_index++;
    if (this->chunk_index <
        Snapshot_ChunkCount(this->snapshot_text->len, SNAPSHOT_CHUNK_BYTES)) {
        return;
    }
    discard_snapshot(this);
    this->status.snapshots_written++;
    SnapshotSchedule_OnSnapshot(
        this->schedule, this->snapshot_offset,
        (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS));
    SnapshotSchedule_Reset(this->schedule);
}

static void
step_schedule(ConfigSync *this)
{
    if (!this->status.ready || !this->status.log_up || !this->caught_up ||
        this->snapshot_text != NULL || SnapshotScan_IsActive(this->scan)) {
        return;
    }
    switch (SnapshotSchedule_Step(this->schedule)) {
    case SNAPSHOT_WAIT:
        return;
    case SNAPSHOT_CHECK:
        this->schedule_check = true;
        SnapshotScan_Start(this->scan);
        return;
    case SNAPSHOT_WRITE:
        start_snapshot(this);
        return;
    }
}

void
ConfigSync_OnTick(ConfigSync *this)
{
    if (this->fetching && Clock_Now(this->clock) - this->fetch_started >=
                              this->options.fetch_timeout) {
        ConfigSync_AbandonFetch(this);
    }
    step_schedule(this);
    ConfigSync_CheckReady(this);
}

/* At startup the scan for a snapshot comes first, because reading every record
 * is slower. It only needs the end of the config stream, which the response to
 * the first read states. */
static bool
next_read(ConfigSync *this, ConfigAction *action)
{
    bool scanning = SnapshotScan_IsActive(this->scan);
    SyncStream *reads = &this->streams[STREAM_SNAPSHOTS];
    bool snapshots_first = scanning && !this->status.ready &&
                           reads->retry_delay == 0 && !this->status.gap;
    ConfigStream stream = STREAM_CONFIG;
    Micros now = Clock_Now(this->clock);

    if (scanning && this->end_known && !reads->pending &&
        now >= reads->next_time) {
        stream = STREAM_SNAPSHOTS;
    }
    else {
        reads = &this->streams[STREAM_CONFIG];
        if (reads->pending || now < reads->next_time ||
            (snapshots_first && this->end_known)) {
            return false;
        }
    }
    reads->pending = true;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_READ;
    action->read.stream = stream;
    if (stream == STREAM_SNAPSHOTS) {
        SnapshotScan_Next(this->scan, &action->read.from, &action->read.max);
        return true;
    }
    action->read.from = ConfigState_Offset(this->state);
    action->read.max = this->end_known ? this->options.read_records_max : 1;
    action->read.wait_ms =
        this->caught_up ? (uint32_t)(this->options.read_wait / MICROS_PER_MS)
                        : 0;
    return true;
}

static bool
next_append(ConfigSync *this, ConfigAction *action)
{
    SnapshotChunk chunk = {.offset = this->snapshot_offset};
    size_t start = (size_t)this->chunk_index * SNAPSHOT_CHUNK_BYTES;

    if (this->snapshot_text == NULL || this->append_pending) {
        return false;
    }
    memcpy(chunk.digest, this->snapshot_digest, SNAPSHOT_DIGEST_BYTES);
    chunk.index = this->chunk_index;
    chunk.count =
        Snapshot_ChunkCount(this->snapshot_text->len, SNAPSHOT_CHUNK_BYTES);
    chunk.data =
        (Str){this->snapshot_text->str + start,
              MIN(this->snapshot_text->len - start, SNAPSHOT_CHUNK_BYTES)};
    g_string_truncate(this->append_record, 0);
    Snapshot_WriteChunk(&chunk, this->append_record);
    this->append_pending = true;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_APPEND;
    action->append.record = Str_FromString(this->append_record);
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
