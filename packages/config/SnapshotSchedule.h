#ifndef AGATECRANK_CONFIG_SNAPSHOTSCHEDULE_H
#define AGATECRANK_CONFIG_SNAPSHOTSCHEDULE_H

#include <stdbool.h>

#include "Clock.h"
#include "Random.h"

/**
 * SNAPSHOT_RECORDS_MAX - records after a snapshot that make a new one due
 *
 * Bounds the time of a start: each record costs about 0.25 ms, nearly all of
 * it for the signature.
 */
#define SNAPSHOT_RECORDS_MAX 1000

/**
 * struct SnapshotScheduleOptions_ - when snapshots are written
 * @interval: age of the newest snapshot, or of the oldest record that no
 *            snapshot covers, at which one is due; at most half of the log
 *            service's retention time
 * @spread: longest random delay of a host that finds one due
 * @records_max: records after the newest snapshot that make one due; 0:
 *               SNAPSHOT_RECORDS_MAX
 */
typedef struct SnapshotScheduleOptions_ {
    Micros interval;
    Micros spread;
    uint64_t records_max;
} SnapshotScheduleOptions;

/** typedef SnapshotSchedule - decides when this host writes a snapshot */
typedef struct SnapshotSchedule_ SnapshotSchedule;

/** SnapshotSchedule_Create() - @clock and @random are borrowed */
SnapshotSchedule *
SnapshotSchedule_Create(const SnapshotScheduleOptions *options,
                        const Clock *clock, Random *random);

/** SnapshotSchedule_Destroy() - release the schedule */
void SnapshotSchedule_Destroy(SnapshotSchedule *this);

/** SnapshotSchedule_OnSnapshot() - a complete one for @offset is in the log
 * @time_ms: append time of its oldest piece, by the log service's clock
 */
void SnapshotSchedule_OnSnapshot(SnapshotSchedule *this, uint64_t offset,
                                 uint64_t time_ms);

/** SnapshotSchedule_OnRecord() - a record of the config stream was read */
void SnapshotSchedule_OnRecord(SnapshotSchedule *this, uint64_t offset,
                               uint64_t time_ms);

typedef enum SnapshotStep_ {
    SNAPSHOT_WAIT,  /* nothing to do */
    SNAPSHOT_CHECK, /* read the snapshots stream again, then ask again */
    SNAPSHOT_WRITE, /* write one now */
} SnapshotStep;

/**
 * SnapshotSchedule_Step() - what to do now
 *
 * A host that finds a snapshot due waits for a random time, asks for a
 * check, and writes only if none has appeared by then.
 */
SnapshotStep SnapshotSchedule_Step(SnapshotSchedule *this);

/** SnapshotSchedule_OnChecked() - the snapshots stream was read to its end */
void SnapshotSchedule_OnChecked(SnapshotSchedule *this);

/** SnapshotSchedule_OnFailed() - check or write failed: start over */
void SnapshotSchedule_OnFailed(SnapshotSchedule *this);

/** SnapshotSchedule_IsDue() - true if a snapshot is due now */
bool SnapshotSchedule_IsDue(const SnapshotSchedule *this);

#endif
