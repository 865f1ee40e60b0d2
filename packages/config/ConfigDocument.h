#ifndef AGATECRANK_CONFIG_CONFIGDOCUMENT_H
#define AGATECRANK_CONFIG_CONFIGDOCUMENT_H

#include "ConfigObject.h"

/** CONFIG_DOCUMENT_MAX_BYTES - maximum length of a document, in bytes */
#define CONFIG_DOCUMENT_MAX_BYTES (64 * 1024)
/** CONFIG_DOCUMENT_OBJECTS_MAX - maximum objects and deletions per document */
#define CONFIG_DOCUMENT_OBJECTS_MAX 1024

/**
 * struct ConfigDeletion_ - one item of delete = ["KIND.NAME"]
 * @document_line: line in the document, from 1
 */
typedef struct ConfigDeletion_ {
    ConfigKind kind;
    Str name;
    uint32_t document_line;
} ConfigDeletion;

/** typedef ConfigDocument - the TOML document of a publication, immutable */
typedef struct ConfigDocument_ ConfigDocument;

/**
 * ConfigDocument_Parse() - parse a document and check its fields
 * @text: TOML text, at most CONFIG_DOCUMENT_MAX_BYTES
 * @diagnostics: receives all errors of the document
 *
 * References to objects outside of the document are not checked.
 *
 * Return: the document, or NULL if it has any error.
 */
ConfigDocument *ConfigDocument_Parse(Str text, Diagnostics *diagnostics);

/** ConfigDocument_Destroy() - release the document and its objects */
void ConfigDocument_Destroy(ConfigDocument *this);

/** ConfigDocument_Objects() - objects ordered by kind, then by name */
const ConfigObject *ConfigDocument_Objects(const ConfigDocument *this,
                                           size_t *count);

/** ConfigDocument_Deletions() - deletions in document order */
const ConfigDeletion *ConfigDocument_Deletions(const ConfigDocument *this,
                                               size_t *count);

#endif
