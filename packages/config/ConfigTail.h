#ifndef AGATECRANK_CONFIG_CONFIGTAIL_H
#define AGATECRANK_CONFIG_CONFIGTAIL_H

#include "ConfigSync.h"

/**
 * typedef ConfigTail - what a host holds ready for its peers
 *
 * Keeps the newest records with the digest before each, and one snapshot
 * while a peer is fetching its pieces.
 */
typedef struct ConfigTail_ ConfigTail;

/** ConfigTail_Create() - keeps at most @bytes of records */
ConfigTail *ConfigTail_Create(size_t bytes, const Clock *clock);

/** ConfigTail_Destroy() - release the tail */
void ConfigTail_Destroy(ConfigTail *this);

/** ConfigTail_Add() - keep a record that was applied */
void ConfigTail_Add(ConfigTail *this, const ConfigRecord *record,
                    const uint8_t *before);

/** ConfigTail_Clear() - after a snapshot was loaded */
void ConfigTail_Clear(ConfigTail *this);

/** ConfigTail_Serve() - as ConfigSync_Serve() */
int ConfigTail_Serve(ConfigTail *this, const ConfigState *state,
                     const ConfigFetch *request, ConfigChunk *chunk);

#endif
