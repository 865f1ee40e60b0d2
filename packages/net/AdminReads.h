#ifndef AGATECRANK_NET_ADMINREADS_H
#define AGATECRANK_NET_ADMINREADS_H

#include <jansson.h>

#include "Admin.h"
#include "OperatorAuth.h"

/**
 * struct AdminQuery_ - query part of a read
 * @limit: entries to return, at most ADMIN_LIMIT_MAX
 * @after: value of "next" of the page before, empty for the first page
 */
typedef struct AdminQuery_ {
    Str service;
    Str caller;
    Str name;
    Str after;
    uint64_t limit;
} AdminQuery;

#define ADMIN_LIMIT_DEFAULT 100
#define ADMIN_LIMIT_MAX 500

/** AdminQuery_Parse() - 0, or ERR_INVALID for an unknown or wrong field */
int AdminQuery_Parse(AdminQuery *this, Str text, Error *error);

/** AdminReads_Status() - this host as a whole */
json_t *AdminReads_Status(const AdminOptions *options);

/** AdminReads_Objects() - objects of a kind that @operator_ may see */
json_t *AdminReads_Objects(const AdminOptions *options, ConfigKind kind,
                           const AdminQuery *query,
                           const ConfigObject *operator_);

/** AdminReads_Upstreams() - upstreams with what the router knows */
json_t *AdminReads_Upstreams(const AdminOptions *options,
                             const AdminQuery *query, Error *error);

/** AdminReads_Hosts() - members of the deployment as this host sees them */
json_t *AdminReads_Hosts(const AdminOptions *options, const AdminQuery *query);

/** AdminReads_Shares() - share and demand of the operator's lines */
json_t *AdminReads_Shares(const AdminOptions *options, const AdminQuery *query,
                          const ConfigObject *operator_, Error *error);

/** AdminReads_Quarantine() - fingerprints of the operator's lines */
json_t *AdminReads_Quarantine(const AdminOptions *options,
                              const AdminQuery *query,
                              const ConfigObject *operator_, Error *error);

/**
 * AdminReads_Explain() - why a caller's request would go where
 *
 * Return: NULL with @error filled if the caller may not be seen or is not
 * known.
 */
json_t *AdminReads_Explain(const AdminOptions *options,
                           const AdminQuery *query,
                           const ConfigObject *operator_, Error *error);

/**
 * AdminReads_Publication() - verdict of "AUTHOR/ID"
 *
 * A refusal's text may show objects of any line, so an operator sees only its
 * own publications, a global one all.
 *
 * Return: NULL if it is unknown or not to be seen.
 */
json_t *AdminReads_Publication(const AdminOptions *options, Str path,
                               const ConfigObject *operator_);

#endif
