#include "ClaimFollower.h"

#include <glib.h>

#define READ_RECORDS_MAX 512
#define READ_WAIT_US (1 * MICROS_PER_S)
#define RETRY_DELAY_US (100 * MICROS_PER_MS)
/* Bounds the bytes of responses that are dropped. */
#define TOO_LONG_DELAY_US (1 * MICROS_PER_S)

typedef struct Partition_ {
    ClaimFollower *follower;
    uint32_t index;
    LoopTimer *timer;
    char stream[24];
} Partition;

struct ClaimFollower_ {
    Claims *claims;
    LogClient *log;
    Micros timeout;
    ClaimFollowerHandler *on_event;
    void *user;
    Partition *partitions;
    uint32_t count;
};

typedef struct PendingAppend_ {
    ClaimFollower *follower;
    uint64_t id;
} PendingAppend;

static void
on_read(void *user, const LogRead *read)
{
    Partition *partition = user;
    ClaimFollower *this = partition->follower;
    ClaimLogRead result = {
        .partition = partition->index,
        .log_first = read->first,
        .log_next = read->next,
        .n = read->count,
    };
    ClaimLogRecord *records;

    if (read->code < 0) {
        Claims_OnReadFailed(this->claims, partition->index);
        LoopTimer_Start(partition->timer,
                        read->too_long ? TOO_LONG_DELAY_US : RETRY_DELAY_US);
        this->on_event(this->user);
        return;
    }
    records = g_new(ClaimLogRecord, read->count + 1);
    for (size_t i = 0; i < read->count; i++) {
        records[i] =
            (ClaimLogRecord){read->records[i].offset, read->records[i].time_ms,
                             read->records[i].data};
    }
    result.records = records;
    Claims_OnRecords(this->claims, &result);
    g_free(records);
    LoopTimer_Start(partition->timer, 0);
    this->on_event(this->user);
}

static void
start_read(void *user)
{
    Partition *partition = user;
    ClaimFollower *this = partition->follower;
    Micros wait =
        Claims_ReadWait(this->claims, partition->index, READ_WAIT_US);

    LogClient_Read(this->log, Str_FromC(partition->stream),
                   Claims_ReadFrom(this->claims, partition->index),
                   READ_RECORDS_MAX, wait, this->timeout, on_read, partition);
}

ClaimFollower *
ClaimFollower_Create(Loop *loop, Claims *claims, uint32_t partitions,
                     LogClient *log, Micros timeout,
                     ClaimFollowerHandler *on_event, void *user)
{
    ClaimFollower *this = g_new0(ClaimFollower, 1);

    this->claims = claims;
    this->log = log;
    this->timeout = timeout;
    this->on_event = on_event;
    this->user = user;
    this->count = partitions;
    this->partitions = g_new0(Partition, partitions);
    for (uint32_t i = 0; i < partitions; i++) {
        Partition *partition = &this->partitions[i];

        partition->follower = this;
        partition->index = i;
        g_snprintf(partition->stream, sizeof(partition->stream), "claims-%u",
                   i);
        partition->timer = LoopTimer_Create(loop, start_read, partition);
        LoopTimer_Start(partition->timer, 0);
    }
    return this;
}

void
ClaimFollower_Destroy(ClaimFollower *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        LoopTimer_Destroy(this->partitions[i].timer);
    }
    g_free(this->partitions);
    g_free(this);
}

static void
on_appended(void *user, int code, uint64_t offset)
{
    PendingAppend *append = user;
    ClaimFollower *this = append->follower;

    Claims_OnAppendResult(this->claims, append->id, code);
    g_free(append);
    this->on_event(this->user);
}

void
ClaimFollower_Append(ClaimFollower *this, const ClaimAction *action)
{
    PendingAppend *append = g_new0(PendingAppend, 1);
    const Partition *partition = &this->partitions[action->append.partition];

    append->follower = this;
    append->id = action->append.id;
    LogClient_Append(this->log, Str_FromC(partition->stream),
                     action->append.record, this->timeout, on_appended,
                     append);
}
