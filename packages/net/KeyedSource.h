#ifndef AGATECRANK_NET_KEYEDSOURCE_H
#define AGATECRANK_NET_KEYEDSOURCE_H

#include "Endpoint.h"
#include "KeyedLog.h"
#include "Loop.h"

/**
 * typedef KeyedSource - reads a log itself or through another host
 *
 * Each call to the log is paid for, so one host of each failure domain reads
 * it and hands it on (KeyedRelay): the first by id that answers. A host that
 * gets no answer from another reads the log at once, so that no host is ever
 * behind because of another. Hosts list themselves in a topic of the log.
 */
typedef struct KeyedSource_ KeyedSource;

/**
 * struct KeyedSourceOptions_ - settings
 * @host, @domain: id and failure domain of this host
 * @relay: where this host's KeyedRelay listens
 * @on_direct: whether this host reads the log itself
 */
typedef struct KeyedSourceOptions_ {
    Str host;
    Str domain;
    Endpoint relay;
    void (*on_direct)(void *user, bool direct);
    void *user;
} KeyedSourceOptions;

/** KeyedSource_Create() - everything passed in is borrowed */
KeyedSource *KeyedSource_Create(Loop *loop, const KeyedLog *store,
                                const KeyedSourceOptions *options,
                                EventLog *log);

/** KeyedSource_Destroy() - after Loop_Close(); NULL is allowed */
void KeyedSource_Destroy(KeyedSource *this);

/** KeyedSource_Log() - for the followers of topics; lives as long as @this */
const KeyedLog *KeyedSource_Log(KeyedSource *this);

/** KeyedSource_OnRelayRequest() - another host reads through this one */
void KeyedSource_OnRelayRequest(KeyedSource *this);

/** KeyedSource_StoreCalls() - calls to the log so far */
uint64_t KeyedSource_StoreCalls(const KeyedSource *this);

#endif
