#ifndef AGATECRANK_NET_HOSTLISTCLIENT_H
#define AGATECRANK_NET_HOSTLISTCLIENT_H

#include <glib.h>

#include "Directory.h"
#include "HttpFetch.h"

/** typedef HostListClient - polls the platform's host list over HTTP */
typedef struct HostListClient_ HostListClient;

/**
 * typedef HostListHandler - receives a list that differs from the last one
 * @entries: @count entries, valid during the call
 */
typedef void HostListHandler(void *user, const HostEntry *entries,
                             size_t count);

/**
 * HostListClient_Create() - poll @url every @interval, beginning now
 * @loop, @log: borrowed
 * @client_options: TLS and connection options; its file names are borrowed
 *
 * Return: NULL with @error filled if @url is invalid.
 */
HostListClient *HostListClient_Create(Loop *loop, Str url, Micros interval,
                                      const HttpClientOptions *client_options,
                                      EventLog *log, HostListHandler *handler,
                                      void *user, Error *error);

/** HostListClient_Destroy() - stop and release */
void HostListClient_Destroy(HostListClient *this);

/**
 * HostListClient_Age() - time since the last response with status 200
 *
 * Return: -1 before the first one.
 */
Micros HostListClient_Age(const HostListClient *this);

/**
 * HostList_Parse() - parse the JSON text of a host list
 * @arena: receives copies of the strings of @entries
 * @entries: array of HostEntry to append to
 *
 * Entries without id, address or port are skipped, as no connection to them is
 * possible.
 *
 * Return: 0 or ERR_PARSE with @error filled.
 */
int HostList_Parse(Str text, Arena *arena, GArray *entries, Error *error);

#endif
