#ifndef AGATECRANK_NET_KEYEDLOG_H
#define AGATECRANK_NET_KEYEDLOG_H

#include "Clock.h"
#include "Error.h"
#include "Str.h"

/**
 * struct KeyedRecord_ - one record of a topic
 * @value: empty and @removed set if the key was removed
 */
typedef struct KeyedRecord_ {
    Str key;
    Str value;
    bool removed;
    uint64_t offset;
} KeyedRecord;

/**
 * struct KeyedPage_ - result of one read, valid during the handler
 * @code: 0, ERR_EXPIRED if the offset's records are gone, ERR_LIMIT or
 *        ERR_UNAVAILABLE if the store refused, ERR_TIMEOUT or ERR_IO if it
 *        did not answer, ERR_PROTOCOL
 * @records: in order of their offsets, or of their keys in a snapshot
 * @more: a snapshot goes on after its last key
 * @end: offset of the next record to be written
 */
typedef struct KeyedPage_ {
    int code;
    const KeyedRecord *records;
    size_t count;
    bool more;
    uint64_t end;
} KeyedPage;

typedef void KeyedPageHandler(void *user, const KeyedPage *page);

/** typedef KeyedAppendHandler - 0 or an error as in struct KeyedPage_ */
typedef void KeyedAppendHandler(void *user, int code);

/**
 * struct KeyedLog_ - a log with topics whose newest record of each key is kept
 * @read_newest: the newest record of each key after @after, in pages
 * @read_tail: records from an offset on, waiting up to @wait for one
 * @append: write a record; it may have been written if the result is not 0
 *
 * Each handler runs once, never before the call returns.
 */
typedef struct KeyedLog_ {
    void *self;
    void (*read_newest)(void *self, Str topic, Str after, Micros timeout,
                        KeyedPageHandler *handler, void *user);
    void (*read_tail)(void *self, Str topic, uint64_t from, Micros wait,
                      Micros timeout, KeyedPageHandler *handler, void *user);
    void (*append)(void *self, Str topic, Str key, Str value, Micros timeout,
                   KeyedAppendHandler *handler, void *user);
} KeyedLog;

#endif
