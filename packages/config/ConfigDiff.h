#ifndef AGATECRANK_CONFIG_CONFIGDIFF_H
#define AGATECRANK_CONFIG_CONFIGDIFF_H

#include "ConfigState.h"

/** struct DiffUpstream_ - an upstream as given by the host list */
typedef struct DiffUpstream_ {
    Str id;
    Str service;
    Labels labels;
} DiffUpstream;

/**
 * ConfigDiff_Objects() - append the difference of two versions of an object
 * @from: old version, NULL if the object is new
 * @to: new version, NULL if the object is deleted
 *
 * Appends one line "~ KIND.NAME" (changed), "+ KIND.NAME" (new) or
 * "- KIND.NAME" (deleted), followed by "  - KEY = VALUE" and
 * "  + KEY = VALUE" for each field that differs.
 *
 * Return: true if anything differs.
 */
bool ConfigDiff_Objects(const ConfigObject *from, const ConfigObject *to,
                        GString *out);

/**
 * ConfigDiff_Document() - append the changes that @document makes to @state
 *
 * Return: number of objects that differ.
 */
size_t ConfigDiff_Document(const ConfigState *state,
                           const ConfigDocument *document, GString *out);

/**
 * ConfigDiff_States() - append the difference of two states
 *
 * Return: number of objects that differ.
 */
size_t ConfigDiff_States(const ConfigState *from, const ConfigState *to,
                         GString *out);

/**
 * ConfigDiff_Access() - append the changes in which upstreams callers may use
 * @upstreams: upstreams of all services, in any order
 * @count: number of upstreams
 *
 * Appends lines "CALLER SERVICE gains N: ID ..." and
 * "CALLER SERVICE loses N: ID ...", with at most DIFF_IDS_MAX ids each.
 *
 * Return: number of lines.
 */
size_t ConfigDiff_Access(const ConfigState *from, const ConfigState *to,
                         const DiffUpstream *upstreams, size_t count,
                         GString *out);

/** DIFF_IDS_MAX - upstream ids listed in one line; N counts all of them */
#define DIFF_IDS_MAX 32

#endif
