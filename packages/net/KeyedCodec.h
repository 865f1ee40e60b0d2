#ifndef AGATECRANK_NET_KEYEDCODEC_H
#define AGATECRANK_NET_KEYEDCODEC_H

#include <glib.h>

#include "KeyedLog.h"

/** Header field of a relay's responses: era of the topic, see KeyedPage */
#define KEYED_ERA_FIELD "log-era"
/** The same: age of the topic in milliseconds, see KeyedPage */
#define KEYED_AGE_FIELD "log-age-ms"
/** Largest age that is believed */
#define KEYED_AGE_MAX_MS 3600000U
/** The same: KEYED_DEFLATE if the body is compressed */
#define KEYED_ENCODING_FIELD "log-encoding"
/** Name of the compression (RFC 1950), and parameter of a request for it */
#define KEYED_DEFLATE "deflate"
/** The same: number of the read, as in the parameter "read" of the request */
#define KEYED_READ_FIELD "log-read"
/** The same: id of the relay */
#define KEYED_RELAY_FIELD "log-relay"
/** The same of a response with status 503: why it cannot serve the topic */
#define KEYED_STATE_FIELD "log-state"
/** It has started and not read the topic yet */
#define KEYED_STATE_STARTING "starting"
/** It cannot reach the log, nor anyone who can */
#define KEYED_STATE_LOST "lost"

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
 * KeyedCodec_Deflate() - compress a text
 *
 * Return: the compressed text, or NULL if it is not worth it.
 */
GString *KeyedCodec_Deflate(const GString *text);

/**
 * KeyedCodec_Inflate() - undo KeyedCodec_Deflate()
 * @bytes_max: limit on the size of the result
 *
 * Return: NULL if @text is damaged or too long.
 */
GString *KeyedCodec_Inflate(Str text, size_t bytes_max);

/**
 * KeyedCodec_Read() - decode the output of KeyedCodec_Write()
 * @records: array of KeyedRecord to append to; their strings point into @text
 *
 * Return: 0, or ERR_PARSE if @text ends within a record.
 */
int KeyedCodec_Read(Str text, uint64_t *end, GArray *records);

#endif
