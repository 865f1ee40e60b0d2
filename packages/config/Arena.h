#ifndef AGATECRANK_CONFIG_ARENA_H
#define AGATECRANK_CONFIG_ARENA_H

#include "Str.h"

/**
 * typedef Arena - memory that lives as long as its owner
 *
 * Holds the strings and arrays of one parsed document, so that they are
 * released together.
 */
typedef struct Arena_ Arena;

/** Arena_Create() - an empty store */
Arena *Arena_Create(void);

/** Arena_Destroy() - release the store and all it handed out */
void Arena_Destroy(Arena *this);

/** Arena_Alloc() - zeroed bytes, aligned for any type */
void *Arena_Alloc(Arena *this, size_t size);

/** Arena_CopyStr() - copy of @text, followed by a zero byte */
Str Arena_CopyStr(Arena *this, Str text);

#endif
