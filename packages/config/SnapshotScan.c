#include "SnapshotScan.h"

#define FIRST_WINDOW 16
#define READ_MAX 16

struct SnapshotScan_ {
    SnapshotBuffer *buffer;
    bool active;
    bool sized;        /* end of the stream is known */
    uint64_t first;    /* oldest record kept */
    uint64_t end;      /* end of the present window */
    uint64_t start;    /* start of the present window */
    uint64_t position; /* next record to read */
    uint64_t window;
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
    this->sized = false;
    this->window = FIRST_WINDOW;
    this->position = 0;
}

bool
SnapshotScan_IsActive(const SnapshotScan *this)
{
    return this->active;
}

/* The first read is for the headers log-first and log-next alone. */
void
SnapshotScan_Next(const SnapshotScan *this, uint64_t *from, uint32_t *max)
{
    *from = this->sized ? this->position : 0;
    *max = this->sized ? READ_MAX : 1;
}

static void
open_window(SnapshotScan *this, uint64_t end)
{
    this->end = end;
    this->start = end - MIN(this->window, end - this->first);
    this->position = this->start;
    this->window *= 2;
}

static void
take_records(SnapshotScan *this, const ConfigRecord *records, size_t count)
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
    if (!this->sized) {
        this->sized = true;
        this->first = MIN(first, next);
        open_window(this, next);
        return;
    }
    take_records(this, records, count);
    this->first = MAX(this->first, MIN(first, this->end));
    /* A lagging answer ends early; what it lacks is not waited for. */
    if (count == 0) {
        this->position = this->end;
    }
}

static bool
window_done(const SnapshotScan *this)
{
    return this->sized && this->position >= this->end;
}

GString *
SnapshotScan_Take(SnapshotScan *this, uint64_t *offset, uint64_t *time_ms)
{
    GString *snapshot;

    if (!this->active || !window_done(this)) {
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
