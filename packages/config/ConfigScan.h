#ifndef AGATECRANK_CONFIG_CONFIGSCAN_H
#define AGATECRANK_CONFIG_CONFIGSCAN_H

#include "ConfigSync.h"

/**
 * typedef ConfigScan - finds the newest snapshot in the snapshots stream
 *
 * Reads the end of the stream first, in windows that double in size, as
 * the stream holds many snapshots and only the last one is wanted.
 */
typedef struct ConfigScan_ ConfigScan;

/** ConfigScan_Create() - idle */
ConfigScan *ConfigScan_Create(void);

/** ConfigScan_Destroy() - release the scan */
void ConfigScan_Destroy(ConfigScan *this);

/** ConfigScan_Start() - begin anew */
void ConfigScan_Start(ConfigScan *this);

/** ConfigScan_IsActive() - true until the stream was searched */
bool ConfigScan_IsActive(const ConfigScan *this);

/** ConfigScan_Next() - offset and number of records to read next */
void ConfigScan_Next(const ConfigScan *this, uint64_t *from, uint32_t *max);

/** ConfigScan_OnRecords() - the READ was answered */
void ConfigScan_OnRecords(ConfigScan *this, uint64_t first, uint64_t next,
                          const ConfigRecord *records, size_t count);

/**
 * ConfigScan_Take() - newest complete snapshot found so far
 *
 * To be asked again after a snapshot was refused. Returns NULL while a
 * window is being read and when none is left.
 *
 * Return: bytes that the caller frees, or NULL.
 */
GString *ConfigScan_Take(ConfigScan *this, uint64_t *offset,
                         uint64_t *time_ms);

/** ConfigScan_Finish() - a snapshot was good: read no more windows */
void ConfigScan_Finish(ConfigScan *this);

#endif
