#ifndef AGATECRANK_STANDINS_PLATFORMSTORE_H
#define AGATECRANK_STANDINS_PLATFORMSTORE_H

#include "Clock.h"
#include "HttpServer.h"

/** typedef PlatformStore - the users' store: keyed topics over HTTP */
typedef struct PlatformStore_ PlatformStore;

/** enum StoreMode - how it treats calls */
typedef enum StoreMode_ {
    STORE_UP,
    STORE_BUSY,    /* 503 */
    STORE_MANY,    /* 429 */
    STORE_SILENT,  /* no answer, also to reads that wait */
    STORE_CLOSED,  /* connections are closed */
    STORE_SLOW,    /* answers come late */
    STORE_GARBLED, /* 200 with bytes that are no records */
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

/** PlatformStore_Forget() - drop the history, but the newest of each key */
void PlatformStore_Forget(PlatformStore *this);

/** PlatformStore_Calls() - calls so far, refused ones too */
unsigned PlatformStore_Calls(const PlatformStore *this);

#endif
