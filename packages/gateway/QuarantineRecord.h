#ifndef AGATECRANK_GATEWAY_QUARANTINERECORD_H
#define AGATECRANK_GATEWAY_QUARANTINERECORD_H

#include "KeyedLog.h"
#include "Quarantine.h"

/* Format of the records of a Quarantine in a compacted topic. The key is the
 * fingerprint in hexadecimal; the value has the time at which it was written,
 * the age of the last loss then, and the upstreams. */

/** Sizes in bytes, at most */
#define QUARANTINE_KEY_BYTES 33
#define QUARANTINE_VALUE_BYTES 128

/**
 * QuarantineRecord_Write() - encode an item
 * @wall: Unix time in microseconds
 * @key, @value: output; the value of a forgotten item is empty
 */
void QuarantineRecord_Write(const QuarantineItem *item, Micros wall,
                            char key[QUARANTINE_KEY_BYTES],
                            char value[QUARANTINE_VALUE_BYTES]);

/**
 * QuarantineRecord_Read() - decode a record
 * @wall: Unix time, to determine the age of a record of a snapshot, or -1 for
 *        a record that was just written
 *
 * The clocks of the writer and of this host may differ, so the age is at least
 * that at the time of writing.
 *
 * Return: 0, or ERR_PARSE. Of a removed record only the fingerprint is set.
 */
int QuarantineRecord_Read(const KeyedRecord *record, Micros wall,
                          QuarantineItem *item);

#endif
