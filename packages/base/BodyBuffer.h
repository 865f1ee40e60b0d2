#ifndef AGATECRANK_BASE_BODYBUFFER_H
#define AGATECRANK_BASE_BODYBUFFER_H

#include "Str.h"

/**
 * typedef BodyBuffer - body of a message, in blocks
 *
 * Bytes are copied once and not moved. What is allocated exceeds the bytes by no
 * more than the bytes, nor by more than a block of 64 KiB.
 */
typedef struct BodyBuffer_ BodyBuffer;

/** BodyBuffer_Create() - create an empty body */
BodyBuffer *BodyBuffer_Create(void);

/** BodyBuffer_Destroy() - release; NULL is allowed */
void BodyBuffer_Destroy(BodyBuffer *this);

/** BodyBuffer_Append() - copy @data to the end */
void BodyBuffer_Append(BodyBuffer *this, Str data);

/** BodyBuffer_Length() - number of bytes; 0 for NULL */
size_t BodyBuffer_Length(const BodyBuffer *this);

/**
 * BodyBuffer_From() - bytes from index @offset to the end of their block
 *
 * Return: borrowed bytes, empty only at the end of the body.
 */
Str BodyBuffer_From(const BodyBuffer *this, size_t offset);

/** BodyBuffer_Hash() - Str_Hash() of all bytes; NULL is an empty body */
uint64_t BodyBuffer_Hash(const BodyBuffer *this);

/** BodyBuffer_ToString() - a copy, which the calling function frees */
GString *BodyBuffer_ToString(const BodyBuffer *this);

#endif
