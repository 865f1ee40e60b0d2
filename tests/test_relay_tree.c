#include <glib.h>

#include "RelayTree.h"

/* Guards against trees in which a host serves too many others, or reads the log
 * when it need not, with tens to thousands of hosts. */

/* A relay hands each change on to this many hosts within 0.3 s. */
#define CLIENTS_MAX 64
#define HOPS_MAX 3

typedef struct Deployment_ {
    unsigned host_count, domain_count, region_count;
    unsigned large_per_domain; /* hosts with ten times the network capacity */
} Deployment;

typedef struct Tree_ {
    unsigned count;
    RelayMember *members;
    RelayPlan *plans;
    unsigned *clients; /* hosts that prefer this one */
    GPtrArray *texts;
} Tree;

static Str
text(Tree *tree, char *owned)
{
    g_ptr_array_add(tree->texts, owned);
    return Str_FromC(owned);
}

static Tree *
create_tree(const Deployment *deployment)
{
    Tree *tree = g_new0(Tree, 1);

    tree->count = deployment->host_count;
    tree->members = g_new0(RelayMember, tree->count);
    tree->plans = g_new0(RelayPlan, tree->count);
    tree->clients = g_new0(unsigned, tree->count);
    tree->texts = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < tree->count; i++) {
        unsigned domain = i % deployment->domain_count;
        unsigned place = i / deployment->domain_count;

        tree->members[i] = (RelayMember){
            text(tree, g_strdup_printf("edge-%u-%u", domain, place)),
            text(tree, g_strdup_printf("domain-%u", domain)),
            text(tree, g_strdup_printf("region-%u",
                                       domain % deployment->region_count)),
            place < deployment->large_per_domain ? 200 : 20};
    }
    for (unsigned i = 0; i < tree->count; i++) {
        tree->plans[i] =
            RelayTree_Plan(tree->members, tree->count, &tree->members[i]);
        if (tree->plans[i].parent_count > 0) {
            tree->clients[tree->plans[i].parents[0]]++;
        }
    }
    return tree;
}

static void
destroy_tree(Tree *tree)
{
    g_free(tree->members);
    g_free(tree->plans);
    g_free(tree->clients);
    g_ptr_array_free(tree->texts, TRUE);
    g_free(tree);
}

/* Returns the number of hosts between this one and the log, whichever parent
 * is used at each step. */
static unsigned
hops(const Tree *tree, size_t host)
{
    unsigned most = 0;

    for (size_t i = 0; i < tree->plans[host].parent_count; i++) {
        most = MAX(most, 1 + hops(tree, tree->plans[host].parents[i]));
    }
    return most;
}

static void
check_host(const Tree *tree, unsigned host)
{
    const RelayPlan *plan = &tree->plans[host];
    const RelayMember *own = &tree->members[host];

    g_assert_cmpuint(tree->clients[host], <=, CLIENTS_MAX);
    for (size_t i = 0; i < plan->parent_count; i++) {
        const RelayMember *parent = &tree->members[plan->parents[i]];

        g_assert_cmpuint(plan->parents[i], !=, host);
        g_assert_true(Str_Equal(parent->region, own->region));
        g_assert_true(parent->link_mbps >= own->link_mbps);
        if (plan->level == RELAY_LEVEL_LEAF) {
            g_assert_true(Str_Equal(parent->domain, own->domain));
        }
    }
    /* The last roots read through the first ones. */
    g_assert_cmpuint(hops(tree, host), <=, HOPS_MAX + 1);
    if (plan->parent_count > 0) {
        size_t first = plan->parents[0];
        unsigned steps = 1;

        while (tree->plans[first].parent_count > 0) {
            first = tree->plans[first].parents[0];
            steps++;
        }
        g_assert_cmpuint(steps, <=, HOPS_MAX);
    }
}

static void
test_sizes(void)
{
    static const Deployment deployments[] = {
        {1, 1, 1, 0},    {2, 1, 1, 0},    {14, 4, 1, 0},   {20, 4, 1, 0},
        {103, 4, 1, 2},  {137, 4, 1, 3},  {472, 6, 1, 3},  {472, 6, 1, 0},
        {1000, 6, 2, 3}, {1000, 6, 1, 0}, {2511, 13, 4, 3}};

    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        Tree *tree = create_tree(&deployments[i]);
        unsigned direct = 0, busiest = 0;

        for (unsigned host = 0; host < tree->count; host++) {
            check_host(tree, host);
            direct += tree->plans[host].parent_count == 0;
            busiest = MAX(busiest, tree->clients[host]);
        }
        g_test_message("hosts=%u direct=%u busiest=%u", tree->count, direct,
                       busiest);
        g_assert_cmpuint(direct, ==, deployments[i].region_count);
        destroy_tree(tree);
    }
}

/* Guards against hosts of a domain that all use the same relay, and against a
 * host without a second one. */
static void
test_spread(void)
{
    static const Deployment large = {472, 6, 1, 3};
    Tree *tree = create_tree(&large);
    unsigned relays = 0;

    for (unsigned host = 0; host < tree->count; host++) {
        if (tree->plans[host].level == RELAY_LEVEL_LEAF) {
            g_assert_cmpuint(tree->plans[host].parent_count, >=, 2);
        }
        relays += tree->plans[host].level == RELAY_LEVEL_DOMAIN;
    }
    g_assert_cmpuint(relays, ==, 18);
    destroy_tree(tree);
}

/* Guards against a host that is not listed yet and knows no relay. */
static void
test_unlisted_host(void)
{
    static const Deployment small = {20, 4, 1, 0};
    Tree *tree = create_tree(&small);
    RelayMember own = {STR("new"), STR("domain-1"), STR("region-0"), 0};
    RelayPlan plan = RelayTree_Plan(tree->members, tree->count, &own);

    g_assert_cmpint(plan.level, ==, RELAY_LEVEL_LEAF);
    g_assert_cmpuint(plan.parent_count, ==, 2);
    plan = RelayTree_Plan(NULL, 0, &own);
    g_assert_cmpint(plan.level, ==, RELAY_LEVEL_ROOT);
    g_assert_cmpuint(plan.parent_count, ==, 0);
    destroy_tree(tree);
}

/* Guards against hosts of versions that tell neither region nor capacity. */
static void
test_earlier_versions(void)
{
    RelayMember members[] = {{STR("a"), STR("d"), STR(""), 0},
                             {STR("b"), STR("d"), STR("r"), 20},
                             {STR("c"), STR("d"), STR("r"), 20}};
    RelayPlan plan = RelayTree_Plan(members, 3, &members[2]);

    g_assert_cmpuint(plan.parent_count, ==, 1);
    g_assert_cmpuint(plan.parents[0], ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay-tree/sizes", test_sizes);
    g_test_add_func("/relay-tree/spread", test_spread);
    g_test_add_func("/relay-tree/unlisted-host", test_unlisted_host);
    g_test_add_func("/relay-tree/earlier-versions", test_earlier_versions);
    return g_test_run();
}
