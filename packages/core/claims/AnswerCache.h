#ifndef AGATECRANK_CORE_ANSWERCACHE_H
#define AGATECRANK_CORE_ANSWERCACHE_H

#include "IdempotencyKey.h"

/** typedef AnswerCache - FIFO cache of answers: responses of finished requests
 */
typedef struct AnswerCache_ AnswerCache;

/**
 * AnswerCache_Create() - an empty cache
 * @bytes: memory for all answers, including the overhead of each
 * @limit: longest answer that is kept, in bytes
 */
AnswerCache *AnswerCache_Create(size_t bytes, size_t limit);
void AnswerCache_Destroy(AnswerCache *this);

/**
 * AnswerCache_Put() - keep a copy, dropping the oldest answers if full
 *
 * Return: false if @answer is too long or the key has an answer already.
 */
bool AnswerCache_Put(AnswerCache *this, KeyHash key, Str answer);

/** AnswerCache_Get() - false if absent; @answer is valid until the next
 * AnswerCache_Put() */
bool AnswerCache_Get(const AnswerCache *this, KeyHash key, Str *answer);

/** AnswerCache_Bytes() - memory in use, in bytes */
size_t AnswerCache_Bytes(const AnswerCache *this);

#endif
