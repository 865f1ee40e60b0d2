#ifndef AGATECRANK_CONFIG_SNAPSHOT_H
#define AGATECRANK_CONFIG_SNAPSHOT_H

#include <glib.h>

#include "Error.h"
#include "Str.h"

/** SNAPSHOT_CHUNK_BYTES - payload of one record of the snapshots stream */
#define SNAPSHOT_CHUNK_BYTES (192 * 1024)
/** SNAPSHOT_BYTES_MAX - size of the largest snapshot accepted */
#define SNAPSHOT_BYTES_MAX (64 * 1024 * 1024)
/** SNAPSHOT_DIGEST_BYTES - size of a SHA-256 digest */
#define SNAPSHOT_DIGEST_BYTES 32

/**
 * struct SnapshotChunk_ - one part of a snapshot, as appended or fetched
 * @offset: ConfigState_Offset() of the snapshot
 * @digest: SHA-256 of the whole snapshot; chunks with the same digest belong
 *          to the same snapshot even if different hosts wrote them
 * @index: number of the chunk, from 0
 * @count: number of chunks of the snapshot
 * @data: content of the chunk, borrowed
 */
typedef struct SnapshotChunk_ {
    uint64_t offset;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t index;
    uint32_t count;
    Str data;
} SnapshotChunk;

/** Snapshot_Digest() - compute the SHA-256 of @bytes */
void Snapshot_Digest(Str bytes, uint8_t digest[SNAPSHOT_DIGEST_BYTES]);

/** Snapshot_ChunkCount() - number of chunks if each holds @bytes bytes */
uint32_t Snapshot_ChunkCount(size_t length, size_t bytes);

/** Snapshot_WriteChunk() - append the log record of one chunk to @out */
void Snapshot_WriteChunk(const SnapshotChunk *chunk, GString *out);

/**
 * Snapshot_ParseChunk() - parse the log record of one chunk
 * @chunk: receives the chunk; its data is borrowed from @record
 *
 * Return: 0 or ERR_PARSE.
 */
int Snapshot_ParseChunk(Str record, SnapshotChunk *chunk, Error *error);

/** typedef SnapshotBuffer - reassembles snapshots from their chunks */
typedef struct SnapshotBuffer_ SnapshotBuffer;

/** SnapshotBuffer_Create() - create an empty buffer */
SnapshotBuffer *SnapshotBuffer_Create(void);

/** SnapshotBuffer_Destroy() - free the buffer; NULL is accepted */
void SnapshotBuffer_Destroy(SnapshotBuffer *this);

/** SnapshotBuffer_Clear() - drop all chunks */
void SnapshotBuffer_Clear(SnapshotBuffer *this);

/**
 * SnapshotBuffer_Add() - add a copy of a chunk
 * @time_ms: append time by the log service's clock, in ms since 1970; 0 for
 *           a chunk from a peer
 *
 * Keeps the chunks of a few snapshots at a time and drops the snapshot that
 * has not received a chunk for the longest time.
 *
 * Return: 1 if the snapshot is complete and its digest matches, 0 if chunks
 * are missing. ERR_PROTOCOL: the chunk is invalid, or its snapshot was dropped
 * because it is too large or its digest does not match.
 */
int SnapshotBuffer_Add(SnapshotBuffer *this, const SnapshotChunk *chunk,
                       uint64_t time_ms);

/**
 * SnapshotBuffer_Take() - remove the newest complete snapshot
 * @offset: receives its offset
 * @time_ms: receives the append time of its oldest chunk; a chunk that was
 *           appended several times has the time of its last copy
 *
 * Return: the snapshot, which the calling function frees, or NULL if none is
 * complete.
 */
GString *SnapshotBuffer_Take(SnapshotBuffer *this, uint64_t *offset,
                             uint64_t *time_ms);

#endif
