#ifndef AGATECRANK_NET_KEYEDMIRROR_H
#define AGATECRANK_NET_KEYEDMIRROR_H

#include <glib.h>

#include "KeyedLog.h"

/**
 * typedef KeyedMirror - copy of a topic in memory
 *
 * It holds the newest record of each key and the tail, which is the last
 * records in the order of their offsets.
 */
typedef struct KeyedMirror_ KeyedMirror;

/** KeyedMirror_Create() - empty copy whose tail holds @tail_max records */
KeyedMirror *KeyedMirror_Create(size_t tail_max);

/** KeyedMirror_Destroy() - NULL is allowed */
void KeyedMirror_Destroy(KeyedMirror *this);

/** KeyedMirror_Append() - add the next record of the topic */
void KeyedMirror_Append(KeyedMirror *this, const KeyedRecord *record);

/** KeyedMirror_BeginSnapshot() - drop everything; a snapshot follows */
void KeyedMirror_BeginSnapshot(KeyedMirror *this);

/** KeyedMirror_PutSnapshotRecord() - add a record of the snapshot */
void KeyedMirror_PutSnapshotRecord(KeyedMirror *this,
                                   const KeyedRecord *record);

/**
 * KeyedMirror_EndSnapshot() - the snapshot is complete
 * @end: offset of the first record after the snapshot
 */
void KeyedMirror_EndSnapshot(KeyedMirror *this, uint64_t end);

/** KeyedMirror_End() - offset of the next record of the topic */
uint64_t KeyedMirror_End(const KeyedMirror *this);

/** KeyedMirror_Has() - whether the tail reaches back to offset @from */
bool KeyedMirror_Has(const KeyedMirror *this, uint64_t from);

/**
 * KeyedMirror_Tail() - records from offset @from on
 * @records: array of KeyedRecord to append to; valid until the next change
 *
 * Return: 0, or ERR_EXPIRED if the tail does not reach back to @from or @from
 * is after the end.
 */
int KeyedMirror_Tail(const KeyedMirror *this, uint64_t from, GArray *records);

/**
 * KeyedMirror_Newest() - newest record of each key, in no order
 * @records: array of KeyedRecord to append to; valid until the next change
 */
void KeyedMirror_Newest(const KeyedMirror *this, GArray *records);

#endif
