#include "ClaimsSimulationPrivate.h"

#define READ_RECORDS_MAX 256
#define APPEND_TIMEOUT_US (2 * MICROS_PER_S)
#define READ_RETRY_US (200 * MICROS_PER_MS)

bool
ClaimsSimulation_Chance(ClaimsSimulation *this, double p)
{
    return p > 0 && Random_Unit(this->random) < p;
}

Micros
ClaimsSimulation_RandomBetween(ClaimsSimulation *this, Micros low, Micros high)
{
    return low +
           (Micros)Random_Below(this->random, (uint64_t)(high - low) + 1);
}

static uint64_t
log_time(const ClaimsSimulation *this)
{
    return (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);
}

Event *
ClaimsSimulation_NewEvent(ClaimsSimulation *this, EventKind kind,
                          uint32_t host)
{
    Event *event = g_new0(Event, 1);

    event->simulation = this;
    event->kind = kind;
    event->host = host;
    event->epoch = this->hosts[host].epoch;
    return event;
}

void
ClaimsSimulation_Schedule(Event *event, Micros delay)
{
    g_hash_table_add(event->simulation->events, event);
    EventQueue_Add(event->simulation->queue, delay,
                   ClaimsSimulation_HandleEvent, event, 0);
}

Str
Event_CopyText(Event *event, Str text)
{
    if (text.length == 0) {
        return (Str){NULL, 0};
    }
    if (event->text == NULL) {
        event->text = g_string_chunk_new(128);
    }
    return (Str){
        g_string_chunk_insert_len(event->text, text.data, (gssize)text.length),
        text.length};
}

void
Event_Free(gpointer data)
{
    Event *event = data;

    if (event->text != NULL) {
        g_string_chunk_free(event->text);
    }
    if (event->read != NULL) {
        FakeLog_FreeRead(event->read);
    }
    g_free(event);
}

void
ClaimsSimulation_SendAppend(ClaimsSimulation *this, uint32_t host,
                            const ClaimAction *action)
{
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_APPEND_AT_LOG, host);

    event->id = action->append.id;
    event->partition = action->append.partition;
    event->bytes = Event_CopyText(event, action->append.record);
    this->counters.appends++;
    ClaimsSimulation_Schedule(
        event, ClaimsSimulation_RandomBetween(this, this->options.log_min,
                                              this->options.log_max));
}

static void
append_result(ClaimsSimulation *this, const Event *append, int code,
              Micros delay)
{
    Event *event =
        ClaimsSimulation_NewEvent(this, EVENT_APPEND_RESULT, append->host);

    event->epoch = append->epoch;
    event->id = append->id;
    event->code = code;
    ClaimsSimulation_Schedule(event, delay);
}

void
ClaimsSimulation_SendReadResult(ClaimsSimulation *this, uint32_t host,
                                uint32_t partition)
{
    Host *h = &this->hosts[host];
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_READ_RESULT, host);

    h->read_waiting[partition] = false;
    h->read_id[partition]++;
    event->partition = partition;
    if (this->outage ||
        ClaimsSimulation_Chance(this, this->options.read_loss_ratio)) {
        event->code = ERR_UNAVAILABLE;
    }
    else if (h->claims != NULL) {
        /* Claims_ReadFrom() does not change while a read is outstanding. */
        event->read = FakeLog_Read(this->logs[partition], partition,
                                   Claims_ReadFrom(h->claims, partition),
                                   READ_RECORDS_MAX);
    }
    this->counters.reads++;
    ClaimsSimulation_Schedule(
        event, ClaimsSimulation_RandomBetween(this, this->options.log_min,
                                              this->options.log_max));
}

void
ClaimsSimulation_WakeReaders(ClaimsSimulation *this, uint32_t partition)
{
    for (uint32_t i = 0; i < this->options.hosts; i++) {
        if (this->hosts[i].read_waiting[partition]) {
            ClaimsSimulation_SendReadResult(this, i, partition);
        }
    }
}

static void
expire_records(ClaimsSimulation *this, uint32_t partition)
{
    uint64_t age = (uint64_t)(this->options.retention / MICROS_PER_MS);

    if (age > 0 && log_time(this) > age) {
        FakeLog_Expire(this->logs[partition], log_time(this) - age);
    }
}

/* Repeats an append, reported as lost, after up to append_delay_max. */
static void
append_after_delay(ClaimsSimulation *this, const Event *append)
{
    Event *event =
        ClaimsSimulation_NewEvent(this, EVENT_APPEND_AT_LOG, append->host);

    event->partition = append->partition;
    event->bytes = Event_CopyText(event, append->bytes);
    ClaimsSimulation_Schedule(
        event, ClaimsSimulation_RandomBetween(this, 0,
                                              this->options.append_delay_max));
}

void
ClaimsSimulation_OnAppendAtLog(ClaimsSimulation *this, const Event *event)
{
    Micros back = ClaimsSimulation_RandomBetween(this, this->options.log_min,
                                                 this->options.log_max);

    if (ClaimsSimulation_Chance(this, this->options.append_loss_ratio)) {
        if (ClaimsSimulation_Chance(this, this->options.late_append_ratio)) {
            append_after_delay(this, event);
        }
        append_result(this, event, ERR_TIMEOUT, APPEND_TIMEOUT_US);
        return;
    }
    if (this->outage) {
        this->counters.log_appends_failed++;
        append_result(this, event, ERR_UNAVAILABLE, back);
        return;
    }
    FakeLog_Append(this->logs[event->partition], event->bytes, log_time(this));
    if (ClaimsSimulation_Chance(this, this->options.result_loss_ratio)) {
        append_result(this, event, ERR_TIMEOUT, APPEND_TIMEOUT_US);
    }
    else {
        append_result(this, event, 0, back);
    }
    ClaimsSimulation_WakeReaders(this, event->partition);
}

void
ClaimsSimulation_StartRead(ClaimsSimulation *this, uint32_t host,
                           uint32_t partition, Micros delay)
{
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_READ_AT_LOG, host);

    event->partition = partition;
    ClaimsSimulation_Schedule(event, delay + ClaimsSimulation_RandomBetween(
                                                 this, this->options.log_min,
                                                 this->options.log_max));
}

void
ClaimsSimulation_OnReadAtLog(ClaimsSimulation *this, const Event *event)
{
    Host *host = &this->hosts[event->host];
    Event *timeout;

    expire_records(this, event->partition);
    if (this->outage ||
        Claims_ReadWait(host->claims, event->partition, 1) == 0 ||
        Claims_ReadFrom(host->claims, event->partition) <
            FakeLog_Next(this->logs[event->partition])) {
        ClaimsSimulation_SendReadResult(this, event->host, event->partition);
        return;
    }
    host->read_waiting[event->partition] = true;
    timeout = ClaimsSimulation_NewEvent(this, EVENT_READ_TIMEOUT, event->host);
    timeout->partition = event->partition;
    timeout->id = host->read_id[event->partition];
    ClaimsSimulation_Schedule(timeout, this->options.poll);
}

void
ClaimsSimulation_OnReadResult(ClaimsSimulation *this, const Event *event)
{
    Host *host = &this->hosts[event->host];

    if (event->code != 0 || event->read == NULL) {
        Claims_OnReadFailed(host->claims, event->partition);
        ClaimsSimulation_StartRead(this, event->host, event->partition,
                                   READ_RETRY_US);
        return;
    }
    Claims_OnRecords(host->claims, event->read);
    ClaimsSimulation_StartRead(this, event->host, event->partition, 0);
}
