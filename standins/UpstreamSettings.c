#include "UpstreamSettings.h"

#include <glib.h>

#define FIELD(name) offsetof(UpstreamSettings, name)

const Setting UPSTREAM_SETTINGS[] = {
    {"port", SETTING_INT, FIELD(port), false, "first port, 0 for free ones"},
    {"count", SETTING_INT, FIELD(count), false,
     "number of upstreams, on consecutive ports"},
    {"id-prefix", SETTING_TEXT, FIELD(id_prefix), false,
     "upstream N is called PREFIX-N, from 0"},
    {"journal", SETTING_TEXT, FIELD(journal), false,
     "file for one line at each start and end of an execution"},
    {"spin", SETTING_INT, FIELD(spin), false,
     "1: never sleep; exact times for a whole core"},
    {"seed", SETTING_INT, FIELD(seed), false, "seed of times and faults"},
    {"slots", SETTING_INT, FIELD(slots), true, "requests run at once"},
    {"queue", SETTING_INT, FIELD(queue), true,
     "requests that may wait for a slot, 0 sheds at once"},
    {"service-ms", SETTING_REAL, FIELD(service_ms), true, "mean service time"},
    {"service", SETTING_TEXT, FIELD(service), true, "exponential or fixed"},
    {"answer-bytes", SETTING_INT, FIELD(answer_bytes), true,
     "body of an answer unless x-answer-bytes asks for another"},
    {"slow-factor", SETTING_REAL, FIELD(slow_factor), true,
     "multiplies the service time"},
    {"cold-ms", SETTING_INT, FIELD(cold_ms), true,
     "cold phase; begins at the start and when this is set"},
    {"cold-factor", SETTING_REAL, FIELD(cold_factor), true,
     "multiplies the service time at the start of the cold phase"},
    {"draining", SETTING_INT, FIELD(draining), true,
     "1: keeps answering, says draining=1, health is 503"},
    {"drain-hidden", SETTING_INT, FIELD(drain_hidden), true,
     "1: /health and /load do not tell the drain, answers do"},
    {"report", SETTING_INT, FIELD(report), true,
     "1: agatecrank-load on each answer"},
    {"report-lag-ms", SETTING_INT, FIELD(report_lag_ms), true,
     "age of the load in reports and /load"},
    {"report-lie", SETTING_TEXT, FIELD(report_lie), true,
     "no, zero or full: what reports and /load claim"},
    {"health", SETTING_TEXT, FIELD(health), true,
     "true, up or down: what /health claims"},
    {"probe-ms", SETTING_REAL, FIELD(probe_ms), true,
     "time to answer /health and /load"},
    {"fail-share", SETTING_REAL, FIELD(fail_share), true,
     "share answered 500 at once"},
    {"burst-every-ms", SETTING_INT, FIELD(burst_every_ms), true,
     "period of error bursts, 0 for none"},
    {"burst-ms", SETTING_INT, FIELD(burst_ms), true, "length of a burst"},
    {"burst-share", SETTING_REAL, FIELD(burst_share), true,
     "share answered 500 at once during a burst"},
    {"bare-503-share", SETTING_REAL, FIELD(bare_503_share), true,
     "share that runs and is then answered 503 without an outcome"},
    {"idle-ms", SETTING_INT, FIELD(idle_ms), true,
     "closes connections that were idle for so long, 0 for never"},
    {"silent", SETTING_INT, FIELD(silent), true,
     "1: accepts and reads, never runs or answers"},
    {"crash-marker", SETTING_TEXT, FIELD(crash_marker), true,
     "a body with this text crashes the upstream"},
    {"crash-mode", SETTING_TEXT, FIELD(crash_mode), true,
     "close (connection), down (all, refuses new ones) or exit (process)"},
    {"crash-down-ms", SETTING_INT, FIELD(crash_down_ms), true,
     "time until a crashed upstream is back, 0 for never"},
    {"short-share", SETTING_REAL, FIELD(short_share), true,
     "share of answers that end early"},
    {"long-share", SETTING_REAL, FIELD(long_share), true,
     "share of answers longer than announced"},
    {"late-share", SETTING_REAL, FIELD(late_share), true,
     "share of answers that are sent late"},
    {"late-ms", SETTING_INT, FIELD(late_ms), true,
     "delay of a late answer after its execution"},
};

const size_t UPSTREAM_SETTINGS_COUNT = G_N_ELEMENTS(UPSTREAM_SETTINGS);

UpstreamSettings
UpstreamSettings_Default(void)
{
    return (UpstreamSettings){
        .count = 1,
        .id_prefix = "upstream",
        .seed = 1,
        .slots = 6,
        .service_ms = 5,
        .service = "exponential",
        .answer_bytes = 64,
        .slow_factor = 1,
        .cold_factor = 4,
        .report = 1,
        .report_lie = "no",
        .health = "true",
        .crash_mode = "close",
        .late_ms = 1000,
    };
}

UpstreamSettings
UpstreamSettings_Copy(const UpstreamSettings *this)
{
    UpstreamSettings copy = *this;

    for (size_t i = 0; i < UPSTREAM_SETTINGS_COUNT; i++) {
        if (UPSTREAM_SETTINGS[i].kind == SETTING_TEXT) {
            char **text =
                (char **)((char *)&copy + UPSTREAM_SETTINGS[i].offset);

            *text = g_strdup(*text);
        }
    }
    return copy;
}
