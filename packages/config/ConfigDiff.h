#ifndef AGATECRANK_CONFIG_CONFIGDIFF_H
#define AGATECRANK_CONFIG_CONFIGDIFF_H

#include "ConfigState.h"

/** struct DiffUpstream_ - an upstream as the host list gives it */
typedef struct DiffUpstream_ {
    Str id;
    Str service;
    Labels labels;
} DiffUpstream;

/**
 * ConfigDiff_Objects() - append the fields that differ
 * @from: NULL if the object is new
 * @to: NULL if the object is deleted
 *
 * Lines "~ KIND.NAME", "+ KIND.NAME" or "- KIND.NAME", followed by
 * "  - KEY = VALUE" and "  + KEY = VALUE".
 *
 * Return: true if anything differs.
 */
bool ConfigDiff_Objects(const ConfigObject *from, const ConfigObject *to,
                        GString *out);

/** ConfigDiff_Document() - what @document would change in @state */
size_t ConfigDiff_Document(const ConfigState *state,
                           const ConfigDocument *document, GString *out);

/** ConfigDiff_States() - all objects that differ; returns their number */
size_t ConfigDiff_States(const ConfigState *from, const ConfigState *to,
                         GString *out);

/**
 * ConfigDiff_Access() - which callers gain or lose which upstreams
 * @upstreams: of all services, in any order
 *
 * Appends "CALLER SERVICE gains N: ID ..." and "... loses N: ID ..." lines,
 * with at most DIFF_IDS_MAX ids in a line.
 *
 * Return: number of lines.
 */
size_t ConfigDiff_Access(const ConfigState *from, const ConfigState *to,
                         const DiffUpstream *upstreams, size_t count,
                         GString *out);

/** DIFF_IDS_MAX - upstream ids printed in one line; the rest is counted */
#define DIFF_IDS_MAX 32

#endif
