#ifndef AGATECRANK_TESTS_CLUSTER_H
#define AGATECRANK_TESTS_CLUSTER_H

#include "EventQueue.h"
#include "Membership.h"
#include "PeerMessage.h"

/** CLUSTER_HOSTS_MAX - hosts of one cluster, with those that are gone */
#define CLUSTER_HOSTS_MAX 256

/**
 * struct ClusterOptions_ - hosts and network of a simulated deployment
 * @member: options of every host; names, incarnation and seeds are set here
 * @loss_ratio, @duplicate_ratio, @late_ratio: share of messages; late ones take up to @late_delay_max
 * @fixed_seeds: the first three hosts are everyone's seeds
 * @host_list_lag: hosts get a host list that is so old, as often; 0: none
 * @min_delay: least delay; @mean_jitter: mean of what is added to it
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

/** struct ClusterHost_ - one host and what it has sent */
typedef struct ClusterHost_ {
    char id[24];
    char address[24];
    char domain[24];
    uint32_t domain_index;
    Membership *membership;
    Random *random;
    uint64_t incarnation;
    uint64_t start_count; /* counts starts, for events of an earlier life */
    Micros state_changed; /* start, end or pause */
    Micros scheduled;
    bool alive;
    bool paused;
    bool leaving;
    GQueue *paused_inbox; /* arrived during a pause */
    GQueue *sent_window;
    uint64_t window_bytes, window_messages;
    uint64_t window_bytes_max, window_messages_max;
    uint64_t received_bytes;
} ClusterHost;

/** typedef Cluster - Membership cores on a simulated network */
typedef struct Cluster_ Cluster;

/** typedef ClusterItemHandler - @host got @item */
typedef void ClusterItemHandler(void *user, uint32_t host,
                                const SharedItem *item);

/** ClusterOptions_Default() - 20 hosts on a good network */
ClusterOptions ClusterOptions_Default(uint64_t seed);

/** Cluster_Create() - all hosts start within the first 500 ms */
Cluster *Cluster_Create(const ClusterOptions *options);

/** Cluster_Destroy() - release everything */
void Cluster_Destroy(Cluster *this);

/** Cluster_SetItemHandler() - call @handler for each item that arrives */
void Cluster_SetItemHandler(Cluster *this, ClusterItemHandler *handler,
                            void *user);

/** Cluster_Run() - let @duration pass */
void Cluster_Run(Cluster *this, Micros duration);

/** Cluster_Now() - the time */
Micros Cluster_Now(const Cluster *this);

/** Cluster_Count() - hosts ever added */
uint32_t Cluster_Count(const Cluster *this);

/** Cluster_Host() - host @index */
ClusterHost *Cluster_Host(Cluster *this, uint32_t index);

/** Cluster_Random() - random numbers of the run */
Random *Cluster_Random(Cluster *this);

/** Cluster_Add() - a new host; returns its index */
uint32_t Cluster_Add(Cluster *this);

/** Cluster_Start() - start a host that is down, as a new incarnation */
void Cluster_Start(Cluster *this, uint32_t host);

/** Cluster_Kill() - end a host without a word */
void Cluster_Kill(Cluster *this, uint32_t host);

/** Cluster_Leave() - a host says that it shuts down, and goes on for now */
void Cluster_Leave(Cluster *this, uint32_t host);

/** Cluster_Pause() - stop or continue a host; messages wait meanwhile */
void Cluster_Pause(Cluster *this, uint32_t host, bool paused);

/** Cluster_IsolateDomain() - separate a failure domain from the others, or join it */
void Cluster_IsolateDomain(Cluster *this, uint32_t domain, bool isolated);

/** Cluster_IsolationChanged() - time of the last change by Cluster_IsolateDomain() */
Micros Cluster_IsolationChanged(const Cluster *this);

/** Cluster_IsReachable() - messages from @a get to @b */
bool Cluster_IsReachable(Cluster *this, uint32_t a, uint32_t b);

/** Cluster_Share() - host sees something */
void Cluster_Share(Cluster *this, uint32_t host, const SharedItem *item);

/** Cluster_Flush() - send what the host has to send */
void Cluster_Flush(Cluster *this, uint32_t host);

/** Cluster_GetView() - incarnations of the hosts in the view of @host, or 0 */
size_t Cluster_GetView(Cluster *this, uint32_t host, uint64_t *incarnations);

#endif
