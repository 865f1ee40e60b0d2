#ifndef AGATECRANK_TESTS_FAKELOG_H
#define AGATECRANK_TESTS_FAKELOG_H

#include "Claims.h"

/** typedef FakeLog - an append-only stream in memory; old records expire */
typedef struct FakeLog_ FakeLog;

FakeLog *FakeLog_Create(void);
void FakeLog_Destroy(FakeLog *this);

/** FakeLog_Append() - append a copy of a record; returns its offset */
uint64_t FakeLog_Append(FakeLog *this, Str record, uint64_t time_ms);

/** FakeLog_Expire() - drop the records appended before @time_ms */
void FakeLog_Expire(FakeLog *this, uint64_t time_ms);

/** FakeLog_DropFirst() - drop the oldest record; there must be one */
void FakeLog_DropFirst(FakeLog *this);

/** FakeLog_Next() - offset of the next append */
uint64_t FakeLog_Next(const FakeLog *this);

/**
 * FakeLog_Read() - copy up to @max records from offset @from on
 * @partition: copied to the result
 *
 * Return: the copy, which the caller frees with FakeLog_FreeRead().
 */
ClaimLogRead *FakeLog_Read(const FakeLog *this, uint32_t partition,
                           uint64_t from, size_t max);
void FakeLog_FreeRead(ClaimLogRead *read);

#endif
