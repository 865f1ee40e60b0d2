#ifndef AGATECRANK_CONFIG_SNAPSHOTSCAN_H
#define AGATECRANK_CONFIG_SNAPSHOTSCAN_H

#include "ConfigSync.h"

/**
 * typedef SnapshotScan - finds the newest snapshot in the snapshots stream
 *
 * The stream holds many snapshots of which only the newest is needed, so the
 * scan reads backwards from the end, in windows that double in size.
 */
typedef struct SnapshotScan_ SnapshotScan;

/** SnapshotScan_Create() - an inactive scan */
SnapshotScan *SnapshotScan_Create(void);

/** SnapshotScan_Destroy() - release the scan */
void SnapshotScan_Destroy(SnapshotScan *this);

/** SnapshotScan_Start() - discard all chunks and scan from the stream's end */
void SnapshotScan_Start(SnapshotScan *this);

/** SnapshotScan_IsActive() - true until finished or the stream is exhausted */
bool SnapshotScan_IsActive(const SnapshotScan *this);

/** SnapshotScan_Next() - first offset and maximum records of the next read */
void SnapshotScan_Next(const SnapshotScan *this, uint64_t *from,
                       uint32_t *max);

/**
 * SnapshotScan_OnRecords() - handle the response to a read
 * @first: offset of the oldest record that the stream keeps
 * @next: offset after the newest record of the stream
 * @records: records read, borrowed
 * @count: number of records
 */
void SnapshotScan_OnRecords(SnapshotScan *this, uint64_t first, uint64_t next,
                            const ConfigRecord *records, size_t count);

/**
 * SnapshotScan_Take() - remove and return the newest complete snapshot found
 * @offset: receives the configuration offset of the snapshot
 * @time_ms: receives the append time of its oldest chunk
 *
 * Call it again after the snapshot was rejected, to get the next older one.
 *
 * Return: bytes that the calling function frees; NULL while a window is being
 * read, or if no snapshot is left.
 */
GString *SnapshotScan_Take(SnapshotScan *this, uint64_t *offset,
                           uint64_t *time_ms);

/** SnapshotScan_Finish() - end the scan after a snapshot was accepted */
void SnapshotScan_Finish(SnapshotScan *this);

#endif
