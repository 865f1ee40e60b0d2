#ifndef AGATECRANK_CONFIG_CONFIGDOCUMENT_H
#define AGATECRANK_CONFIG_CONFIGDOCUMENT_H

#include "ConfigObject.h"

/** CONFIG_DOCUMENT_MAX_BYTES - longest document accepted, in bytes */
#define CONFIG_DOCUMENT_MAX_BYTES (64 * 1024)
/** CONFIG_DOCUMENT_OBJECTS_MAX - most objects and deletions of a document */
#define CONFIG_DOCUMENT_OBJECTS_MAX 1024

/** struct ConfigDeletion_ - one item of delete = ["KIND.NAME"] */
typedef struct ConfigDeletion_ {
    ConfigKind kind;
    Str name;
    uint32_t line;
} ConfigDeletion;

/** typedef ConfigDocument - the TOML document of a publication, immutable */
typedef struct ConfigDocument_ ConfigDocument;

/**
 * ConfigDocument_Parse() - read and check a document by itself
 * @diagnostics: receives every fault at once
 *
 * Return: the document, or NULL if there is any fault.
 */
ConfigDocument *ConfigDocument_Parse(Str text, Diagnostics *diagnostics);

/** ConfigDocument_Destroy() - release the document and its objects */
void ConfigDocument_Destroy(ConfigDocument *this);

/** ConfigDocument_Objects() - objects by kind, then by name */
const ConfigObject *ConfigDocument_Objects(const ConfigDocument *this,
                                           size_t *count);

/** ConfigDocument_Deletions() - deletions in their order */
const ConfigDeletion *ConfigDocument_Deletions(const ConfigDocument *this,
                                               size_t *count);

#endif
