#ifndef AGATECRANK_CORE_SUBSET_H
#define AGATECRANK_CORE_SUBSET_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct SubsetItem_ - one thing that is assigned to hosts
 * @key: stable hash of the item (an upstream, or one slot of an upstream)
 * @domain: failure domain, so that each host gets a mix
 */
typedef struct SubsetItem_ {
    uint64_t key;
    uint32_t domain;
} SubsetItem;

/**
 * struct SubsetHosts_ - live hosts as this host knows them
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
 * Subset_Assign() - mark the items that belong to this host
 * @items: the items in any order; sorted in place by domain and key
 * @count: number of items
 * @copies: distinct hosts for each item
 * @mine: set to 1 or 0 for each item, in the new order
 *
 * Weighted by rendezvous hash under an even-load rule: each item has exactly
 * min(@copies, hosts) hosts, and the hosts' loads differ by at most a few, in
 * total and in each domain. Hosts with the same list get the same result.
 *
 * Return: number of items of this host.
 */
size_t Subset_Assign(const SubsetHosts *hosts, SubsetItem *items, size_t count,
                     uint32_t copies, uint8_t *mine);

/**
 * Subset_Copies() - number of hosts for each upstream of a service
 * @hosts: live hosts
 * @upstreams: upstreams of the service
 * @size: upstreams wanted for each host
 * @connections: bound on connections of all hosts to one upstream
 */
uint32_t Subset_Copies(uint32_t hosts, uint32_t upstreams, uint32_t size,
                       uint32_t connections);

/**
 * Subset_Divisor() - what a bound over all hosts is divided by
 *
 * Live hosts, a tenth more and one: the sum stays within the bound although
 * each host may not know of that many others.
 */
uint32_t Subset_Divisor(uint32_t hosts);

#endif
