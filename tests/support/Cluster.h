#ifndef AGATECRANK_TESTS_CLUSTER_H
#define AGATECRANK_TESTS_CLUSTER_H

#include "EventQueue.h"
#include "Membership.h"
#include "PeerMessage.h"

/** CLUSTER_HOSTS_MAX - hosts ever added to one cluster */
#define CLUSTER_HOSTS_MAX 256

/**
 * struct ClusterOptions_ - hosts and network of a simulated deployment
 * @hosts: hosts at the start
 * @domains: failure domains, at most 64
 * @member: options of every host; names, incarnation and seeds are replaced
 * @loss_ratio, @duplicate_ratio: messages that are lost or duplicated
 * @late_ratio: messages that are delayed by up to @late_delay_max more
 * @fixed_seeds: the first three hosts are the seeds of every host
 * @min_delay, @mean_jitter: network delay: minimum, and mean of an exponential
 *        addition
 * @host_list_lag: period and age of the host list that hosts receive; 0: no
 *        host list
 */
typedef struct ClusterOptions_ {
    uint32_t hosts;
    uint32_t domains;
    uint64_t seed;
    MembershipOptions member;
    double loss_ratio, duplicate_ratio, late_ratio;
    bool fixed_seeds;
    Micros min_delay, mean_jitter, late_delay_max;
    Micros host_list_lag;
} ClusterOptions;

/**
 * struct ClusterHost_ - one host with statistics of its traffic
 * @membership: NULL while the host is down
 * @start_count: incremented at each start, to ignore events of earlier ones
 * @state_changed: time of the last start, end, pause or resumption
 * @scheduled: time of the next tick; 0: none
 * @paused_inbox: messages that arrived during a pause
 * @sent_window: messages sent in the last second
 * @window_bytes, @window_messages: sums over @sent_window, with framing
 * @window_bytes_max, @window_messages_max: maxima of these sums
 */
typedef struct ClusterHost_ {
    char id[24];
    char address[24];
    char domain[24];
    uint32_t domain_index;
    Membership *membership;
    Random *random;
    uint64_t incarnation;
    uint64_t start_count;
    Micros state_changed;
    Micros scheduled;
    bool alive;
    bool paused;
    bool leaving;
    GQueue *paused_inbox;
    GQueue *sent_window;
    uint64_t window_bytes, window_messages;
    uint64_t window_bytes_max, window_messages_max;
    uint64_t received_bytes;
} ClusterHost;

/** typedef Cluster - Membership objects on a simulated network */
typedef struct Cluster_ Cluster;

/** typedef ClusterItemHandler - called when @host has received @item */
typedef void ClusterItemHandler(void *user, uint32_t host,
                                const SharedItem *item);

/** ClusterOptions_Default() - 20 hosts on a network without faults */
ClusterOptions ClusterOptions_Default(uint64_t seed);

/** Cluster_Create() - all hosts start within the first 500 ms */
Cluster *Cluster_Create(const ClusterOptions *options);

/** Cluster_Destroy() - release everything */
void Cluster_Destroy(Cluster *this);

/** Cluster_SetItemHandler() - call @handler for each received item */
void Cluster_SetItemHandler(Cluster *this, ClusterItemHandler *handler,
                            void *user);

/** Cluster_Run() - simulate @duration */
void Cluster_Run(Cluster *this, Micros duration);

/** Cluster_Now() - simulated time */
Micros Cluster_Now(const Cluster *this);

/** Cluster_Count() - number of hosts ever added */
uint32_t Cluster_Count(const Cluster *this);

/** Cluster_Host() - host at @index */
ClusterHost *Cluster_Host(Cluster *this, uint32_t index);

/** Cluster_Random() - random generator of the simulation */
Random *Cluster_Random(Cluster *this);

/** Cluster_Add() - add a host that is down; returns its index */
uint32_t Cluster_Add(Cluster *this);

/** Cluster_Start() - start a host that is down, as a new incarnation */
void Cluster_Start(Cluster *this, uint32_t host);

/** Cluster_Kill() - stop a host without notice to the others */
void Cluster_Kill(Cluster *this, uint32_t host);

/** Cluster_Leave() - announce the shutdown of a host, which keeps running */
void Cluster_Leave(Cluster *this, uint32_t host);

/** Cluster_Pause() - pause or resume a host; messages are queued meanwhile */
void Cluster_Pause(Cluster *this, uint32_t host, bool paused);

/** Cluster_IsolateDomain() - cut a failure domain off from the others, or
 * reconnect it */
void Cluster_IsolateDomain(Cluster *this, uint32_t domain, bool isolated);

/** Cluster_IsolationChanged() - time of the last Cluster_IsolateDomain() */
Micros Cluster_IsolationChanged(const Cluster *this);

/** Cluster_IsReachable() - true if no cut separates hosts @a and @b */
bool Cluster_IsReachable(Cluster *this, uint32_t a, uint32_t b);

/** Cluster_Share() - share an item from a host */
void Cluster_Share(Cluster *this, uint32_t host, const SharedItem *item);

/** Cluster_Flush() - send pending messages and deliver items of a host */
void Cluster_Flush(Cluster *this, uint32_t host);

/**
 * Cluster_GetView() - live hosts in the view of @host
 * @incarnations: receives one number for each host ever added; 0 if it is not
 *        in the view
 *
 * Return: number of hosts in the view.
 */
size_t Cluster_GetView(Cluster *this, uint32_t host, uint64_t *incarnations);

#endif
