#include "SnapshotSchedule.h"

#include <glib.h>

#define MICROS_IN_MS 1000

struct SnapshotSchedule_ {
    SnapshotScheduleOptions options;
    const Clock *clock;
    Random *random;
    bool any_snapshot;
    uint64_t snapshot_offset;
    uint64_t snapshot_ms;
    bool any_record;
    uint64_t first_ms; /* of the oldest record that was read */
    uint64_t next;     /* offset after the newest record that was read */
    enum { IDLE, DELAYED, CHECKING, CHECKED } phase;
    Micros until;
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
    if (this->any_snapshot &&
        (offset < this->snapshot_offset ||
         (offset == this->snapshot_offset && time_ms <= this->snapshot_ms))) {
        return;
    }
    this->any_snapshot = true;
    this->snapshot_offset = offset;
    this->snapshot_ms = time_ms;
}

void
SnapshotSchedule_OnRecord(SnapshotSchedule *this, uint64_t offset,
                          uint64_t time_ms)
{
    if (!this->any_record && time_ms > 0) {
        this->any_record = true;
        this->first_ms = time_ms;
    }
    this->next = MAX(this->next, offset + 1);
}

static bool
is_older(const SnapshotSchedule *this, uint64_t time_ms)
{
    Micros age = Clock_Wall(this->clock) - (Micros)time_ms * MICROS_IN_MS;

    return age >= this->options.interval;
}

/* A snapshot ages even if nothing changes: it expires like any record. */
bool
SnapshotSchedule_IsDue(const SnapshotSchedule *this)
{
    uint64_t covered = this->any_snapshot ? this->snapshot_offset : 0;

    if (this->next >= covered + this->options.records_max) {
        return true;
    }
    if (this->any_snapshot) {
        return is_older(this, this->snapshot_ms);
    }
    return !this->any_record || is_older(this, this->first_ms);
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
        this->until =
            now + (Micros)Random_Below(this->random,
                                       (uint64_t)this->options.spread + 1);
        this->phase = DELAYED;
        return SNAPSHOT_WAIT;
    case DELAYED:
        if (now < this->until) {
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
SnapshotSchedule_OnFailed(SnapshotSchedule *this)
{
    this->phase = IDLE;
}
