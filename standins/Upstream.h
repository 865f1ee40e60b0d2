#ifndef AGATECRANK_STANDINS_UPSTREAM_H
#define AGATECRANK_STANDINS_UPSTREAM_H

#include "HttpServer.h"
#include "Journal.h"
#include "Random.h"
#include "UpstreamSettings.h"

/** typedef Upstream - one upstream: slots, queue, reports and faults */
typedef struct Upstream_ Upstream;

/**
 * struct UpstreamEnvironment_ - what upstreams of a process share
 * @control: serves /control requests, whose bodies are in Control_Body()
 */
typedef struct UpstreamEnvironment_ {
    HttpLoop *loop;
    const Clock *clock;
    Journal *journal;
    void (*control)(Upstream *upstream, HttpRequest *request);
} UpstreamEnvironment;

/** Upstream_Create() - listen; NULL if the port can not be had */
Upstream *Upstream_Create(const UpstreamEnvironment *environment,
                          const char *id, int port, uint64_t seed,
                          const UpstreamSettings *settings);

/** Upstream_Destroy() - release; only after HttpLoop_Close() */
void Upstream_Destroy(Upstream *this);

/** Upstream_Port() and Upstream_Id() - as given or chosen at creation */
int Upstream_Port(const Upstream *this);
const char *Upstream_Id(const Upstream *this);

/**
 * Upstream_ApplyControl() - apply a control object
 *
 * Besides live settings: "silence":"open" mutes the connections that are
 * open now, "crash":true crashes the upstream at once by its crash mode.
 */
int Upstream_ApplyControl(Upstream *this, const json_t *object, Error *error);

/** Upstream_ToJson() - counters and settings as a new JSON object */
json_t *Upstream_ToJson(Upstream *this);

#endif
