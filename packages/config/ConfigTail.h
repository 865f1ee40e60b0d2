#ifndef AGATECRANK_CONFIG_CONFIGTAIL_H
#define AGATECRANK_CONFIG_CONFIGTAIL_H

#include "ConfigSync.h"

/**
 * typedef ConfigTail - recent records and a snapshot to serve to peers
 *
 * Keeps the newest records with the digest before each, and one snapshot
 * while a peer is fetching its chunks.
 */
typedef struct ConfigTail_ ConfigTail;

/** ConfigTail_Create() - keep at most @bytes of records; @clock is borrowed */
ConfigTail *ConfigTail_Create(size_t bytes, const Clock *clock);

/** ConfigTail_Destroy() - free the tail */
void ConfigTail_Destroy(ConfigTail *this);

/**
 * ConfigTail_Add() - add a copy of an applied record
 * @before: ConfigState_Digest() before the record, SNAPSHOT_DIGEST_BYTES long
 */
void ConfigTail_Add(ConfigTail *this, const ConfigRecord *record,
                    const uint8_t *before);

/** ConfigTail_Clear() - drop all records, after a snapshot was loaded */
void ConfigTail_Clear(ConfigTail *this);

/**
 * ConfigTail_Serve() - create the reply to a peer's FETCH
 *
 * Sends a chunk of a snapshot if one is requested or the requested records
 * are no longer kept.
 *
 * Return: 0 with @chunk filled, valid until the next call.
 */
int ConfigTail_Serve(ConfigTail *this, const ConfigState *state,
                     const ConfigFetch *request, ConfigChunk *chunk);

#endif
