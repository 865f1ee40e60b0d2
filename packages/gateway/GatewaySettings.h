#ifndef AGATECRANK_GATEWAY_GATEWAYSETTINGS_H
#define AGATECRANK_GATEWAY_GATEWAYSETTINGS_H

#include "Clock.h"
#include "Diagnostics.h"
#include "Endpoint.h"
#include "Toml.h"

/**
 * struct GatewayBounds_ - limits that the platform's operators guarantee to
 *     callers
 * @drain_time: from the notice that an upstream leaves to its last request
 * @stop_time: from SIGTERM to SIGKILL
 * @probes_per_s: load probes that an upstream may receive from all hosts
 *                together
 * @key_time: from the withdrawal of a key of a customer to its last request, on
 *            every host; 0 for no such limit
 * @allowance_window, @allowance_overshoot, @allowance_slack: limit on the requests
 *     of a customer over all hosts, see struct DispatcherOptions_
 * @retry_window, @retry_share, @retry_extra: limit on the retries of all hosts
 *     together, see struct RetryWindowOptions_
 */
typedef struct GatewayBounds_ {
    Micros drain_time;
    Micros stop_time;
    double probes_per_s;
    Micros key_time;
    Micros allowance_window;
    double allowance_overshoot;
    double allowance_slack;
    Micros retry_window;
    double retry_share;
    double retry_extra;
} GatewayBounds;

/**
 * struct GatewaySettings_ - settings of a gateway host
 * @host_id, @domain: name and failure domain of this host
 * @region: region of the failure domain; empty if there is only one
 * @link_mbps: capacity of the network link of this host; 0 if it is not known
 * @memory_mb: resident memory that the process may use, in units of 10^6 bytes
 * @descriptors_max: descriptors that the process may open
 * @callers, @readiness, @metrics: addresses to listen on
 * @relay: address on which other hosts read the store through this one
 * @forward: address on which other hosts send requests to be executed here; port
 *           0 for none
 * @store: address of the platform's store
 * @seeds, @seed_count: addresses of the relays of hosts that may be running when
 *                      the deployment starts
 * @first_start: the whole deployment starts for the first time
 * @log_level: a LogLevel
 * @decision_lines_per_s: limit on routine log lines
 * @bounds: see struct GatewayBounds_
 * @arena: owns the strings
 */
typedef struct GatewaySettings_ {
    Str host_id;
    Str domain;
    Str region;
    uint32_t link_mbps;
    uint32_t memory_mb;
    uint32_t descriptors_max;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
    Endpoint relay;
    Endpoint forward;
    Endpoint store;
    const Endpoint *seeds;
    size_t seed_count;
    bool first_start;
    uint32_t log_level;
    uint32_t decision_lines_per_s;
    GatewayBounds bounds;
    struct Arena_ *arena;
} GatewaySettings;

/**
 * typedef GatewayBoundsReader - reads the table [bounds]; @table may be NULL
 */
typedef void GatewayBoundsReader(const TomlNode *table, GatewayBounds *bounds,
                                 Diagnostics *diagnostics);

/**
 * GatewaySettings_Recognizes() - whether the document is for a gateway host
 */
bool GatewaySettings_Recognizes(Str text);

/**
 * GatewaySettings_Parse() - parse a settings document
 * @read_bounds: reads the bounds by the names that the platform uses
 *
 * Return: NULL, with the errors added to @diagnostics, if the document is invalid.
 */
GatewaySettings *GatewaySettings_Parse(Str text,
                                       GatewayBoundsReader *read_bounds,
                                       Diagnostics *diagnostics);

/** GatewaySettings_Destroy() - NULL is allowed */
void GatewaySettings_Destroy(GatewaySettings *this);

#endif
