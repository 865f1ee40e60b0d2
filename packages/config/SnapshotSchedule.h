#ifndef AGATECRANK_CONFIG_SNAPSHOTSCHEDULE_H
#define AGATECRANK_CONFIG_SNAPSHOTSCHEDULE_H

#include <stdbool.h>

#include "Clock.h"
#include "Random.h"

/**
 * SNAPSHOT_RECORDS_MAX - records after which a new snapshot is due
 *
 * Limits the startup time of a host: applying a record takes about 0.25 ms,
 * mostly for the verification of its signature.
 */
#define SNAPSHOT_RECORDS_MAX 1000

/**
 * struct SnapshotScheduleOptions_ - when a snapshot is due
 * @interval: age of the newest snapshot at which a new one is due; without
 *            any snapshot, age of the oldest record read; at most half of
 *            the log service's retention time
 * @spread: longest random delay before a host writes a snapshot that is due
 * @records_max: number of records after the newest snapshot at which a new
 *               one is due; 0: SNAPSHOT_RECORDS_MAX
 */
typedef struct SnapshotScheduleOptions_ {
    Micros interval;
    Micros spread;
    uint64_t records_max;
} SnapshotScheduleOptions;

/** typedef SnapshotSchedule - decides when this host writes a snapshot */
typedef struct SnapshotSchedule_ SnapshotSchedule;

/** SnapshotSchedule_Create() - create a schedule; borrows @clock, @random */
SnapshotSchedule *
SnapshotSchedule_Create(const SnapshotScheduleOptions *options,
                        const Clock *clock, Random *random);

/** SnapshotSchedule_Destroy() - free the schedule */
void SnapshotSchedule_Destroy(SnapshotSchedule *this);

/**
 * SnapshotSchedule_OnSnapshot() - a complete snapshot was found or written
 * @offset: ConfigState_Offset() of the snapshot
 * @time_ms: append time of its oldest chunk by the log service's clock, in ms
 *           since 1970
 */
void SnapshotSchedule_OnSnapshot(SnapshotSchedule *this, uint64_t offset,
                                 uint64_t time_ms);

/**
 * SnapshotSchedule_OnRecord() - a record of the config stream was applied
 * @offset: offset of the record
 * @time_ms: append time by the log service's clock, in ms since 1970; 0 if
 *           unknown
 */
void SnapshotSchedule_OnRecord(SnapshotSchedule *this, uint64_t offset,
                               uint64_t time_ms);

/** enum SnapshotStep_ - next step of a host */
typedef enum SnapshotStep_ {
    SNAPSHOT_WAIT,  /* nothing to do now */
    SNAPSHOT_CHECK, /* read the snapshots stream, then OnChecked() */
    SNAPSHOT_WRITE, /* write a snapshot now */
} SnapshotStep;

/**
 * SnapshotSchedule_Step() - next step of this host
 *
 * If a snapshot is due, the host waits for a random time and reads the
 * snapshots stream again. It writes a snapshot only if no other host has
 * written one by then.
 */
SnapshotStep SnapshotSchedule_Step(SnapshotSchedule *this);

/** SnapshotSchedule_OnChecked() - the snapshots stream was read again */
void SnapshotSchedule_OnChecked(SnapshotSchedule *this);

/** SnapshotSchedule_Reset() - start over, after a write or a failure */
void SnapshotSchedule_Reset(SnapshotSchedule *this);

/** SnapshotSchedule_IsDue() - true if a snapshot is due now */
bool SnapshotSchedule_IsDue(const SnapshotSchedule *this);

#endif
