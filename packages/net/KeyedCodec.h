#ifndef AGATECRANK_NET_KEYEDCODEC_H
#define AGATECRANK_NET_KEYEDCODEC_H

#include <glib.h>

#include "KeyedLog.h"

/** Header field of a relay's responses: era of the topic, see KeyedPage */
#define KEYED_ERA_FIELD "log-era"

/**
 * KeyedCodec_Write() - encode records of a topic
 * @end: offset of the next record of the topic
 * @records: array of KeyedRecord
 * @out: string to append to
 *
 * The encoding is @end (8 bytes), then for each record its offset (8 bytes),
 * the length of its key (4), the length of its value (4), the key and the
 * value. Integers are big-endian. The value length of a removed key is
 * UINT32_MAX and no value follows.
 */
void KeyedCodec_Write(uint64_t end, const GArray *records, GString *out);

/**
 * KeyedCodec_Read() - decode the output of KeyedCodec_Write()
 * @records: array of KeyedRecord to append to; their strings point into @text
 *
 * Return: 0, or ERR_PARSE if @text ends within a record.
 */
int KeyedCodec_Read(Str text, uint64_t *end, GArray *records);

#endif
