#ifndef AGATECRANK_GATEWAY_GATEWAYSETTINGS_H
#define AGATECRANK_GATEWAY_GATEWAYSETTINGS_H

#include "Clock.h"
#include "Diagnostics.h"
#include "Endpoint.h"
#include "Toml.h"

/**
 * struct GatewayBounds_ - what the operators of a platform promise callers
 * @drain_time: from the notice that an upstream leaves to its last request
 * @stop_time: from SIGTERM to SIGKILL
 * @probes_per_s: questions for its load to an upstream, over all hosts
 * @retry_window, @retry_share, @retry_extra: repeats over all hosts together
 */
typedef struct GatewayBounds_ {
    Micros drain_time;
    Micros stop_time;
    double probes_per_s;
    Micros retry_window;
    double retry_share;
    double retry_extra;
} GatewayBounds;

/**
 * struct GatewaySettings_ - settings of a gateway host
 * @host_id, @domain: name and failure domain of this host
 * @callers, @readiness, @metrics: addresses to listen on
 * @relay: where other hosts read the store through this one
 * @store: address of the platform's store
 * @log_level: a LogLevel
 * @decision_lines_per_s: bound on routine log lines
 */
typedef struct GatewaySettings_ {
    Str host_id;
    Str domain;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
    Endpoint relay;
    Endpoint store;
    uint32_t log_level;
    uint32_t decision_lines_per_s;
    GatewayBounds bounds;
    struct Arena_ *memory;
} GatewaySettings;

/** typedef GatewayBoundsReader - reads the table [bounds], which may be NULL */
typedef void GatewayBoundsReader(const TomlNode *table, GatewayBounds *bounds,
                                 Diagnostics *diagnostics);

/** GatewaySettings_Recognizes() - the document is one of a gateway host */
bool GatewaySettings_Recognizes(Str text);

/**
 * GatewaySettings_Parse() - read a settings document
 * @read_bounds: reads the bounds in the words of the platform
 *
 * Return: NULL with @diagnostics filled if anything is wrong.
 */
GatewaySettings *GatewaySettings_Parse(Str text,
                                       GatewayBoundsReader *read_bounds,
                                       Diagnostics *diagnostics);

/** GatewaySettings_Destroy() - NULL is allowed */
void GatewaySettings_Destroy(GatewaySettings *this);

#endif
