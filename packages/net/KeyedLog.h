#ifndef AGATECRANK_NET_KEYEDLOG_H
#define AGATECRANK_NET_KEYEDLOG_H

#include "Clock.h"
#include "Error.h"
#include "Str.h"

/**
 * struct KeyedRecord_ - one record of a topic
 * @value: empty if @removed
 * @removed: the record deletes its key (a tombstone)
 * @offset: position in the topic
 */
typedef struct KeyedRecord_ {
    Str key;
    Str value;
    bool removed;
    uint64_t offset;
} KeyedRecord;

/** Era of a page whose source does not tell it */
#define KEYED_ERA_UNKNOWN UINT64_MAX

/**
 * struct KeyedPage_ - result of one read, valid during the handler
 * @code: 0; ERR_EXPIRED if the log no longer has the records from the offset
 *        on; ERR_LIMIT or ERR_UNAVAILABLE if the read was rejected;
 *        ERR_TIMEOUT or ERR_IO if there was no response; ERR_PROTOCOL if the
 *        response is malformed
 * @records: @count records, by offset, or by key in a snapshot
 * @more: the snapshot continues after the last key of this page
 * @end: offset of the next record to be written
 * @era: number of times that the log has come back from an older copy of itself,
 *       if @code is 0 or ERR_EXPIRED. Records that the copy lacks are lost, and
 *       their offsets are given out again: offsets of different eras are
 *       unrelated
 * @age: time for which the page may have been out of date when it was received,
 *       because another host has read it
 */
typedef struct KeyedPage_ {
    int code;
    const KeyedRecord *records;
    size_t count;
    bool more;
    uint64_t end;
    uint64_t era;
    Micros age;
} KeyedPage;

/** typedef KeyedPageHandler - result of a read */
typedef void KeyedPageHandler(void *user, const KeyedPage *page);

/** typedef KeyedAppendHandler - result of an append, @code of KeyedPage */
typedef void KeyedAppendHandler(void *user, int code);

/**
 * struct KeyedLog_ - interface of a log with compacted topics
 * @self: first argument of the functions
 * @read_newest: read a snapshot, which is the newest record of each key; a
 *               page begins after the key @after
 * @read_tail: read the records from offset @from on; if there is none, wait
 *             up to @wait for one (long poll)
 * @append: append records, all or none; after an error they may still have
 *          been written. A record with an empty value removes its key
 *
 * A compacted topic keeps at least the newest record of each key. A handler
 * is called exactly once, and not before the function has returned. @timeout
 * is the time allowed for the response, including @wait.
 */
typedef struct KeyedLog_ {
    void *self;
    void (*read_newest)(void *self, Str topic, Str after, Micros timeout,
                        KeyedPageHandler *handler, void *user);
    void (*read_tail)(void *self, Str topic, uint64_t from, Micros wait,
                      Micros timeout, KeyedPageHandler *handler, void *user);
    void (*append)(void *self, Str topic, const KeyedRecord *records,
                   size_t count, Micros timeout, KeyedAppendHandler *handler,
                   void *user);
} KeyedLog;

#endif
