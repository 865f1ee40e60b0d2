#include "KeyedFollower.h"

/* Records that another host may ask for again. */
#define TAIL_MAX 2048

typedef enum FollowerState_ {
    STATE_SNAPSHOT,
    STATE_TAIL,
} FollowerState;

struct KeyedFollower_ {
    Loop *loop;
    const KeyedLog *source;
    KeyedFollowerOptions options;
    KeyedFollowerHandlers handlers;
    void *user;
    const Clock *clock;
    Random *random;
    EventLog *log;
    LoopTimer *timer;
    GString *topic;
    KeyedMirror *mirror;
    Micros answered_at;
    FollowerState state;
    GHashTable *keys;  /* of the snapshot that is read now */
    GString *after;    /* last key of its last page */
    uint64_t next;     /* offset to read from */
    Micros settled_at; /* when reads may be held for long again */
    Micros asked_at;   /* start of the newest read */
    Micros failed_at;  /* start of the last one that failed */
    bool complete;     /* no snapshot is being read */
    bool was_complete;
    bool reachable;
    bool reading;
};

static void on_page(void *user, const KeyedPage *page);

/* A read that the log holds can not be told from one that is lost, nor from
 * one that missed a record which was written just then. Both happen around
 * outages, when many hosts read anew. */
static Micros
wait_for(const KeyedFollower *this)
{
    if (!this->reachable) {
        return 0;
    }
    return Clock_Now(this->clock) < this->settled_at
               ? this->options.settle_wait
               : this->options.wait;
}

static void
unsettle(KeyedFollower *this)
{
    this->settled_at = Clock_Now(this->clock) + this->options.settle_time;
}

static void
read_next(void *user)
{
    KeyedFollower *this = user;
    const KeyedLog *source = this->source;
    Micros wait = wait_for(this);

    this->reading = true;
    this->asked_at = Clock_Now(this->clock);
    switch (this->state) {
    case STATE_SNAPSHOT:
        source->read_newest(source->self, Str_FromString(this->topic),
                            Str_FromString(this->after), this->options.timeout,
                            on_page, this);
        break;
    case STATE_TAIL:
        source->read_tail(source->self, Str_FromString(this->topic),
                          this->next, wait, wait + this->options.timeout,
                          on_page, this);
        break;
    }
}

static void
free_string(gpointer data)
{
    g_string_free(data, TRUE);
}

static void
begin_snapshot(KeyedFollower *this)
{
    this->state = STATE_SNAPSHOT;
    g_hash_table_remove_all(this->keys);
    g_string_truncate(this->after, 0);
    KeyedMirror_Restart(this->mirror);
    this->complete = false;
    this->next = 0;
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
        EventLog_Int(this->log, "offset", (int64_t)this->next);
        EventLog_End(this->log);
    }
}

static void
log_position(KeyedFollower *this, const char *event, size_t records)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, event)) {
        EventLog_Str(this->log, "topic", Str_FromString(this->topic));
        EventLog_Int(this->log, "offset", (int64_t)this->next);
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
    unsettle(this);
    log_state(this, code);
    this->handlers.on_state(this->user, reachable, this->failed_at);
}

static void
take_snapshot_page(KeyedFollower *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        const KeyedRecord *record = &page->records[i];

        g_hash_table_add(this->keys, Str_ToString(record->key));
        KeyedMirror_Put(this->mirror, record);
        this->handlers.on_record(this->user, record);
        g_string_truncate(this->after, 0);
        Str_AppendTo(record->key, this->after);
    }
    /* Pages are no snapshot of one moment, so what changed since the first
     * one is read again. */
    if (this->next == 0) {
        this->next = page->end;
    }
    if (page->more && page->count > 0) {
        return;
    }
    log_position(this, "store-snapshot", g_hash_table_size(this->keys));
    KeyedMirror_Finish(this->mirror, this->next);
    this->state = STATE_TAIL;
    this->complete = this->was_complete = true;
    this->handlers.on_snapshot(this->user, this->keys);
}

static void
take_tail(KeyedFollower *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        KeyedMirror_Append(this->mirror, &page->records[i]);
        this->handlers.on_record(this->user, &page->records[i]);
        this->next = page->records[i].offset + 1;
    }
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
    if (page->code == ERR_EXPIRED) {
        set_reachable(this, true, 0);
        log_position(this, "store-expired", 0);
        unsettle(this);
        begin_snapshot(this);
        LoopTimer_Start(this->timer,
                        Random_Jitter(this->random, this->options.retry) / 4);
        return;
    }
    if (page->code < 0) {
        /* A read that was not sent tells nothing of the log. */
        if (page->code != ERR_LIMIT) {
            this->failed_at = this->asked_at;
        }
        set_reachable(this, false, page->code);
        LoopTimer_Start(this->timer,
                        Random_Jitter(this->random, this->options.retry));
        return;
    }
    set_reachable(this, true, 0);
    this->answered_at = Clock_Now(this->clock);
    if (was_tail) {
        take_tail(this, page);
    }
    else {
        take_snapshot_page(this, page);
    }
    this->handlers.on_page(this->user);
    LoopTimer_Start(this->timer,
                    was_tail && page->count > 0 ? this->options.pause : 1);
}

KeyedFollower *
KeyedFollower_Create(Loop *loop, const KeyedLog *source,
                     const KeyedFollowerOptions *options,
                     const KeyedFollowerHandlers *handlers, void *user,
                     Random *random, EventLog *log)
{
    KeyedFollower *this = g_new0(KeyedFollower, 1);

    this->loop = loop;
    this->source = source;
    this->options = *options;
    this->handlers = *handlers;
    this->user = user;
    this->clock = Loop_Clock(loop);
    this->random = random;
    this->log = log;
    this->topic = Str_ToString(options->topic);
    this->after = g_string_new(NULL);
    this->keys =
        g_hash_table_new_full((GHashFunc)g_string_hash,
                              (GEqualFunc)g_string_equal, free_string, NULL);
    this->timer = LoopTimer_Create(loop, read_next, this);
    this->reachable = true;
    this->mirror = KeyedMirror_Create(TAIL_MAX);
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
    g_hash_table_destroy(this->keys);
    g_string_free(this->after, TRUE);
    g_string_free(this->topic, TRUE);
    g_free(this);
}

void
KeyedFollower_Hurry(KeyedFollower *this)
{
    if (!this->reachable && !this->reading) {
        LoopTimer_Start(this->timer, 1);
    }
}

bool
KeyedFollower_IsComplete(const KeyedFollower *this)
{
    return this->was_complete;
}

const KeyedMirror *
KeyedFollower_Mirror(const KeyedFollower *this)
{
    return this->mirror;
}

Micros
KeyedFollower_Age(const KeyedFollower *this)
{
    return this->reachable && this->complete
               ? Clock_Now(this->clock) - this->answered_at
               : -1;
}
