#ifndef AGATECRANK_CONFIG_CONFIGTABLE_H
#define AGATECRANK_CONFIG_CONFIGTABLE_H

#include "ConfigSource.h"

/**
 * struct ConfigEntry_ - current version of one object, or its tombstone
 * @name: owned by the entry
 * @object: stored in the document of @source; NULL if deleted
 * @source: record of the last change; NULL if other objects refer to the name
 *          but no record has defined it
 * @owner: line that a deleted object belonged to, NULL otherwise
 * @reference_count: number of objects that refer to this one
 */
typedef struct ConfigEntry_ {
    ConfigKind kind;
    Str name;
    const ConfigObject *object;
    ConfigSource *source;
    char *owner;
    size_t reference_count;
} ConfigEntry;

/**
 * struct ConfigChange_ - new content for an entry
 *
 * ConfigTable_Swap() exchanges it with the current content, so a second call
 * with the same changes rolls them back.
 */
typedef struct ConfigChange_ {
    ConfigEntry *entry;
    const ConfigObject *object;
    ConfigSource *source;
    char *owner;
} ConfigChange;

/** typedef ConfigTable - all entries, with indexes over objects in force */
typedef struct ConfigTable_ ConfigTable;

/** ConfigTable_Create() - an empty table */
ConfigTable *ConfigTable_Create(void);

/** ConfigTable_Destroy() - release the table and its entries */
void ConfigTable_Destroy(ConfigTable *this);

/** ConfigTable_Find() - entry of an existing or deleted object, or NULL */
ConfigEntry *ConfigTable_Find(const ConfigTable *this, ConfigKind kind,
                              Str name);

/** ConfigTable_FindOrAdd() - like Find(), but adds a missing entry, empty */
ConfigEntry *ConfigTable_FindOrAdd(ConfigTable *this, ConfigKind kind,
                                   Str name);

/**
 * ConfigTable_Swap() - exchange the content of entries with @changes
 * @changes: receive the previous content
 * @count: number of changes
 *
 * Return: NULL, or the first caller entry whose token or certificate another
 * caller already has. The change is made in both cases.
 */
const ConfigEntry *ConfigTable_Swap(ConfigTable *this, ConfigChange *changes,
                                    size_t count);

/** ConfigTable_Prune() - remove the entry if it is empty and unreferenced */
void ConfigTable_Prune(ConfigTable *this, ConfigEntry *entry);

/** ConfigTable_LiveCount() - number of existing objects of @kind */
size_t ConfigTable_LiveCount(const ConfigTable *this, ConfigKind kind);

/** ConfigTable_GlobalOperatorCount() - operators with lines = ["*"] */
size_t ConfigTable_GlobalOperatorCount(const ConfigTable *this);

/** ConfigTable_Tree() - entries of @kind, map from Str to ConfigEntry */
GTree *ConfigTable_Tree(const ConfigTable *this, ConfigKind kind);

/**
 * ConfigTable_FindCredential() - find a caller by token or certificate
 * @certificate: true to search certificates, false to search tokens
 * @sha256: the 32 bytes of the digest
 *
 * Return: the caller's entry, or NULL.
 */
const ConfigEntry *ConfigTable_FindCredential(const ConfigTable *this,
                                              bool certificate, Str sha256);

/**
 * ConfigTable_Selectors() - selectors of a line for a service
 *
 * Return: ConfigObject pointers, highest precedence first, or NULL if there
 * are none.
 */
const GPtrArray *ConfigTable_Selectors(const ConfigTable *this, Str line,
                                       Str service);

#endif
