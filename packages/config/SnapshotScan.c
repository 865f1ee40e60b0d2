#include "SnapshotScan.h"

#define INITIAL_WINDOW_RECORDS 16
#define READ_RECORDS_MAX 16

struct SnapshotScan_ {
    SnapshotBuffer *buffer;
    bool active;
    bool is_end_known; /* false until the first response */
    uint64_t first;    /* oldest record that the stream keeps */
    uint64_t end;      /* end of the current window, exclusive */
    uint64_t start;    /* start of the current window */
    uint64_t position; /* next record to read */
    uint64_t window_records;
};

SnapshotScan *
SnapshotScan_Create(void)
{
    SnapshotScan *this = g_new0(SnapshotScan, 1);

    this->buffer = SnapshotBuffer_Create();
    return this;
}

void
SnapshotScan_Destroy(SnapshotScan *this)
{
    SnapshotBuffer_Destroy(this->buffer);
    g_free(this);
}

void
SnapshotScan_Start(SnapshotScan *this)
{
    SnapshotBuffer_Clear(this->buffer);
    this->active = true;
    this->is_end_known = false;
    this->window_records = INITIAL_WINDOW_RECORDS;
    this->position = 0;
}

bool
SnapshotScan_IsActive(const SnapshotScan *this)
{
    return this->active;
}

/* The first read only fetches the headers log-first and log-next. */
void
SnapshotScan_Next(const SnapshotScan *this, uint64_t *from, uint32_t *max)
{
    *from = this->is_end_known ? this->position : 0;
    *max = this->is_end_known ? READ_RECORDS_MAX : 1;
}

static void
open_window(SnapshotScan *this, uint64_t end)
{
    this->end = end;
    this->start = end - MIN(this->window_records, end - this->first);
    this->position = this->start;
    this->window_records *= 2;
}

static void
add_records(SnapshotScan *this, const ConfigRecord *records, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        SnapshotChunk chunk;

        if (records[i].offset < this->position) {
            continue;
        }
        this->position = records[i].offset + 1;
        if (Snapshot_ParseChunk(records[i].data, &chunk, NULL) == 0) {
            SnapshotBuffer_Add(this->buffer, &chunk, records[i].time_ms);
        }
    }
}

void
SnapshotScan_OnRecords(SnapshotScan *this, uint64_t first, uint64_t next,
                       const ConfigRecord *records, size_t count)
{
    if (!this->active) {
        return;
    }
    if (!this->is_end_known) {
        this->is_end_known = true;
        this->first = MIN(first, next);
        open_window(this, next);
        return;
    }
    add_records(this, records, count);
    this->first = MAX(this->first, MIN(first, this->end));
    /* A lagging replica may return no records; do not wait for them. */
    if (count == 0) {
        this->position = this->end;
    }
}

static bool
is_window_read(const SnapshotScan *this)
{
    return this->is_end_known && this->position >= this->end;
}

GString *
SnapshotScan_Take(SnapshotScan *this, uint64_t *offset, uint64_t *time_ms)
{
    GString *snapshot;

    if (!this->active || !is_window_read(this)) {
        return NULL;
    }
    snapshot = SnapshotBuffer_Take(this->buffer, offset, time_ms);
    if (snapshot != NULL) {
        return snapshot;
    }
    if (this->start <= this->first) {
        this->active = false;
        return NULL;
    }
    open_window(this, this->end);
    return NULL;
}

void
SnapshotScan_Finish(SnapshotScan *this)
{
    this->active = false;
}
