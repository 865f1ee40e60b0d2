#ifndef AGATECRANK_GATEWAY_PATHMONITOR_H
#define AGATECRANK_GATEWAY_PATHMONITOR_H

#include "Counters.h"
#include "EventLog.h"
#include "Random.h"

/**
 * typedef PathMonitor - decides whether this host has lost its path to all
 *     upstreams
 *
 * Judges by probes on new connections, since open ones may live on while new
 * ones are refused. A failure of any kind starts a suspicion: two upstreams are
 * probed, then a sample spread over services and failure domains. The path is
 * cut off if all of them fail; one response ends the suspicion. The sample is
 * large because most upstreams may have crashed. While cut off, a few upstreams
 * are probed at intervals, and a sample confirms the end.
 */
typedef struct PathMonitor_ PathMonitor;

/** Most upstreams that are probed in one round */
#define PATH_SAMPLE_MAX 24

typedef enum PathState_ {
    PATH_REACHABLE,
    PATH_DOUBTED,   /* something has failed; no probe was sent yet */
    PATH_SUSPECTED, /* probes are open */
    PATH_CUT_OFF,
} PathState;

/** enum PathProbeResult - how a probe on a new connection ended */
typedef enum PathProbeResult_ {
    PATH_PROBE_ANSWERED,
    PATH_PROBE_REFUSED, /* the connection was refused or reset */
    PATH_PROBE_TIMEOUT, /* the connection was not opened in time */
    PATH_PROBE_SILENT,  /* the connection was accepted, nothing followed */
    PATH_PROBE_CLOSED,  /* it was accepted and closed without a response */
    PATH_PROBE_UNCLEAR, /* not sent */
} PathProbeResult;

/**
 * struct PathTarget_ - an upstream that can be probed
 * @heard_at: time of its last response, 0 for none
 * @busy: a probe of it is open already
 */
typedef struct PathTarget_ {
    uint32_t upstream;
    uint32_t service;
    uint32_t domain;
    Micros heard_at;
    bool busy;
} PathTarget;

/** PathMonitor_Create() - all pointers are borrowed */
PathMonitor *PathMonitor_Create(const Clock *clock, Random *random,
                                EventLog *log, Counters *counters);

/** PathMonitor_Destroy() - NULL is allowed */
void PathMonitor_Destroy(PathMonitor *this);

/** PathMonitor_OnConnectFailure() - no connection to an upstream was opened */
void PathMonitor_OnConnectFailure(PathMonitor *this);

/**
 * PathMonitor_OnNoResponse() - a request or probe got no response
 * @sent: time at which it was sent; nothing follows from it if another one has
 *        got a response since
 */
void PathMonitor_OnNoResponse(PathMonitor *this, Micros sent);

/** PathMonitor_OnResponse() - an upstream responded, on any connection */
void PathMonitor_OnResponse(PathMonitor *this);

/** PathMonitor_OnProbeEnd() - a probe on a new connection has ended */
void PathMonitor_OnProbeEnd(PathMonitor *this, uint32_t upstream, Micros sent,
                            PathProbeResult result);

/** PathMonitor_OnTime() - handle everything that is due */
void PathMonitor_OnTime(PathMonitor *this);

/** PathMonitor_NextTime() - when to call PathMonitor_OnTime(), -1: never */
Micros PathMonitor_NextTime(const PathMonitor *this);

/** PathMonitor_WantsProbes() - whether to call PathMonitor_SelectProbes() */
bool PathMonitor_WantsProbes(const PathMonitor *this);

/**
 * PathMonitor_SelectProbes() - choose the upstreams to probe now, each on a
 *     new connection
 * @targets: all upstreams that can be probed
 * @upstreams: output, with capacity for PATH_SAMPLE_MAX
 *
 * Return: their number.
 */
size_t PathMonitor_SelectProbes(PathMonitor *this, const PathTarget *targets,
                                size_t count, uint32_t *upstreams);

/** PathMonitor_State() - the state as of the last call */
PathState PathMonitor_State(const PathMonitor *this);

/** PathMonitor_DoubtedSince() - whether the path has been in doubt since then */
bool PathMonitor_DoubtedSince(const PathMonitor *this, Micros time);

/** PathMonitor_HeardSince() - whether an upstream has responded since @time */
bool PathMonitor_HeardSince(const PathMonitor *this, Micros time);

/**
 * PathMonitor_IsSilent() - whether no upstream has responded since the
 *     suspicion began, on open connections either
 */
bool PathMonitor_IsSilent(const PathMonitor *this);

#endif
