#ifndef AGATECRANK_STANDINS_PLATFORMSTORE_H
#define AGATECRANK_STANDINS_PLATFORMSTORE_H

#include "Clock.h"
#include "HttpServer.h"

/** typedef PlatformStore - the users' store: keyed topics over HTTP */
typedef struct PlatformStore_ PlatformStore;

/** enum StoreMode - how it treats calls */
typedef enum StoreMode_ {
    STORE_UP,
    STORE_UNAVAILABLE,   /* 503 */
    STORE_RATE_LIMITED,  /* 429 */
    STORE_UNRESPONSIVE,  /* no answer, also to reads that wait */
    STORE_DISCONNECTING, /* connections are closed */
    STORE_SLOW,          /* answers come late */
    STORE_GARBLED,       /* 200 with bytes that are no records */
} StoreMode;

/** PlatformStore_Create() - listen on 127.0.0.1; NULL if that fails */
PlatformStore *PlatformStore_Create(HttpLoop *loop);

/** PlatformStore_Destroy() - only after HttpLoop_Close() */
void PlatformStore_Destroy(PlatformStore *this);

/** PlatformStore_Port() - port in use */
int PlatformStore_Port(const PlatformStore *this);

/** PlatformStore_SetMode() - from now on */
void PlatformStore_SetMode(PlatformStore *this, StoreMode mode);

/** PlatformStore_IsUp() - calls are served */
bool PlatformStore_IsUp(const PlatformStore *this);

/** PlatformStore_Put() - write a record; an empty value drops the key */
void PlatformStore_Put(PlatformStore *this, const char *topic, const char *key,
                       const char *value);

/** PlatformStore_Compact() - drop the history, but the newest of each key */
void PlatformStore_Compact(PlatformStore *this);

/** PlatformStore_RequestCount() - calls so far, refused ones too */
unsigned PlatformStore_RequestCount(const PlatformStore *this);

#endif
