#ifndef AGATECRANK_CONFIG_CONFIGSOURCE_H
#define AGATECRANK_CONFIG_CONFIGSOURCE_H

#include "ConfigDocument.h"

/**
 * struct ConfigSource_ - an accepted record, immutable and shared
 * @references: objects, tombstones and records that need this one
 * @offset: offset in the config stream
 * @author: operator that published it
 * @record: the signed envelope as it stands in the log
 * @document: parsed; objects of the state point into it
 * @authority: record that defined the author's key at that time; NULL for
 *             the first publication, which a bootstrap key signed
 *
 * The chain of authorities lets a host that starts from a snapshot check
 * each object back to a bootstrap key.
 */
typedef struct ConfigSource_ {
    size_t references;
    uint64_t offset;
    char author[CONFIG_NAME_MAX + 1];
    GString *record;
    ConfigDocument *document;
    struct ConfigSource_ *authority;
} ConfigSource;

/** ConfigSource_Create() - takes over @document; one reference */
ConfigSource *ConfigSource_Create(uint64_t offset, const char *author,
                                  Str record, ConfigDocument *document,
                                  ConfigSource *authority);

/** ConfigSource_Ref() - add a reference; NULL is accepted */
ConfigSource *ConfigSource_Ref(ConfigSource *this);

/** ConfigSource_Unref() - drop a reference; NULL is accepted */
void ConfigSource_Unref(ConfigSource *this);

#endif
