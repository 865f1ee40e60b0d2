#ifndef AGATECRANK_NET_APPENDBATCH_H
#define AGATECRANK_NET_APPENDBATCH_H

#include "KeyedLog.h"
#include "Loop.h"

/**
 * typedef AppendBatch - collects records of a topic for a common append
 *
 * Each append is charged, whatever the number of its records.
 */
typedef struct AppendBatch_ AppendBatch;

/** AppendBatch_Create() - empty batch; @keyed_log is borrowed */
AppendBatch *AppendBatch_Create(Loop *loop, const KeyedLog *keyed_log,
                                Str topic);

/** AppendBatch_Destroy() - only after Loop_Close(); NULL is allowed */
void AppendBatch_Destroy(AppendBatch *this);

/**
 * AppendBatch_Add() - add a record, which is copied
 *
 * @handler is called with the result of the append, or at once with ERR_LIMIT
 * if too many records wait.
 */
void AppendBatch_Add(AppendBatch *this, Str key, Str value,
                     KeyedAppendHandler *handler, void *user);

/** AppendBatch_Calls() - number of appends so far */
uint64_t AppendBatch_Calls(const AppendBatch *this);

#endif
