#include "RelayTree.h"

#include <glib.h>
#include <string.h>

/* Hosts of a region that the relays of its domains read through in turn. */
#define ROOTS_MAX 3
/* Hosts that read through one relay of their domain. */
#define CLIENTS_PER_RELAY 32
#define RELAYS_MIN 2
/* In larger domains a root serves only relays. */
#define SMALL_DOMAIN_HOSTS 8

static bool
is_before(const RelayMember *a, const RelayMember *b)
{
    int order =
        memcmp(a->id.data, b->id.data, MIN(a->id.length, b->id.length));

    if (a->link_mbps != b->link_mbps) {
        return a->link_mbps > b->link_mbps;
    }
    return order != 0 ? order < 0 : a->id.length < b->id.length;
}

static gint
compare_members(gconstpointer a, gconstpointer b)
{
    const RelayMember *x = *(const RelayMember *const *)a;
    const RelayMember *y = *(const RelayMember *const *)b;

    return is_before(x, y) ? -1 : is_before(y, x);
}

static bool
is_own(const RelayMember *member, const RelayMember *own)
{
    return Str_Equal(member->id, own->id);
}

/* Returns the members of a region or a domain, the first ones first, with this
 * host among them. */
static GPtrArray *
sorted_members(const RelayMember *members, size_t count,
               const RelayMember *own, bool same_domain)
{
    GPtrArray *sorted = g_ptr_array_new();

    for (size_t i = 0; i < count; i++) {
        const RelayMember *member = &members[i];

        if (!is_own(member, own) && Str_Equal(member->region, own->region) &&
            (!same_domain || Str_Equal(member->domain, own->domain))) {
            g_ptr_array_add(sorted, (gpointer)member);
        }
    }
    g_ptr_array_add(sorted, (gpointer)own);
    g_ptr_array_sort(sorted, compare_members);
    return sorted;
}

static guint
position(const GPtrArray *sorted, const RelayMember *member)
{
    guint i;

    return g_ptr_array_find((GPtrArray *)sorted, member, &i) ? i : sorted->len;
}

static void
add_parent(RelayPlan *plan, const RelayMember *members,
           const RelayMember *parent)
{
    if (plan->parent_count < RELAY_PARENTS_MAX) {
        plan->parents[plan->parent_count++] = (size_t)(parent - members);
    }
}

/* Roots other than the first read through those before them. */
static RelayPlan
plan_root(const RelayMember *members, const GPtrArray *roots, guint own)
{
    RelayPlan plan = {.level = RELAY_LEVEL_ROOT};

    for (guint i = 0; i < own; i++) {
        add_parent(&plan, members, g_ptr_array_index(roots, i));
    }
    return plan;
}

/* Returns the relays of a domain, @domain without the roots if it is large. */
static GPtrArray *
choose_relays(const GPtrArray *domain, const GPtrArray *region)
{
    guint wanted = MAX(RELAYS_MIN, (domain->len + CLIENTS_PER_RELAY - 1) /
                                       CLIENTS_PER_RELAY);
    GPtrArray *relays = g_ptr_array_new();

    for (guint i = 0; i < domain->len && relays->len < wanted; i++) {
        gpointer member = g_ptr_array_index(domain, i);

        if (domain->len <= SMALL_DOMAIN_HOSTS ||
            position(region, member) >= ROOTS_MAX) {
            g_ptr_array_add(relays, member);
        }
    }
    return relays;
}

/* The hosts of a domain begin with different relays. */
static RelayPlan
plan_leaf(const RelayMember *members, const GPtrArray *relays,
          const RelayMember *own)
{
    RelayPlan plan = {.level = RELAY_LEVEL_LEAF};
    guint first = (guint)(Str_Hash(own->id) % relays->len);

    for (guint i = 0; i < relays->len; i++) {
        add_parent(&plan, members,
                   g_ptr_array_index(relays, (first + i) % relays->len));
    }
    return plan;
}

RelayPlan
RelayTree_Plan(const RelayMember *members, size_t count,
               const RelayMember *own)
{
    GPtrArray *region = sorted_members(members, count, own, false);
    GPtrArray *domain = sorted_members(members, count, own, true);
    GPtrArray *relays = choose_relays(domain, region);
    guint place = position(region, own);
    RelayPlan plan;

    if (place < ROOTS_MAX) {
        plan = plan_root(members, region, place);
    }
    else if (position(relays, own) < relays->len) {
        plan = plan_root(members, region, ROOTS_MAX);
        plan.level = RELAY_LEVEL_DOMAIN;
    }
    else {
        plan = plan_leaf(members, relays, own);
    }
    g_ptr_array_free(relays, TRUE);
    g_ptr_array_free(domain, TRUE);
    g_ptr_array_free(region, TRUE);
    return plan;
}
