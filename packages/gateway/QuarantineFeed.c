#include "QuarantineFeed.h"

#include <glib.h>

#include "KeyedFollower.h"
#include "QuarantineRecord.h"

#define TOPIC "keyed.agatecrank-quarantine"
/* A crashing request comes again within seconds, so its losses have to reach
 * the other hosts in much less time. */
#define READ_INTERVAL_US (100 * MICROS_PER_MS)
/* Each read is charged. One that misses a record is woken by the next loss of
 * the same request. */
#define READ_WAIT_US (2 * MICROS_PER_S)
/* Longest age of what is served to other hosts: a read, the pause before it,
 * and some time for the call. */
#define SERVED_AGE_MAX_US (2300 * MICROS_PER_MS)
#define READ_TIMEOUT_US (800 * MICROS_PER_MS)
/* The followers of the other topics detect the end of an outage earlier, but
 * each read during it is charged. */
#define READ_RETRY_DELAY_US (800 * MICROS_PER_MS)
#define APPEND_TIMEOUT_US (800 * MICROS_PER_MS)
/* Records that outlived the host that wrote them are removed by hosts that
 * read a snapshot: by one in this number, as all may start at once. */
#define REMOVERS_ONE_IN 4
#define LEFTOVERS_MAX QUARANTINE_BATCH_MAX
#define LEFTOVERS_DELAY_US (10 * MICROS_PER_S)

/* Items that are compared with the snapshot of a log that has come back from an
 * older copy, the newest first. */
#define LOST_ITEMS_MAX 512

struct QuarantineFeed_ {
    Loop *loop;
    const KeyedLog *keyed_log;
    KeyedRelay *relay;
    CrashGuard *guard;
    Random *random;
    EventLog *log;
    Counters *counters;
    KeyedFollower *follower;
    LoopTimer *timer;
    Micros timer_at; /* -1 if it does not run */
    LoopTimer *leftovers_timer;
    QuarantineItem leftovers[LEFTOVERS_MAX];
    size_t leftover_count;
    bool restored; /* the next snapshot is that of an older copy */
    uint64_t appends;
};

/* ---- appends --------------------------------------------------------- */

static void
append_items(QuarantineFeed *this, const QuarantineItem *items, size_t n,
             KeyedAppendHandler *handler)
{
    Micros wall = Clock_Wall(Loop_Clock(this->loop));
    char keys[QUARANTINE_BATCH_MAX][QUARANTINE_KEY_BYTES];
    char values[QUARANTINE_BATCH_MAX][QUARANTINE_VALUE_BYTES];
    KeyedRecord records[QUARANTINE_BATCH_MAX];

    for (size_t i = 0; i < n; i++) {
        QuarantineRecord_Write(&items[i], wall, keys[i], values[i]);
        records[i] = (KeyedRecord){.key = Str_FromC(keys[i]),
                                   .value = Str_FromC(values[i])};
    }
    this->appends++;
    this->keyed_log->append(this->keyed_log->self, STR(TOPIC), records, n,
                            APPEND_TIMEOUT_US, handler, this);
}

static void
log_failed_append(QuarantineFeed *this, int code)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "quarantine-unsent")) {
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
    }
}

static void
on_appended(void *user, int code)
{
    QuarantineFeed *this = user;

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    if (code < 0) {
        log_failed_append(this, code);
    }
    CrashGuard_OnBatchEnd(this->guard, code);
    QuarantineFeed_Flush(this);
}

static void
on_timer(void *user)
{
    QuarantineFeed *this = user;

    this->timer_at = -1;
    QuarantineFeed_Flush(this);
}

void
QuarantineFeed_Flush(QuarantineFeed *this)
{
    QuarantineItem items[QUARANTINE_BATCH_MAX];
    size_t n = CrashGuard_NextBatch(this->guard, items);
    Micros next;

    if (n > 0) {
        append_items(this, items, n, on_appended);
    }
    next = CrashGuard_NextBatchTime(this->guard);
    if (next >= 0 && (this->timer_at < 0 || next < this->timer_at)) {
        this->timer_at = next;
        LoopTimer_Start(this->timer,
                        MAX(next - Clock_Now(Loop_Clock(this->loop)), 1));
    }
}

/* ---- records --------------------------------------------------------- */

static void
on_leftovers_removed(void *user, int code)
{
    QuarantineFeed *this = user;

    if (code < 0 && !Loop_IsClosing(this->loop)) {
        log_failed_append(this, code);
    }
}

static void
remove_leftovers(void *user)
{
    QuarantineFeed *this = user;

    append_items(this, this->leftovers, this->leftover_count,
                 on_leftovers_removed);
    this->leftover_count = 0;
}

static void
log_invalid_record(QuarantineFeed *this, const KeyedRecord *record)
{
    CounterLabel label = {"step", STR("quarantine")};

    Counters_Add(this->counters, "agatecrank_bad_records_total", &label, 1, 1);
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "bad-record")) {
        EventLog_Str(this->log, "key", record->key);
        EventLog_Int(this->log, "offset", (int64_t)record->offset);
        EventLog_CStr(this->log, "error", Error_Name(ERR_PARSE));
        EventLog_End(this->log);
    }
}

static void
on_record(void *user, const KeyedRecord *record)
{
    QuarantineFeed *this = user;
    bool snapshot = KeyedFollower_Age(this->follower) < 0;
    Micros wall = snapshot ? Clock_Wall(Loop_Clock(this->loop)) : -1;
    QuarantineItem item;

    if (QuarantineRecord_Read(record, wall, &item) < 0) {
        log_invalid_record(this, record);
    }
    else if (record->removed) {
        CrashGuard_OnPeerForgot(this->guard, &item.fingerprint);
    }
    else if (CrashGuard_OnPeerItem(this->guard, &item) == ERR_EXPIRED &&
             this->leftover_count < LEFTOVERS_MAX) {
        this->leftovers[this->leftover_count++] =
            (QuarantineItem){.fingerprint = item.fingerprint};
    }
}

/* Sends again what a log that has come back from an older copy has lost. */
static void
resend_lost_items(QuarantineFeed *this, GHashTable *keys)
{
    QuarantineItem items[LOST_ITEMS_MAX];
    size_t n = CrashGuard_List(this->guard, items, LOST_ITEMS_MAX);

    for (size_t i = 0; i < n; i++) {
        char key[QUARANTINE_KEY_BYTES], value[QUARANTINE_VALUE_BYTES];
        GString *text;

        QuarantineRecord_Write(&items[i], Clock_Wall(Loop_Clock(this->loop)),
                               key, value);
        text = g_string_new(key);
        if (!g_hash_table_contains(keys, text)) {
            CrashGuard_OnPeerForgot(this->guard, &items[i].fingerprint);
        }
        g_string_free(text, TRUE);
    }
}

static void
on_snapshot(void *user, GHashTable *keys)
{
    QuarantineFeed *this = user;

    if (this->restored) {
        this->restored = false;
        resend_lost_items(this, keys);
    }
    if (this->leftover_count == 0 ||
        Random_Below(this->random, REMOVERS_ONE_IN) > 0) {
        this->leftover_count = 0;
        return;
    }
    LoopTimer_Start(this->leftovers_timer,
                    Random_Jitter(this->random, LEFTOVERS_DELAY_US));
}

static void
on_state(void *user, bool reachable, Micros since)
{
    QuarantineFeed *this = user;

    CrashGuard_SetPeersReachable(this->guard, reachable);
    if (reachable) {
        QuarantineFeed_Flush(this);
    }
}

static void
on_era(void *user, Micros since)
{
    QuarantineFeed *this = user;

    this->restored = true;
}

static void
on_page(void *user)
{
    QuarantineFeed *this = user;

    KeyedRelay_Notify(this->relay);
    QuarantineFeed_Flush(this);
}

/* ---- creation -------------------------------------------------------- */

QuarantineFeed *
QuarantineFeed_Create(Loop *loop, const KeyedLog *source,
                      const KeyedLog *keyed_log, KeyedRelay *relay,
                      CrashGuard *guard, Random *random, EventLog *log,
                      Counters *counters)
{
    static const KeyedFollowerHandlers handlers = {on_record, on_snapshot,
                                                   on_state, on_page, on_era};
    KeyedFollowerOptions options = {
        .topic = STR(TOPIC),
        .read_interval = READ_INTERVAL_US,
        .wait = READ_WAIT_US,
        .recovery_wait = READ_WAIT_US,
        .timeout = READ_TIMEOUT_US,
        .retry_delay = READ_RETRY_DELAY_US,
    };
    QuarantineFeed *this = g_new0(QuarantineFeed, 1);

    this->loop = loop;
    this->keyed_log = keyed_log;
    this->relay = relay;
    this->guard = guard;
    this->random = random;
    this->log = log;
    this->counters = counters;
    this->timer_at = -1;
    this->timer = LoopTimer_Create(loop, on_timer, this);
    this->leftovers_timer = LoopTimer_Create(loop, remove_leftovers, this);
    this->follower = KeyedFollower_Create(loop, source, &options, &handlers,
                                          this, random, log);
    KeyedRelay_Add(relay, STR(TOPIC), this->follower, SERVED_AGE_MAX_US);
    return this;
}

void
QuarantineFeed_Destroy(QuarantineFeed *this)
{
    if (this == NULL) {
        return;
    }
    KeyedFollower_Destroy(this->follower);
    LoopTimer_Destroy(this->timer);
    LoopTimer_Destroy(this->leftovers_timer);
    g_free(this);
}

uint64_t
QuarantineFeed_Appends(const QuarantineFeed *this)
{
    return this->appends;
}
