#ifndef AGATECRANK_CONFIG_ROUTINGPOLICY_H
#define AGATECRANK_CONFIG_ROUTINGPOLICY_H

/** enum RoutingPolicy_ - values of the setting routing.policy */
typedef enum RoutingPolicy_ {
    ROUTING_RANDOM,
    ROUTING_ROUND_ROBIN,
    ROUTING_LEAST_INFLIGHT,
    ROUTING_TWO_CHOICES,
    ROUTING_PROBED,
    ROUTING_REPORTS,
    ROUTING_SLOT_SHARES,
    ROUTING_POLICY_COUNT,
} RoutingPolicy;

#endif
