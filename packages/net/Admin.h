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
 * typedef Admin - HTTP server of the administration API of one host
 *
 * The API is read-only, because changes of the configuration are published
 * through the log. The exception is the release of a quarantined fingerprint,
 * which changes no configuration. docs/openapi.json lists every path.
 */
typedef struct Admin_ Admin;

/**
 * struct AdminOptions_ - objects that the API reports on
 * @server: address, port and TLS files to listen with
 * @ready: whether the host is ready to serve requests
 *
 * All pointers are borrowed.
 */
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

/**
 * Admin_Create() - listen and serve the API
 *
 * Return: NULL with @error filled if the server cannot listen.
 */
Admin *Admin_Create(Loop *loop, const AdminOptions *options, Error *error);

/** Admin_Destroy() - close the server and release the API */
void Admin_Destroy(Admin *this);

/** Admin_Port() - port that the API listens on */
uint16_t Admin_Port(const Admin *this);

/** Admin_SetLeaving() - respond to readiness checks with 503 from now on */
void Admin_SetLeaving(Admin *this);

#endif
