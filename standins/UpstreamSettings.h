#ifndef AGATECRANK_STANDINS_UPSTREAMSETTINGS_H
#define AGATECRANK_STANDINS_UPSTREAMSETTINGS_H

#include "Settings.h"

/** struct UpstreamSettings_ - values of UPSTREAM_SETTINGS, which describes them
 */
typedef struct UpstreamSettings_ {
    int64_t port;
    int64_t count;
    char *id_prefix;
    char *journal;
    int64_t seed;
    int64_t spin;
    int64_t slots;
    int64_t queue;
    double service_ms;
    char *service;
    int64_t answer_bytes;
    double slow_factor;
    int64_t cold_ms;
    double cold_factor;
    int64_t draining;
    int64_t drain_hidden;
    int64_t report;
    int64_t report_lag_ms;
    char *report_lie;
    char *health;
    double probe_ms;
    double fail_share;
    int64_t burst_every_ms;
    int64_t burst_ms;
    double burst_share;
    double bare_503_share;
    int64_t idle_ms;
    int64_t silent;
    char *crash_marker;
    char *crash_mode;
    int64_t crash_down_ms;
    double short_share;
    double long_share;
    double late_share;
    int64_t late_ms;
} UpstreamSettings;

extern const Setting UPSTREAM_SETTINGS[];
extern const size_t UPSTREAM_SETTINGS_COUNT;

/** UpstreamSettings_Default() - default values; the texts are literals */
UpstreamSettings UpstreamSettings_Default(void);

/** UpstreamSettings_Copy() - copy the settings and their texts */
UpstreamSettings UpstreamSettings_Copy(const UpstreamSettings *this);

#endif
