#ifndef AGATECRANK_CONFIG_SNAPSHOTSCAN_H
#define AGATECRANK_CONFIG_SNAPSHOTSCAN_H

#include "ConfigSync.h"

/**
 * typedef SnapshotScan - finds the newest snapshot in the snapshots stream
 *
 * Reads the end of the stream first, in windows that double in size, as
 * the stream holds many snapshots and only the last one is wanted.
 */
typedef struct SnapshotScan_ SnapshotScan;

/** SnapshotScan_Create() - idle */
SnapshotScan *SnapshotScan_Create(void);

/** SnapshotScan_Destroy() - release the scan */
void SnapshotScan_Destroy(SnapshotScan *this);

/** SnapshotScan_Start() - begin anew */
void SnapshotScan_Start(SnapshotScan *this);

/** SnapshotScan_IsActive() - true until the stream was searched */
bool SnapshotScan_IsActive(const SnapshotScan *this);

/** SnapshotScan_Next() - offset and number of records to read next */
void SnapshotScan_Next(const SnapshotScan *this, uint64_t *from,
                       uint32_t *max);

/** SnapshotScan_OnRecords() - the READ was answered */
void SnapshotScan_OnRecords(SnapshotScan *this, uint64_t first, uint64_t next,
                            const ConfigRecord *records, size_t count);

/**
 * SnapshotScan_Take() - newest complete snapshot found so far
 *
 * To be asked again after a snapshot was refused. Returns NULL while a
 * window is being read and when none is left.
 *
 * Return: bytes that the caller frees, or NULL.
 */
GString *SnapshotScan_Take(SnapshotScan *this, uint64_t *offset,
                           uint64_t *time_ms);

/** SnapshotScan_Finish() - a snapshot was good: read no more windows */
void SnapshotScan_Finish(SnapshotScan *this);

#endif
