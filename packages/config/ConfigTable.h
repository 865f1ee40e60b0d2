#ifndef AGATECRANK_CONFIG_CONFIGTABLE_H
#define AGATECRANK_CONFIG_CONFIGTABLE_H

#include "ConfigSource.h"

/**
 * struct ConfigEntry_ - one name of one kind, with its last change
 * @name: owned
 * @object: in the document of @source; NULL if deleted
 * @source: record of the last change; NULL if the name is only referred to
 * @owner: line of a deleted object, NULL otherwise
 * @references: objects that name this one
 */
typedef struct ConfigEntry_ {
    ConfigKind kind;
    Str name;
    const ConfigObject *object;
    ConfigSource *source;
    char *owner;
    size_t references;
} ConfigEntry;

/**
 * struct ConfigChange_ - new contents of an entry
 *
 * ConfigTable_Swap() exchanges them with the old ones, so that a second
 * call takes the change back.
 */
typedef struct ConfigChange_ {
    ConfigEntry *entry;
    const ConfigObject *object;
    ConfigSource *source;
    char *owner;
} ConfigChange;

/** typedef ConfigTable - all entries and the indexes over live objects */
typedef struct ConfigTable_ ConfigTable;

/** ConfigTable_Create() - empty */
ConfigTable *ConfigTable_Create(void);

/** ConfigTable_Destroy() - release all entries */
void ConfigTable_Destroy(ConfigTable *this);

/** ConfigTable_Find() - entry of a live or deleted object, or NULL */
ConfigEntry *ConfigTable_Find(const ConfigTable *this, ConfigKind kind,
                              Str name);

/** ConfigTable_FindOrAdd() - as ConfigTable_Find(); adds an empty entry */
ConfigEntry *ConfigTable_FindOrAdd(ConfigTable *this, ConfigKind kind,
                                   Str name);

/**
 * ConfigTable_Swap() - exchange the contents of entries
 *
 * Return: NULL, or an entry whose token or certificate another caller has.
 */
const ConfigEntry *ConfigTable_Swap(ConfigTable *this, ConfigChange *changes,
                                    size_t count);

/** ConfigTable_Prune() - remove the entry if nothing is known of it */
void ConfigTable_Prune(ConfigTable *this, ConfigEntry *entry);

/** ConfigTable_LiveCount() - number of live objects of @kind */
size_t ConfigTable_LiveCount(const ConfigTable *this, ConfigKind kind);

/** ConfigTable_GlobalOperatorCount() - operators with lines = ["*"] */
size_t ConfigTable_GlobalOperatorCount(const ConfigTable *this);

/** ConfigTable_Tree() - entries of @kind by name, as Str to ConfigEntry */
GTree *ConfigTable_Tree(const ConfigTable *this, ConfigKind kind);

/** ConfigTable_FindCredential() - caller with this SHA-256, or NULL */
const ConfigEntry *ConfigTable_FindCredential(const ConfigTable *this,
                                              bool certificate, Str sha256);

/**
 * ConfigTable_Selectors() - selectors of a line for a service
 *
 * Return: ConfigObject pointers in order of precedence, or NULL.
 */
const GPtrArray *ConfigTable_Selectors(const ConfigTable *this, Str line,
                                       Str service);

#endif
