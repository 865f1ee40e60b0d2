#ifndef AGATECRANK_NET_ADMINREADS_H
#define AGATECRANK_NET_ADMINREADS_H

#include <jansson.h>

#include "Admin.h"
#include "OperatorAuth.h"

/**
 * struct AdminQuery_ - query parameters of a read
 * @service: only entries of this service; empty for all
 * @caller: caller to explain
 * @name: only the upstream of this name; empty for all
 * @after: value of "next" of the previous page, empty for the first page
 * @limit: entries to return, 1 to ADMIN_LIMIT_MAX
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

/**
 * AdminQuery_Parse() - parse the part of a target after the question mark
 *
 * Return: 0, or ERR_INVALID with @error filled if a parameter is unknown or
 * the limit is out of range.
 */
int AdminQuery_Parse(AdminQuery *this, Str text, Error *error);

/** AdminReads_Status() - identity, readiness and totals of this host */
json_t *AdminReads_Status(const AdminOptions *options);

/**
 * AdminReads_Objects() - configuration objects of a kind, by name
 *
 * Objects that @operator_ may not see are left out.
 */
json_t *AdminReads_Objects(const AdminOptions *options, ConfigKind kind,
                           const AdminQuery *query,
                           const ConfigObject *operator_);

/**
 * AdminReads_Upstreams() - upstreams with their state and requests in flight
 *
 * Return: NULL with @error filled if @query has an invalid "after".
 */
json_t *AdminReads_Upstreams(const AdminOptions *options,
                             const AdminQuery *query, Error *error);

/** AdminReads_Hosts() - members of the deployment in the view of this host */
json_t *AdminReads_Hosts(const AdminOptions *options, const AdminQuery *query);

/**
 * AdminReads_Shares() - demand and allowance of the operator's lines
 *
 * Return: NULL with @error filled if @query has an invalid "after".
 */
json_t *AdminReads_Shares(const AdminOptions *options, const AdminQuery *query,
                          const ConfigObject *operator_, Error *error);

/**
 * AdminReads_Quarantine() - quarantine entries of the operator's lines
 *
 * Return: NULL with @error filled if @query has an invalid "after".
 */
json_t *AdminReads_Quarantine(const AdminOptions *options,
                              const AdminQuery *query,
                              const ConfigObject *operator_, Error *error);

/**
 * AdminReads_Explain() - selector and upstreams for requests of a caller
 *
 * Return: NULL with @error filled if the caller is unknown or belongs to a
 * line that @operator_ may not use.
 */
json_t *AdminReads_Explain(const AdminOptions *options,
                           const AdminQuery *query,
                           const ConfigObject *operator_, Error *error);

/**
 * AdminReads_Publication() - verdict on the publication "AUTHOR/ID"
 *
 * The text of a rejection may name objects of any line. Therefore an operator
 * sees only its own publications, a global operator all of them.
 *
 * Return: NULL if it is unknown or @operator_ may not see it.
 */
json_t *AdminReads_Publication(const AdminOptions *options, Str path,
                               const ConfigObject *operator_);

#endif
