#include "CrashChannel.h"

#include <glib.h>

#include "QuarantineRecord.h"

#define CALL_TIME_US (6 * MICROS_PER_MS)
#define SLOW_CALL_TIME_US (500 * MICROS_PER_MS)
#define CALL_TIMEOUT_US (800 * MICROS_PER_MS)
/* A host reads through a relay; both pause after a read with records. */
#define READ_TIME_US (300 * MICROS_PER_MS)
#define FAULT_INTERVAL_US (8 * MICROS_PER_S)
#define FAULT_TIME_US (2 * MICROS_PER_S)
/* Time after an outage until hosts read again. */
#define RECOVERY_US (1 * MICROS_PER_S)
#define LOST_RESPONSES_RATIO 0.5
#define LATE_WRITE_US (4 * MICROS_PER_S)

typedef enum Fault_ {
    FAULT_NONE,
    FAULT_OUTAGE,
    FAULT_LOST_RESPONSES, /* some writes take effect seconds later */
    FAULT_COUNT,
} Fault;

typedef struct Record_ {
    char key[QUARANTINE_KEY_BYTES];
    char value[QUARANTINE_VALUE_BYTES];
} Record;

typedef struct Reader_ {
    CrashGuard *guard; /* NULL while the host is down */
    uint32_t start_count;
    guint next; /* record to read */
    bool reading;
} Reader;

struct CrashChannel_ {
    ChannelFaults faults;
    EventQueue *events;
    const Clock *clock;
    Random *random;
    Reader *readers;
    uint32_t reader_count;
    GArray *log;        /* Record */
    GHashTable *newest; /* key to index in the log + 1 */
    GPtrArray *calls;   /* Call, owned */
    Fault fault;
    Micros sound_since;
    unsigned call_count, byte_count;
};

/* An append of a host. */
typedef struct Call_ {
    CrashChannel *channel;
    uint32_t host;
    uint32_t start_count;
    GArray *records; /* Record */
    int code;
} Call;

static void
free_call(gpointer data)
{
    Call *call = data;

    g_array_free(call->records, TRUE);
    g_free(call);
}

static Micros
call_time(CrashChannel *this)
{
    return Random_Jitter(this->random, this->faults == CHANNEL_SLOW
                                           ? SLOW_CALL_TIME_US
                                           : CALL_TIME_US);
}

static void
deliver(CrashChannel *this, Reader *reader, const Record *record, Micros wall)
{
    KeyedRecord keyed = {.key = Str_FromC(record->key),
                         .value = Str_FromC(record->value),
                         .removed = record->value[0] == '\0'};
    QuarantineItem item;

    g_assert_cmpint(QuarantineRecord_Read(&keyed, wall, &item), ==, 0);
    if (keyed.removed) {
        CrashGuard_OnPeerForgot(reader->guard, &item.fingerprint);
    }
    else {
        CrashGuard_OnPeerItem(reader->guard, &item);
    }
}

static void
read_tail(void *user, uint64_t host)
{
    CrashChannel *this = user;
    Reader *reader = &this->readers[host];

    reader->reading = false;
    if (reader->guard == NULL) {
        return;
    }
    if (this->fault == FAULT_OUTAGE) {
        CrashGuard_SetPeersReachable(reader->guard, false);
        reader->reading = true;
        EventQueue_Add(this->events, Random_Jitter(this->random, RECOVERY_US),
                       read_tail, this, host);
        return;
    }
    CrashGuard_SetPeersReachable(reader->guard, true);
    while (reader->next < this->log->len) {
        deliver(this, reader,
                &g_array_index(this->log, Record, reader->next++), -1);
    }
}

static void
schedule_reads(CrashChannel *this)
{
    for (uint32_t i = 0; i < this->reader_count; i++) {
        Reader *reader = &this->readers[i];

        if (reader->guard != NULL && !reader->reading) {
            reader->reading = true;
            EventQueue_Add(this->events,
                           call_time(this) +
                               Random_Jitter(this->random, READ_TIME_US),
                           read_tail, this, i);
        }
    }
}

static void
write_records(void *user, uint64_t argument)
{
    Call *call = user;
    CrashChannel *this = call->channel;

    for (guint i = 0; i < call->records->len; i++) {
        g_array_append_val(this->log, g_array_index(call->records, Record, i));
        g_hash_table_insert(
            this->newest,
            g_strdup(g_array_index(call->records, Record, i).key),
            GUINT_TO_POINTER(this->log->len));
    }
    schedule_reads(this);
}

static void
end_call(void *user, uint64_t argument)
{
    Call *call = user;
    Reader *reader = &call->channel->readers[call->host];

    if (reader->guard != NULL && reader->start_count == call->start_count) {
        CrashGuard_OnBatchEnd(reader->guard, call->code);
    }
}

static void
start_call(CrashChannel *this, Call *call)
{
    Micros write_delay = call_time(this);

    this->call_count++;
    if (this->fault == FAULT_OUTAGE) {
        call->code = ERR_TIMEOUT;
        EventQueue_Add(this->events, CALL_TIMEOUT_US, end_call, call, 0);
        return;
    }
    if (this->fault == FAULT_LOST_RESPONSES &&
        Random_Unit(this->random) < LOST_RESPONSES_RATIO) {
        call->code = ERR_TIMEOUT;
        write_delay += (Micros)Random_Below(this->random, LATE_WRITE_US);
    }
    EventQueue_Add(this->events, write_delay, write_records, call, 0);
    EventQueue_Add(this->events,
                   call->code < 0 ? CALL_TIMEOUT_US
                                  : write_delay + call_time(this),
                   end_call, call, 0);
}

void
CrashChannel_Flush(CrashChannel *this, uint32_t host)
{
    QuarantineItem items[QUARANTINE_BATCH_MAX];
    Reader *reader = &this->readers[host];
    size_t n = CrashGuard_NextBatch(reader->guard, items);
    Call *call;

    if (n == 0) {
        return;
    }
    call = g_new0(Call, 1);
    call->channel = this;
    call->host = host;
    call->start_count = reader->start_count;
    call->records = g_array_new(FALSE, FALSE, sizeof(Record));
    g_ptr_array_add(this->calls, call);
    for (size_t i = 0; i < n; i++) {
        Record record;

        QuarantineRecord_Write(&items[i], Clock_Wall(this->clock), record.key,
                               record.value);
        this->byte_count += (unsigned)(Str_FromC(record.key).length +
                                       Str_FromC(record.value).length);
        g_array_append_val(call->records, record);
    }
    start_call(this, call);
}

void
CrashChannel_Attach(CrashChannel *this, uint32_t host, CrashGuard *guard)
{
    Reader *reader = &this->readers[host];
    GHashTableIter iter;
    gpointer index;

    reader->guard = guard;
    reader->start_count++;
    reader->reading = false;
    reader->next = this->log->len;
    g_hash_table_iter_init(&iter, this->newest);
    while (g_hash_table_iter_next(&iter, NULL, &index)) {
        deliver(this, reader,
                &g_array_index(this->log, Record, GPOINTER_TO_UINT(index) - 1),
                Clock_Wall(this->clock));
    }
}

void
CrashChannel_Detach(CrashChannel *this, uint32_t host)
{
    this->readers[host].guard = NULL;
}

static void
change_fault(void *user, uint64_t argument)
{
    CrashChannel *this = user;
    Micros wait;

    if (this->fault == FAULT_NONE) {
        this->fault = (Fault)(1 + Random_Below(this->random, FAULT_COUNT - 1));
        wait = Random_Jitter(this->random, FAULT_TIME_US);
        this->sound_since = Clock_Now(this->clock) + wait;
    }
    else {
        this->fault = FAULT_NONE;
        wait = Random_Jitter(this->random, FAULT_INTERVAL_US);
        schedule_reads(this);
    }
    EventQueue_Add(this->events, wait, change_fault, this, 0);
}

CrashChannel *
CrashChannel_Create(uint32_t hosts, ChannelFaults faults, EventQueue *events,
                    const Clock *clock, Random *random)
{
    CrashChannel *this = g_new0(CrashChannel, 1);

    this->faults = faults;
    this->events = events;
    this->clock = clock;
    this->random = random;
    this->readers = g_new0(Reader, hosts);
    this->reader_count = hosts;
    this->log = g_array_new(FALSE, FALSE, sizeof(Record));
    this->newest =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->calls = g_ptr_array_new_with_free_func(free_call);
    if (faults == CHANNEL_FAULTY) {
        EventQueue_Add(events, Random_Jitter(random, FAULT_INTERVAL_US),
                       change_fault, this, 0);
    }
    return this;
}

void
CrashChannel_Destroy(CrashChannel *this)
{
    g_free(this->readers);
    g_array_free(this->log, TRUE);
    g_hash_table_destroy(this->newest);
    g_ptr_array_free(this->calls, TRUE);
    g_free(this);
}

Micros
CrashChannel_SoundSince(const CrashChannel *this)
{
    return this->sound_since;
}

unsigned
CrashChannel_CallCount(const CrashChannel *this)
{
    return this->call_count;
}

unsigned
CrashChannel_ByteCount(const CrashChannel *this)
{
    return this->byte_count;
}
