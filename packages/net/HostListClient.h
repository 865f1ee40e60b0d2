#ifndef AGATECRANK_NET_HOSTLISTCLIENT_H
#define AGATECRANK_NET_HOSTLISTCLIENT_H

#include <glib.h>

#include "Directory.h"
#include "HttpFetch.h"

/** typedef HostListClient - polls the platform's host list */
typedef struct HostListClient_ HostListClient;

/** typedef HostListHandler - a list that differs from the last one */
typedef void HostListHandler(void *user, const HostEntry *entries,
                             size_t count);

/** HostListClient_Create() - poll @url every @interval; starts at once */
HostListClient *HostListClient_Create(Loop *loop, Str url, Micros interval,
                                      const HttpClientOptions *tls,
                                      EventLog *log, HostListHandler *handler,
                                      void *user, Error *error);

/** HostListClient_Destroy() - stop and release */
void HostListClient_Destroy(HostListClient *this);

/** HostListClient_Age() - time since the last list; -1 if there was none */
Micros HostListClient_Age(const HostListClient *this);

/**
 * HostList_Parse() - read the JSON of a host list
 * @entries: receives HostEntry items whose strings are kept in @store
 *
 * Entries without id, address or port are skipped; they can not be used.
 *
 * Return: 0 or ERR_PARSE with @error filled.
 */
int HostList_Parse(Str text, Arena *store, GArray *entries, Error *error);

#endif
