#ifndef AGATECRANK_CONFIG_CONFIGSTATEPRIVATE_H
#define AGATECRANK_CONFIG_CONFIGSTATEPRIVATE_H

#include "ConfigHistory.h"
#include "ConfigState.h"
#include "ConfigTable.h"

#define CONFIG_DIGEST_BYTES 32

/* Shared by ConfigState.c, ConfigRule.c and ConfigStore.c only. */
struct ConfigState_ {
    ConfigOptions options;
    uint64_t offset;   /* next record to apply */
    uint64_t accepted; /* offset after the last accepted one */
    uint8_t digest[CONFIG_DIGEST_BYTES]; /* chain over all records */
    ConfigTable *table;
    GQueue *tombstones;       /* ConfigEntry, oldest deletion first */
    uint64_t tombstone_floor; /* offset after the newest one forgotten */
    GHashTable *histories;    /* operator name to ConfigHistory */
};

/** ConfigRule_MayChange() - true if operator @author may change @owner */
bool ConfigRule_MayChange(const ConfigState *state, const ConfigObject *author,
                          Str owner);

/** ConfigRule_FindBootstrap() - operator that the first record names */
const ConfigObject *ConfigRule_FindBootstrap(const ConfigState *state,
                                             const Publication *publication,
                                             const ConfigDocument *document);

/** ConfigRule_FirstMissing() - name of a missing object @object refers to */
bool ConfigRule_FirstMissing(const ConfigState *state,
                             const ConfigObject *object, ConfigKind *kind,
                             Str *name);

/** ConfigState_Replace() - move the contents of @other into @this */
void ConfigState_Replace(ConfigState *this, ConfigState *other);

#endif
