#ifndef AGATECRANK_STANDINS_LINKFAULTS_H
#define AGATECRANK_STANDINS_LINKFAULTS_H

#include "HttpLoop.h"
#include "Random.h"

/**
 * typedef LinkFaults - injects faults into a set of links for limited times
 *
 * Each link is a LossyLink. Links, faults and durations are chosen at random.
 */
typedef struct LinkFaults_ LinkFaults;

/** enum LinkGroup - kind of target that a link leads to */
typedef enum LinkGroup_ {
    LINKS_TO_HOSTS,
    LINKS_TO_STORE,
    LINKS_TO_UPSTREAMS,
    LINK_GROUPS,
} LinkGroup;

/** typedef LinkFaultsOnClear - called when the last faulty link of @group
 *                              has recovered */
typedef void LinkFaultsOnClear(void *user, LinkGroup group);

/** LinkFaults_Create() - create an empty set; @random is borrowed */
LinkFaults *LinkFaults_Create(HttpLoop *loop, Random *random,
                              LinkFaultsOnClear *on_clear, void *user);

/** LinkFaults_Destroy() - release; only after HttpLoop_Close() */
void LinkFaults_Destroy(LinkFaults *this);

/**
 * LinkFaults_Add() - create a link
 * @target: "ADDRESS:PORT" with an IPv4 address
 *
 * Return: port of the link on 127.0.0.1, or ERR_UNAVAILABLE if @target is
 * malformed or no port is available.
 */
int LinkFaults_Add(LinkFaults *this, LinkGroup group, const char *target);

/**
 * LinkFaults_Inject() - inject a random fault into a random link
 *
 * Resets the connections of the link, or applies another fault for 0.3 s to
 * 3 s. Prints the fault. At least one link must exist.
 */
void LinkFaults_Inject(LinkFaults *this);

/**
 * LinkFaults_ClearAll() - end all faults now
 *
 * Resets the connections between callers and hosts, because a host cannot
 * detect that one of them lost bytes and carries none any more. Connections
 * of the other groups stay open.
 */
void LinkFaults_ClearAll(LinkFaults *this);

/**
 * LinkFaults_SilenceSources() - as LossyLink_SilenceSources(), for all links of
 *     a group
 */
void LinkFaults_SilenceSources(LinkFaults *this, LinkGroup group,
                               const GArray *sources);

/**
 * LinkFaults_ResetSources() - as LossyLink_ResetSources(), for all links of a
 *     group
 */
void LinkFaults_ResetSources(LinkFaults *this, LinkGroup group,
                             const GArray *sources);

/**
 * LinkFaults_Delivers() - as LossyLink_Delivers(), for one link
 * @link: its port
 */
bool LinkFaults_Delivers(const LinkFaults *this, int link, uint16_t port);

/**
 * LinkFaults_IsCut() - true if a link has a fault that stops bytes
 * @index: of the link in its group, in the order of LinkFaults_Add()
 */
bool LinkFaults_IsCut(const LinkFaults *this, LinkGroup group, unsigned index);

/** LinkFaults_IsClear() - true if no link of @group has a fault */
bool LinkFaults_IsClear(const LinkFaults *this, LinkGroup group);

#endif
