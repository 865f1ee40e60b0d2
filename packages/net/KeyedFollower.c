#include "KeyedFollower.h"

/* Records kept in order, for other hosts that read through this one. */
#define TAIL_RECORDS_MAX 2048
/* Time for which an era below the known one is taken for an answer that was
 * under way. After it the log is believed to have been replaced. */
#define LOWER_ERA_TIME_US (5 * MICROS_PER_S)
/* Shortest time between two changes of the era, as each costs a snapshot. */
#define ERA_INTERVAL_US (1 * MICROS_PER_S)

typedef enum FollowerState_ {
    STATE_SNAPSHOT,
    STATE_TAIL,
} FollowerState;

struct KeyedFollower_ {
    Loop *loop;
    const KeyedLog *keyed_log;
    KeyedFollowerOptions options;
    KeyedFollowerHandlers handlers;
    void *user;
    const Clock *clock;
    Random *random;
    EventLog *log;
    LoopTimer *timer;
    GString *topic;
    KeyedMirror *mirror;
    Micros last_read_at; /* last successful read */
    Micros read_boot;    /* the same, by Clock_Boot() */
    Micros known_at;     /* see KeyedFollower_KnownAt() */
    Micros snapshot_at;  /* the same for the snapshot that is being read */
    FollowerState state;
    GHashTable *snapshot_keys; /* keys of the current snapshot */
    GString *snapshot_after;   /* last key of its latest page */
    uint64_t next_offset;      /* offset of the next tail read */
    Micros recovery_end;       /* reads use the usual wait from then on */
    Micros read_started_at;    /* start of the latest read */
    Micros read_started_boot;  /* the same, by Clock_Boot() */
    Micros last_failure_at;    /* start of the last read that failed */
    uint64_t era;
    Micros era_changed_at;
    Micros lower_era_since; /* first page of a lower era, or -1 */
    bool era_known;
    bool restored;      /* the era is new, its snapshot not complete */
    bool complete;      /* the current snapshot is complete */
    bool ever_complete; /* a snapshot was completed before */
    bool reachable;
    bool reading;
};

static void on_page(void *user, const KeyedPage *page);

/* Returns the duration of the next long poll. Only its end shows that the
 * request was lost, or that the read missed a record which was written at the
 * same time. Both occur around outages, when many hosts start to read again,
 * so waits are shorter then. */
static Micros
read_wait(const KeyedFollower *this)
{
    if (!this->reachable) {
        return 0;
    }
    return Clock_Now(this->clock) < this->recovery_end
               ? this->options.recovery_wait
               : this->options.wait;
}

static void
begin_recovery(KeyedFollower *this)
{
    this->recovery_end = Clock_Now(this->clock) + this->options.recovery_time;
}

static void
read_next(void *user)
{
    KeyedFollower *this = user;
    const KeyedLog *keyed_log = this->keyed_log;
    Micros wait = read_wait(this);

    this->reading = true;
    this->read_started_at = Clock_Now(this->clock);
    this->read_started_boot = Clock_Boot(this->clock);
    switch (this->state) {
    case STATE_SNAPSHOT:
        keyed_log->read_newest(keyed_log->self, Str_FromString(this->topic),
                               Str_FromString(this->snapshot_after),
                               this->options.timeout, on_page, this);
        break;
    case STATE_TAIL:
        keyed_log->read_tail(keyed_log->self, Str_FromString(this->topic),
                             this->next_offset, wait,
                             wait + this->options.timeout, on_page, this);
        break;
    }
}

static void
begin_snapshot(KeyedFollower *this)
{
    this->state = STATE_SNAPSHOT;
    g_hash_table_remove_all(this->snapshot_keys);
    g_string_truncate(this->snapshot_after, 0);
    KeyedMirror_BeginSnapshot(this->mirror);
    this->complete = false;
    this->next_offset = 0;
    this->snapshot_at = -1;
}

static void
log_state(KeyedFollower *this, int code)
{
    LogLevel level = this->reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARN;

    if (EventLog_Begin(this->log, level,
                       this->reachable ? "store-regained" : "store-lost")) {
        EventLog_Str(this->log, "topic", Str_FromString(this->topic));
        EventLog_CStr(this->log, "reason",
                      code < 0 ? Error_Name(code) : "none");
        EventLog_Int(this->log, "offset", (int64_t)this->next_offset);
        EventLog_End(this->log);
    }
}

static void
log_position(KeyedFollower *this, const char *event, size_t records)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, event)) {
        EventLog_Str(this->log, "topic", Str_FromString(this->topic));
        EventLog_Int(this->log, "offset", (int64_t)this->next_offset);
        EventLog_Int(this->log, "records", (int64_t)records);
        EventLog_End(this->log);
    }
}

static void
set_reachable(KeyedFollower *this, bool reachable, int code)
{
    if (this->reachable == reachable) {
        return;
    }
    this->reachable = reachable;
    begin_recovery(this);
    log_state(this, code);
    this->handlers.on_state(this->user, reachable, this->last_failure_at);
}

static void
apply_snapshot_page(KeyedFollower *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        const KeyedRecord *record = &page->records[i];

        g_hash_table_add(this->snapshot_keys, Str_ToString(record->key));
        KeyedMirror_PutSnapshotRecord(this->mirror, record);
        this->handlers.on_record(this->user, record);
        g_string_truncate(this->snapshot_after, 0);
        Str_AppendTo(record->key, this->snapshot_after);
    }
    /* The pages show the topic at different times, so the tail is read from
     * the end of the first page on, which includes all changes since. */
    if (this->next_offset == 0) {
        this->next_offset = page->end;
    }
    if (page->more && page->count > 0) {
        return;
    }
    log_position(this, "store-snapshot",
                 g_hash_table_size(this->snapshot_keys));
    KeyedMirror_EndSnapshot(this->mirror, this->next_offset);
    this->state = STATE_TAIL;
    this->complete = this->ever_complete = true;
    this->restored = false;
    this->handlers.on_snapshot(this->user, this->snapshot_keys);
}

static void
apply_tail(KeyedFollower *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        KeyedMirror_Append(this->mirror, &page->records[i]);
        this->handlers.on_record(this->user, &page->records[i]);
        this->next_offset = page->records[i].offset + 1;
    }
}

/* A page of the tail that ends before the end of the log shows nothing about the
 * records after it. The tail is read on from the first page of a snapshot. */
static void
update_known(KeyedFollower *this, const KeyedPage *page, bool was_tail)
{
    Micros at = this->read_started_boot - page->age;

    if (was_tail) {
        this->known_at = this->next_offset >= page->end ? at : this->known_at;
        return;
    }
    if (this->snapshot_at < 0) {
        this->snapshot_at = at;
    }
    if (this->complete) {
        this->known_at = this->snapshot_at;
    }
}

static void
log_era(KeyedFollower *this, const KeyedPage *page, const char *result)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "store-era")) {
        EventLog_Str(this->log, "topic", Str_FromString(this->topic));
        EventLog_Int(this->log, "known", (int64_t)this->era);
        EventLog_Int(this->log, "era", (int64_t)page->era);
        EventLog_Int(this->log, "offset", (int64_t)this->next_offset);
        EventLog_Int(this->log, "end", (int64_t)page->end);
        EventLog_CStr(this->log, "result", result);
        EventLog_End(this->log);
    }
}

static void
change_era(KeyedFollower *this, const KeyedPage *page)
{
    Micros now = Clock_Now(this->clock);
    Micros earliest = this->era_changed_at + ERA_INTERVAL_US;
    Micros delay = Random_Jitter(this->random, this->options.retry_delay) / 4;

    log_era(this, page, "snapshot");
    this->era = page->era;
    this->era_changed_at = now;
    this->lower_era_since = -1;
    this->restored = this->ever_complete;
    set_reachable(this, true, 0);
    begin_recovery(this);
    if (this->handlers.on_era != NULL) {
        this->handlers.on_era(this->user,
                              MAX(this->last_read_at, this->last_failure_at));
    }
    begin_snapshot(this);
    LoopTimer_Start(this->timer, MAX(delay, earliest - now));
}

/* Returns whether the page is of the known era. Otherwise it must not be used,
 * and the next read is scheduled. */
static bool
check_era(KeyedFollower *this, const KeyedPage *page)
{
    Micros now = Clock_Now(this->clock);

    if (page->era == KEYED_ERA_UNKNOWN || page->era == this->era ||
        !this->era_known) {
        this->era = page->era == KEYED_ERA_UNKNOWN ? this->era : page->era;
        this->era_known = this->era_known || page->era != KEYED_ERA_UNKNOWN;
        this->lower_era_since = -1;
        return true;
    }
    if (page->era < this->era) {
        if (this->lower_era_since < 0) {
            log_era(this, page, "rejected");
            this->lower_era_since = now;
        }
        if (now - this->lower_era_since < LOWER_ERA_TIME_US) {
            LoopTimer_Start(
                this->timer,
                Random_Jitter(this->random, this->options.retry_delay));
            return false;
        }
    }
    change_era(this, page);
    return false;
}

/* Returns for how long the machine was suspended during the latest read: the
 * response may have been received before. */
static Micros
suspended_time(const KeyedFollower *this)
{
    Micros difference = (Clock_Boot(this->clock) - this->read_started_boot) -
                        (Clock_Now(this->clock) - this->read_started_at);

    /* The two clocks are not read at the same moment. */
    return difference >= MICROS_PER_MS ? difference : 0;
}

static void
on_page(void *user, const KeyedPage *page)
{
    KeyedFollower *this = user;
    bool was_tail = this->state == STATE_TAIL;

    this->reading = false;
    if (Loop_IsClosing(this->loop)) {
        return;
    }
    if ((page->code == 0 || page->code == ERR_EXPIRED) &&
        !check_era(this, page)) {
        return;
    }
    if (page->code == ERR_EXPIRED) {
        set_reachable(this, true, 0);
        log_position(this, "store-expired", 0);
        begin_recovery(this);
        begin_snapshot(this);
        LoopTimer_Start(
            this->timer,
            Random_Jitter(this->random, this->options.retry_delay) / 4);
        return;
    }
    if (page->code < 0) {
        /* ERR_LIMIT: the read was rejected locally, which shows nothing about
         * the log. */
        if (page->code != ERR_LIMIT) {
            this->last_failure_at = this->read_started_at;
        }
        set_reachable(this, false, page->code);
        LoopTimer_Start(this->timer, Random_Jitter(this->random,
                                                   this->options.retry_delay));
        return;
    }
    set_reachable(this, true, 0);
    this->last_read_at = Clock_Now(this->clock) - page->age;
    this->read_boot =
        Clock_Boot(this->clock) - page->age - suspended_time(this);
    if (was_tail) {
        apply_tail(this, page);
    }
    else {
        apply_snapshot_page(this, page);
    }
    update_known(this, page, was_tail);
    this->handlers.on_page(this->user);
    LoopTimer_Start(this->timer, was_tail && page->count > 0
                                     ? this->options.read_interval
                                     : 1);
}

KeyedFollower *
KeyedFollower_Create(Loop *loop, const KeyedLog *keyed_log,
                     const KeyedFollowerOptions *options,
                     const KeyedFollowerHandlers *handlers, void *user,
                     Random *random, EventLog *log)
{
    KeyedFollower *this = g_new0(KeyedFollower, 1);

    this->loop = loop;
    this->keyed_log = keyed_log;
    this->options = *options;
    this->handlers = *handlers;
    this->user = user;
    this->clock = Loop_Clock(loop);
    this->random = random;
    this->log = log;
    this->topic = Str_ToString(options->topic);
    this->snapshot_after = g_string_new(NULL);
    this->snapshot_keys = g_hash_table_new_full((GHashFunc)g_string_hash,
                                                (GEqualFunc)g_string_equal,
                                                Str_FreeString, NULL);
    this->timer = LoopTimer_Create(loop, read_next, this);
    this->reachable = true;
    this->known_at = -1;
    this->lower_era_since = -1;
    this->era_changed_at = -ERA_INTERVAL_US;
    this->mirror = KeyedMirror_Create(TAIL_RECORDS_MAX);
    begin_snapshot(this);
    LoopTimer_Start(this->timer, 1);
    return this;
}

void
KeyedFollower_Destroy(KeyedFollower *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->timer);
    KeyedMirror_Destroy(this->mirror);
    g_hash_table_destroy(this->snapshot_keys);
    g_string_free(this->snapshot_after, TRUE);
    g_string_free(this->topic, TRUE);
    g_free(this);
}

void
KeyedFollower_RetryNow(KeyedFollower *this)
{
    if (!this->reachable && !this->reading) {
        LoopTimer_Start(this->timer, 1);
    }
}

bool
KeyedFollower_IsComplete(const KeyedFollower *this)
{
    return this->ever_complete;
}

const KeyedMirror *
KeyedFollower_Mirror(const KeyedFollower *this)
{
    return this->mirror;
}

uint64_t
KeyedFollower_Era(const KeyedFollower *this)
{
    return this->era_known ? this->era : KEYED_ERA_UNKNOWN;
}

bool
KeyedFollower_IsReachable(const KeyedFollower *this)
{
    return this->reachable;
}

bool
KeyedFollower_IsRestored(const KeyedFollower *this)
{
    return this->restored;
}

Micros
KeyedFollower_Age(const KeyedFollower *this)
{
    return this->reachable && this->complete
               ? Clock_Boot(this->clock) - this->read_boot
               : -1;
}

Micros
KeyedFollower_KnownAt(const KeyedFollower *this)
{
    return this->known_at;
}
