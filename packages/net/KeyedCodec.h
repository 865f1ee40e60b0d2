#ifndef AGATECRANK_NET_KEYEDCODEC_H
#define AGATECRANK_NET_KEYEDCODEC_H

#include <glib.h>

#include "KeyedLog.h"

/**
 * KeyedCodec_Write() - append records and the end of their topic
 *
 * Whole numbers are big-endian: the end (8 bytes); then for each record its
 * offset (8), the lengths of key and value (4 each; the highest value for a
 * removed key), key and value.
 */
void KeyedCodec_Write(uint64_t end, const GArray *records, GString *out);

/**
 * KeyedCodec_Read() - the reverse; records borrow from @text
 *
 * Return: 0 or ERR_PARSE.
 */
int KeyedCodec_Read(Str text, uint64_t *end, GArray *records);

#endif
