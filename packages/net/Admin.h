#ifndef AGATECRANK_NET_ADMIN_H
#define AGATECRANK_NET_ADMIN_H

#include "Balancer.h"
#include "ConfigSync.h"
#include "HostListClient.h"
#include "HttpServer.h"
#include "LogClient.h"
#include "PeerExchange.h"
#include "Settings.h"

/**
 * typedef Admin - the administration API of one host
 *
 * It reads; changes go through the log only, except for quarantine
 * releases, which concern no configuration. docs/openapi.json lists every
 * path.
 */
typedef struct Admin_ Admin;

/** struct AdminOptions_ - what the API reports on; all borrowed */
typedef struct AdminOptions_ {
    HttpServerOptions server;
    Balancer *balancer;
    ConfigState *config;
    ConfigSync *sync;
    Counters *counters;
    const Settings *settings;
    LogClient *log_client;
    HostListClient *host_list;
    PeerExchange *peers;
    const bool *ready;
} AdminOptions;

/** Admin_Create() - listen; NULL with @error filled on failure */
Admin *Admin_Create(Loop *loop, const AdminOptions *options, Error *error);

/** Admin_Destroy() - release it */
void Admin_Destroy(Admin *this);

/** Admin_Port() - port of the API */
uint16_t Admin_Port(const Admin *this);

/** Admin_SetLeaving() - readiness answers 503 from now on */
void Admin_SetLeaving(Admin *this);

#endif
