#ifndef AGATECRANK_CORE_RELAYTREE_H
#define AGATECRANK_CORE_RELAYTREE_H

#include <stddef.h>
#include <stdint.h>

#include "Str.h"

/** RELAY_PARENTS_MAX - most hosts that a host reads the log through in turn */
#define RELAY_PARENTS_MAX 3

/** enum RelayLevel - place of a host in the tree */
typedef enum RelayLevel_ {
    RELAY_LEVEL_ROOT,   /* reads the log for a region */
    RELAY_LEVEL_DOMAIN, /* reads through a root for hosts of its domain */
    RELAY_LEVEL_LEAF,   /* reads through a relay of its domain */
} RelayLevel;

/**
 * struct RelayMember_ - a live host
 * @id, @domain, @region: borrowed; @region is empty if it is not known
 * @link_mbps: capacity of its network link, 0 if it is not known
 */
typedef struct RelayMember_ {
    Str id;
    Str domain;
    Str region;
    uint32_t link_mbps;
} RelayMember;

/**
 * struct RelayPlan_ - through whom a host reads the log
 * @parents: indices of the members to try, the preferred one first; none if the
 *           host reads the log itself
 */
typedef struct RelayPlan_ {
    RelayLevel level;
    size_t parents[RELAY_PARENTS_MAX];
    size_t parent_count;
} RelayPlan;

/**
 * RelayTree_Plan() - determine the parents of a host
 * @members: all live hosts; it doesn't matter whether @own is among them
 *
 * Calls to the log are charged, and a host can hand the log on to some dozens
 * of others. So few hosts of a region read it, relays of each domain read
 * through them, and the other hosts through the relays of their domain. Hosts
 * with more network capacity come first. Hosts with the same list agree; where
 * lists differ, the age of what is handed on tells whether it can be used.
 */
RelayPlan RelayTree_Plan(const RelayMember *members, size_t count,
                         const RelayMember *own);

#endif
