#ifndef AGATECRANK_CONFIG_SNAPSHOT_H
#define AGATECRANK_CONFIG_SNAPSHOT_H

#include <glib.h>

#include "Error.h"
#include "Str.h"

/** SNAPSHOT_CHUNK_BYTES - payload of one record of the snapshots stream */
#define SNAPSHOT_CHUNK_BYTES (192 * 1024)
/** SNAPSHOT_MAX - longest snapshot accepted, in bytes */
#define SNAPSHOT_MAX (64 * 1024 * 1024)
/** SNAPSHOT_DIGEST_BYTES - bytes of a SHA-256 digest */
#define SNAPSHOT_DIGEST_BYTES 32

/**
 * struct SnapshotChunk_ - one piece of a snapshot, as appended or fetched
 * @offset: ConfigState_Offset() of the snapshot
 * @digest: SHA-256 of the whole snapshot; chunks with the same digest fit
 *          together whoever wrote them
 * @index: number of the piece, from 0
 * @count: number of pieces
 * @data: the piece, borrowed
 */
typedef struct SnapshotChunk_ {
    uint64_t offset;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t index;
    uint32_t count;
    Str data;
} SnapshotChunk;

/** Snapshot_Digest() - SHA-256 of @bytes */
void Snapshot_Digest(Str bytes, uint8_t digest[SNAPSHOT_DIGEST_BYTES]);

/** Snapshot_ChunkCount() - number of chunks of @bytes bytes each */
uint32_t Snapshot_ChunkCount(size_t length, size_t bytes);

/** Snapshot_WriteChunk() - append the record of one chunk */
void Snapshot_WriteChunk(const SnapshotChunk *chunk, GString *out);

/** Snapshot_ParseChunk() - read a record; data is borrowed from it */
int Snapshot_ParseChunk(Str record, SnapshotChunk *chunk, Error *error);

/** typedef SnapshotBuffer - puts the chunks of snapshots together */
typedef struct SnapshotBuffer_ SnapshotBuffer;

/** SnapshotBuffer_Create() - empty */
SnapshotBuffer *SnapshotBuffer_Create(void);

/** SnapshotBuffer_Destroy() - release the buffer */
void SnapshotBuffer_Destroy(SnapshotBuffer *this);

/** SnapshotBuffer_Clear() - drop all chunks */
void SnapshotBuffer_Clear(SnapshotBuffer *this);

/**
 * SnapshotBuffer_Add() - take a chunk
 * @time_ms: its append time by the log service's clock, 0 from a peer
 *
 * Keeps the pieces of a few snapshots at a time, the newest ones.
 *
 * Return: 1 when the snapshot of the chunk is complete and its digest is
 * right, 0 when pieces are missing, ERR_PROTOCOL when the chunk is wrong.
 */
int SnapshotBuffer_Add(SnapshotBuffer *this, const SnapshotChunk *chunk,
                       uint64_t time_ms);

/**
 * SnapshotBuffer_Take() - the newest complete snapshot
 * @offset: receives its offset
 * @time_ms: receives the append time of its oldest piece; of pieces that
 *           were appended more than once the last copy counts
 *
 * Return: bytes that the caller frees, or NULL.
 */
GString *SnapshotBuffer_Take(SnapshotBuffer *this, uint64_t *offset,
                             uint64_t *time_ms);

#endif
