#ifndef AGATECRANK_NET_KEYEDMIRROR_H
#define AGATECRANK_NET_KEYEDMIRROR_H

#include <glib.h>

#include "KeyedLog.h"

/**
 * typedef KeyedMirror - copy of a topic: the newest record of each key, and
 *                       the last records in their order
 */
typedef struct KeyedMirror_ KeyedMirror;

/** KeyedMirror_Create() - an empty copy; @tail_max records are kept in order */
KeyedMirror *KeyedMirror_Create(size_t tail_max);

/** KeyedMirror_Destroy() - NULL is allowed */
void KeyedMirror_Destroy(KeyedMirror *this);

/** KeyedMirror_Append() - the next record of the topic */
void KeyedMirror_Append(KeyedMirror *this, const KeyedRecord *record);

/** KeyedMirror_BeginSnapshot() - a snapshot follows; nothing before counts */
void KeyedMirror_BeginSnapshot(KeyedMirror *this);

/** KeyedMirror_PutSnapshotRecord() - a record of a snapshot */
void KeyedMirror_PutSnapshotRecord(KeyedMirror *this,
                                   const KeyedRecord *record);

/** KeyedMirror_EndSnapshot() - the snapshot is whole; @end: next offset to come */
void KeyedMirror_EndSnapshot(KeyedMirror *this, uint64_t end);

/** KeyedMirror_End() - offset of the next record */
uint64_t KeyedMirror_End(const KeyedMirror *this);

/**
 * KeyedMirror_Tail() - records from an offset on
 * @records: array of KeyedRecord to append to; valid until the next change
 *
 * Return: 0, or ERR_EXPIRED if they are not kept.
 */
int KeyedMirror_Tail(const KeyedMirror *this, uint64_t from, GArray *records);

/** KeyedMirror_Newest() - the newest record of each key, as above */
void KeyedMirror_Newest(const KeyedMirror *this, GArray *records);

#endif
