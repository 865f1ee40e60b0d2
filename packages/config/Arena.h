#ifndef AGATECRANK_CONFIG_ARENA_H
#define AGATECRANK_CONFIG_ARENA_H

#include "Str.h"

/**
 * typedef Arena - allocator whose memory is released all at once
 *
 * Holds the strings and arrays of one parsed document.
 */
typedef struct Arena_ Arena;

/** Arena_Create() - an empty arena */
Arena *Arena_Create(void);

/** Arena_Destroy() - release the arena and all memory allocated from it */
void Arena_Destroy(Arena *this);

/** Arena_Alloc() - allocate @size zeroed bytes, aligned for any type */
void *Arena_Alloc(Arena *this, size_t size);

/** Arena_CopyStr() - copy @text and append a null byte */
Str Arena_CopyStr(Arena *this, Str text);

#endif
