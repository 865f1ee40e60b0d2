#include "SnapshotSchedule.h"

#include <glib.h>

struct SnapshotSchedule_ {
    SnapshotScheduleOptions options;
    const Clock *clock;
    Random *random;
    bool has_snapshot;
    uint64_t snapshot_offset;
    uint64_t snapshot_ms;
    bool has_record;
    uint64_t oldest_record_ms; /* append time of the oldest record read */
    uint64_t next_offset;      /* offset after the newest record read */
    enum { IDLE, DELAYED, CHECKING, CHECKED } phase;
    Micros check_time;
};

SnapshotSchedule *
SnapshotSchedule_Create(const SnapshotScheduleOptions *options,
                        const Clock *clock, Random *random)
{
    SnapshotSchedule *this = g_new0(SnapshotSchedule, 1);

    this->options = *options;
    if (options->records_max == 0) {
        this->options.records_max = SNAPSHOT_RECORDS_MAX;
    }
    this->clock = clock;
    this->random = random;
    return this;
}

void
SnapshotSchedule_Destroy(SnapshotSchedule *this)
{
    g_free(this);
}

void
SnapshotSchedule_OnSnapshot(SnapshotSchedule *this, uint64_t offset,
                            uint64_t time_ms)
{
    if (this->has_snapshot &&
        (offset < this->snapshot_offset ||
         (offset == this->snapshot_offset && time_ms <= this->snapshot_ms))) {
        return;
    }
    this->has_snapshot = true;
    this->snapshot_offset = offset;
    this->snapshot_ms = time_ms;
}

void
SnapshotSchedule_OnRecord(SnapshotSchedule *this, uint64_t offset,
                          uint64_t time_ms)
{
    if (!this->has_record && time_ms > 0) {
        this->has_record = true;
        this->oldest_record_ms = time_ms;
    }
    this->next_offset = MAX(this->next_offset, offset + 1);
}

static bool
has_reached_interval(const SnapshotSchedule *this, uint64_t time_ms)
{
    Micros age = Clock_Wall(this->clock) - (Micros)time_ms * MICROS_PER_MS;

    return age >= this->options.interval;
}

/* A new snapshot is also due if nothing changed, because the log service
 * expires snapshots like any other record. */
bool
SnapshotSchedule_IsDue(const SnapshotSchedule *this)
{
    uint64_t covered = this->has_snapshot ? this->snapshot_offset : 0;

    if (this->next_offset >= covered + this->options.records_max) {
        return true;
    }
    if (this->has_snapshot) {
        return has_reached_interval(this, this->snapshot_ms);
    }
    return !this->has_record ||
           has_reached_interval(this, this->oldest_record_ms);
}

SnapshotStep
SnapshotSchedule_Step(SnapshotSchedule *this)
{
    Micros now = Clock_Now(this->clock);

    if (!SnapshotSchedule_IsDue(this)) {
        this->phase = IDLE;
        return SNAPSHOT_WAIT;
    }
    switch (this->phase) {
    case IDLE:
        this->check_time =
            now + (Micros)Random_Below(this->random,
                                       (uint64_t)this->options.spread + 1);
        this->phase = DELAYED;
        return SNAPSHOT_WAIT;
    case DELAYED:
        if (now < this->check_time) {
            return SNAPSHOT_WAIT;
        }
        this->phase = CHECKING;
        return SNAPSHOT_CHECK;
    case CHECKING:
        return SNAPSHOT_WAIT;
    case CHECKED:
        return SNAPSHOT_WRITE;
    }
    return SNAPSHOT_WAIT;
}

void
SnapshotSchedule_OnChecked(SnapshotSchedule *this)
{
    if (this->phase == CHECKING) {
        this->phase = CHECKED;
    }
}

void
SnapshotSchedule_Reset(SnapshotSchedule *this)
{
    this->phase = IDLE;
}
