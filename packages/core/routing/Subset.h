#ifndef AGATECRANK_CORE_SUBSET_H
#define AGATECRANK_CORE_SUBSET_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct SubsetItem_ - an item that is assigned to hosts
 * @key: stable hash of the item (an upstream, or one slot of an upstream)
 * @domain: failure domain; each host gets items of all domains
 */
typedef struct SubsetItem_ {
    uint64_t key;
    uint32_t domain;
} SubsetItem;

/**
 * struct SubsetHosts_ - live hosts that this host knows of
 * @keys: stable hashes of the hosts, in any order
 * @count: number of hosts
 * @own: index of this host in @keys
 */
typedef struct SubsetHosts_ {
    const uint64_t *keys;
    uint32_t count;
    uint32_t own;
} SubsetHosts;

/**
 * Subset_Assign() - mark the items that are assigned to this host
 * @items: the items in any order; sorted in place by domain and key
 * @count: number of items
 * @hosts_per_item: distinct hosts for each item
 * @assigned: set to 1 or 0 for each item, in the new order
 *
 * Rendezvous hashing with bounded loads: each item has exactly
 * min(@hosts_per_item, hosts) hosts, and the loads of the hosts differ by at
 * most a few items, in total and in each domain. Hosts with the same list get
 * the same result.
 *
 * Return: number of items of this host.
 */
size_t Subset_Assign(const SubsetHosts *hosts, SubsetItem *items, size_t count,
                     uint32_t hosts_per_item, uint8_t *assigned);

/**
 * Subset_HostsPerUpstream() - number of hosts that use each upstream
 * @hosts: live hosts
 * @upstreams: upstreams of the service
 * @subset_size: upstreams wanted for each host
 * @connection_limit: limit on the connections of all hosts to one upstream
 */
uint32_t Subset_HostsPerUpstream(uint32_t hosts, uint32_t upstreams,
                                 uint32_t subset_size,
                                 uint32_t connection_limit);

/**
 * Subset_HostDivisor() - divisor of a limit that all hosts share
 *
 * Return: 1.1 times @hosts, rounded down, plus 1. The sum over all hosts then
 * stays within the limit even if each host does not know of that many others.
 */
uint32_t Subset_HostDivisor(uint32_t hosts);

#endif
