#ifndef AGATECRANK_STANDINS_HOSTCUT_H
#define AGATECRANK_STANDINS_HOSTCUT_H

#include "LinkFaults.h"

/**
 * typedef HostCut - cuts the path of some hosts to all upstreams
 *
 * The hosts reach the store, and callers and other hosts reach them, as before.
 * A preloaded library (host-links.c) gives each host an address of its own, by
 * which the links tell the connections apart, and redirects new connections.
 */
typedef struct HostCut_ HostCut;

/** enum CutKind - what becomes of connections to upstreams */
typedef enum CutKind_ {
    CUT_SILENT,  /* open ones carry nothing, new ones are not established */
    CUT_REFUSED, /* open ones live on, new ones are refused */
    CUT_RESET,   /* open ones are reset, new ones are refused */
} CutKind;

/** HostCut_ParseKind() - "silent", "refused" or "reset"; false for others */
bool HostCut_ParseKind(const char *text, CutKind *kind);

/**
 * HostCut_Create() - prepare a cut
 * @links: borrowed
 * @hosts: array of in_addr_t, the addresses of the hosts; owned from now on
 * @file: tells the preloaded library of the cut
 *
 * Return: NULL if no port is available.
 */
HostCut *HostCut_Create(LinkFaults *links, CutKind kind, GArray *hosts,
                        const char *file);

/** HostCut_Destroy() - release, without ending the cut; accepts NULL */
void HostCut_Destroy(HostCut *this);

/** HostCut_Begin() - cut the path */
void HostCut_Begin(HostCut *this);

/** HostCut_End() - restore it; what was silent stays so until it is closed */
void HostCut_End(HostCut *this);

#endif
