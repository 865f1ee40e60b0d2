#ifndef AGATECRANK_CONFIG_CONFIGSTATEPRIVATE_H
#define AGATECRANK_CONFIG_CONFIGSTATEPRIVATE_H

#include "ConfigHistory.h"
#include "ConfigState.h"
#include "ConfigTable.h"

#define CONFIG_DIGEST_BYTES 32

/* For the sources of ConfigState only: ConfigState.c, ConfigRule.c,
 * ConfigValidation.c, ConfigLoad.c, ConfigStore.c and SnapshotCheck.c. */
struct ConfigState_ {
    ConfigOptions options;
    uint64_t offset;   /* next record to apply */
    uint64_t accepted; /* offset after the last accepted record */
    uint8_t digest[CONFIG_DIGEST_BYTES]; /* hash chain over all records */
    ConfigTable *table;
    GQueue *tombstones;       /* deleted ConfigEntry, oldest first */
    uint64_t tombstone_floor; /* offset after the newest one dropped */
    GHashTable *histories;    /* ConfigHistory by operator name */
};

/** ConfigRule_MayChange() - true if @author may change objects of @owner */
bool ConfigRule_MayChange(const ConfigState *state, const ConfigObject *author,
                          Str owner);

/**
 * ConfigRule_FindBootstrap() - author that the first publication defines
 *
 * Return: the global operator in @document that has the name of the author
 * and one of the bootstrap keys, or NULL.
 */
const ConfigObject *ConfigRule_FindBootstrap(const ConfigState *state,
                                             const Publication *publication,
                                             const ConfigDocument *document);

/**
 * ConfigRule_FirstMissing() - find a missing object that @object refers to
 *
 * Return: true with @kind and @name of the first one, false if all exist.
 */
bool ConfigRule_FirstMissing(const ConfigState *state,
                             const ConfigObject *object, ConfigKind *kind,
                             Str *name);

/** ConfigState_Replace() - move the contents of @other to @this and free it */
void ConfigState_Replace(ConfigState *this, ConfigState *other);

#endif
