#ifndef AGATECRANK_CONFIG_TEXTSTORE_H
#define AGATECRANK_CONFIG_TEXTSTORE_H

#include "Str.h"

/**
 * typedef TextStore - memory that lives as long as its owner
 *
 * Holds the strings and arrays of one parsed document, so that they are
 * released together.
 */
typedef struct TextStore_ TextStore;

/** TextStore_Create() - an empty store */
TextStore *TextStore_Create(void);

/** TextStore_Destroy() - release the store and all it handed out */
void TextStore_Destroy(TextStore *this);

/** TextStore_Alloc() - zeroed bytes, aligned for any type */
void *TextStore_Alloc(TextStore *this, size_t size);

/** TextStore_Copy() - copy of @text, followed by a zero byte */
Str TextStore_Copy(TextStore *this, Str text);

#endif
