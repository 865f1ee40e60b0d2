#ifndef AGATECRANK_STANDINS_LINKFAULTS_H
#define AGATECRANK_STANDINS_LINKFAULTS_H

#include "HttpLoop.h"
#include "Random.h"

/** typedef LinkFaults - the links of a run, some of them disturbed for a time
 */
typedef struct LinkFaults_ LinkFaults;

/** enum LinkGroup - what the links lead to */
typedef enum LinkGroup_ {
    LINKS_TO_HOSTS,
    LINKS_TO_STORE,
    LINKS_TO_UPSTREAMS,
    LINK_GROUPS,
} LinkGroup;

/** typedef LinkFaultsOnClear - no link of @group is disturbed any more */
typedef void LinkFaultsOnClear(void *user, LinkGroup group);

/** LinkFaults_Create() - no links yet; @random is borrowed */
LinkFaults *LinkFaults_Create(HttpLoop *loop, Random *random,
                              LinkFaultsOnClear *on_clear, void *user);

/** LinkFaults_Destroy() - only after HttpLoop_Close() */
void LinkFaults_Destroy(LinkFaults *this);

/**
 * LinkFaults_Add() - a link to @target, "ADDRESS:PORT"
 *
 * Return: its port on 127.0.0.1, or ERR_UNAVAILABLE.
 */
int LinkFaults_Add(LinkFaults *this, LinkGroup group, const char *target);

/** LinkFaults_Inject() - reset one link, or disturb it for up to 3 s */
void LinkFaults_Inject(LinkFaults *this);

/**
 * LinkFaults_ClearAll() - clear all links
 *
 * Connections between callers and hosts are reset, as no host can tell that
 * one of them is silent. The others stay as they are.
 */
void LinkFaults_ClearAll(LinkFaults *this);

/** LinkFaults_IsClear() - no link of @group is disturbed */
bool LinkFaults_IsClear(const LinkFaults *this, LinkGroup group);

#endif
