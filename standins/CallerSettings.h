#ifndef AGATECRANK_STANDINS_CALLERSETTINGS_H
#define AGATECRANK_STANDINS_CALLERSETTINGS_H

#include "Settings.h"

/** struct CallerSettings_ - described by the help texts of CALLER_SETTINGS */
typedef struct CallerSettings_ {
    char *targets;
    char *service;
    char *token;
    char *path;
    char *methods;
    char *id_prefix;
    double key_share;
    double rate;
    int64_t count;
    double duration_s;
    int64_t seed;
    int64_t spin;
    int64_t body_bytes;
    int64_t answer_bytes;
    double large_share;
    int64_t large_bytes;
    double service_ms;
    int64_t deadline_ms;
    int64_t timeout_ms;
    char *resend;
    int64_t resend_max;
    int64_t resend_delay_ms;
    double cancel_share;
    int64_t cancel_ms;
    char *marker;
    double marker_share;
    int64_t reuse;
    int64_t tls;
    char *journal;
    int64_t allow_wrong;
    int64_t allow_incomplete;
    int64_t fail_on_lost;
} CallerSettings;

extern const Setting CALLER_SETTINGS[];
extern const size_t CALLER_SETTINGS_COUNT;

/** CallerSettings_Default() - default values; strings are literals */
CallerSettings CallerSettings_Default(void);

#endif
