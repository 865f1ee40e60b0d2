#ifndef AGATECRANK_STANDINS_PLATFORMSTORE_H
#define AGATECRANK_STANDINS_PLATFORMSTORE_H

#include "Clock.h"
#include "HttpServer.h"

/**
 * typedef PlatformStore - stand-in for the store of a user's platform
 *
 * Serves topics of keyed records over HTTP: log-read, log-newest and
 * log-append.
 */
typedef struct PlatformStore_ PlatformStore;

/** enum StoreMode - reaction to requests */
typedef enum StoreMode_ {
    STORE_UP,
    STORE_UNAVAILABLE,   /* responds with 503 */
    STORE_RATE_LIMITED,  /* responds with 429 */
    STORE_UNRESPONSIVE,  /* never responds, not even to waiting reads */
    STORE_DISCONNECTING, /* closes connections */
    STORE_SLOW,          /* responds after a delay */
    STORE_GARBLED,       /* responds with 200 and a malformed body */
} StoreMode;

/** PlatformStore_Create() - listen on a free port of 127.0.0.1; NULL if none is
 *                           available */
PlatformStore *PlatformStore_Create(HttpLoop *loop);

/** PlatformStore_Destroy() - release; only after HttpLoop_Close() */
void PlatformStore_Destroy(PlatformStore *this);

/** PlatformStore_Port() - port that the store listens on */
int PlatformStore_Port(const PlatformStore *this);

/** PlatformStore_SetMode() - set the reaction to future requests */
void PlatformStore_SetMode(PlatformStore *this, StoreMode mode);

/** PlatformStore_IsUp() - true in mode STORE_UP */
bool PlatformStore_IsUp(const PlatformStore *this);

/** PlatformStore_Put() - append a record; an empty value deletes the key */
void PlatformStore_Put(PlatformStore *this, const char *topic, const char *key,
                       const char *value);

/**
 * PlatformStore_Compact() - drop all past records but the newest of each key
 *
 * Reads from an earlier offset then get status 410.
 */
void PlatformStore_Compact(PlatformStore *this);

/** PlatformStore_Copy() - keep a copy of the current records */
void PlatformStore_Copy(PlatformStore *this);

/**
 * PlatformStore_Restore() - come back from the copy
 *
 * Records written since are lost and their offsets are given out again. All
 * responses name a new era.
 */
void PlatformStore_Restore(PlatformStore *this);

/** PlatformStore_RequestCount() - requests so far, rejected ones included */
unsigned PlatformStore_RequestCount(const PlatformStore *this);

#endif
