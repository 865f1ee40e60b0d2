#ifndef AGATECRANK_STANDINS_UPSTREAM_H
#define AGATECRANK_STANDINS_UPSTREAM_H

#include "HttpServer.h"
#include "Journal.h"
#include "Random.h"
#include "UpstreamSettings.h"

/** typedef Upstream - stand-in upstream with slots, a queue, load reports and
 *                    injected faults */
typedef struct Upstream_ Upstream;

/**
 * struct UpstreamEnvironment_ - objects that all upstreams share
 * @control: responds to a /control request; Control_Body() returns its body
 */
typedef struct UpstreamEnvironment_ {
    HttpLoop *loop;
    const Clock *clock;
    Journal *journal;
    void (*control)(Upstream *upstream, HttpRequest *request);
} UpstreamEnvironment;

/**
 * Upstream_Create() - create an upstream that listens on 127.0.0.1
 * @port: 0 for a free one
 * @seed: of service times and faults
 * @settings: copied
 *
 * Return: NULL if the port is not available.
 */
Upstream *Upstream_Create(const UpstreamEnvironment *environment,
                          const char *id, int port, uint64_t seed,
                          const UpstreamSettings *settings);

/** Upstream_Destroy() - release; only after HttpLoop_Close() */
void Upstream_Destroy(Upstream *this);

/** Upstream_Port() and Upstream_Id() - port in use, and id */
int Upstream_Port(const Upstream *this);
const char *Upstream_Id(const Upstream *this);

/**
 * Upstream_ApplyControl() - apply the object of a control request
 *
 * Changes live settings. In addition, "silence":"open" stops all responses on
 * the connections that are open now, and "crash":true crashes the upstream at
 * once, by its crash mode.
 *
 * Return: 0, or ERR_INVALID if a value is invalid; then nothing is changed.
 */
int Upstream_ApplyControl(Upstream *this, const json_t *object, Error *error);

/** Upstream_ToJson() - state, counters and settings as a new JSON object */
json_t *Upstream_ToJson(Upstream *this);

#endif
