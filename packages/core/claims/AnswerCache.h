#ifndef AGATECRANK_CORE_ANSWERCACHE_H
#define AGATECRANK_CORE_ANSWERCACHE_H

#include "IdempotencyKey.h"

/** typedef AnswerCache - first responses of finished keys, oldest dropped */
typedef struct AnswerCache_ AnswerCache;

/**
 * AnswerCache_Create() - an empty cache
 * @bytes: memory for all answers and their bookkeeping
 * @limit: longer answers are not kept
 */
AnswerCache *AnswerCache_Create(size_t bytes, size_t limit);
void AnswerCache_Destroy(AnswerCache *this);

/** AnswerCache_Put() - keep a copy; false if it is too long */
bool AnswerCache_Put(AnswerCache *this, KeyHash key, Str answer);

/** AnswerCache_Get() - false if not held; valid until the next Put */
bool AnswerCache_Get(const AnswerCache *this, KeyHash key, Str *answer);

/** AnswerCache_Bytes() - memory in use */
size_t AnswerCache_Bytes(const AnswerCache *this);

#endif
