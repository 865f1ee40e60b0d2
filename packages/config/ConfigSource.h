#ifndef AGATECRANK_CONFIG_CONFIGSOURCE_H
#define AGATECRANK_CONFIG_CONFIGSOURCE_H

#include "ConfigDocument.h"

/**
 * struct ConfigSource_ - an accepted record, immutable and reference counted
 * @reference_count: references from objects, tombstones and other records
 * @offset: offset in the config stream
 * @author: name of the operator that published it
 * @record: the signed envelope, byte for byte as in the log
 * @document: parsed document; objects of the state point into it
 * @authority: record that defined the author's key when this one was
 *             published; NULL for the first publication, which is signed with
 *             a bootstrap key
 *
 * The authorities form a chain of trust: a host that starts from a snapshot
 * verifies each object along it, back to a bootstrap key.
 */
typedef struct ConfigSource_ {
    size_t reference_count;
    uint64_t offset;
    char author[CONFIG_NAME_MAX + 1];
    GString *record;
    ConfigDocument *document;
    struct ConfigSource_ *authority;
} ConfigSource;

/** ConfigSource_Create() - one reference; takes ownership of @document */
ConfigSource *ConfigSource_Create(uint64_t offset, const char *author,
                                  Str record, ConfigDocument *document,
                                  ConfigSource *authority);

/** ConfigSource_Ref() - add a reference and return @this; may be NULL */
ConfigSource *ConfigSource_Ref(ConfigSource *this);

/** ConfigSource_Unref() - drop a reference; @this may be NULL */
void ConfigSource_Unref(ConfigSource *this);

#endif
