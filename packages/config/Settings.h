#ifndef AGATECRANK_CONFIG_SETTINGS_H
#define AGATECRANK_CONFIG_SETTINGS_H

#include "Fields.h"
#include "RoutingPolicy.h"

/** struct ListenSettings_ - addresses and ports of the listening sockets */
typedef struct ListenSettings_ {
    Str caller_address;
    uint32_t caller_port;
    Str admin_address;
    uint32_t admin_port;
    Str peer_address;
    uint32_t peer_port;
} ListenSettings;

/** struct TlsSettings_ - paths of PEM files; an empty path is not used */
typedef struct TlsSettings_ {
    Str caller_certificate_file;
    Str caller_key_file;
    Str caller_client_ca_file;
    Str upstream_ca_file;
    Str admin_certificate_file;
    Str admin_key_file;
    Str admin_client_ca_file;
    Str log_ca_file;
} TlsSettings;

/** struct CurveSettings_ - CURVE key files for ZeroMQ links between hosts */
typedef struct CurveSettings_ {
    Str public_key_file;
    Str secret_key_file;
    Str peer_keys_file;
} CurveSettings;

/**
 * struct Settings_ - settings file of agatecrankd, read once at startup
 *
 * docs/settings.md lists each key with its type, range and default.
 */
typedef struct Settings_ {
    Str host_id;
    Str deployment;
    Str domain;
    ListenSettings listen;
    StrList peer_seeds; /* ADDRESS:PORT of ZeroMQ links */
    Str log_url;
    uint32_t log_timeout_ms;
    Str host_list_url;
    uint32_t host_list_interval_ms;
    uint32_t routing_policy; /* RoutingPolicy */
    bool limits_enabled;
    uint32_t claims_partitions;
    uint32_t claims_memory_bytes;
    uint32_t log_level; /* LogLevel */
    uint32_t decision_lines_per_s;
    TlsSettings tls;
    CurveSettings curve;
    Key32List bootstrap_keys;
    uint32_t snapshot_interval_s;
    uint32_t snapshot_spread_s;
    uint32_t request_buffer_bytes;  /* per stream, caller to upstream */
    uint32_t response_buffer_bytes; /* per stream, upstream to caller */
    uint32_t connections_max;
    uint32_t drain_notice_ms; /* not ready, connections still accepted */
    uint32_t drain_timeout_s;
    Arena *arena; /* owns all strings and lists */
} Settings;

/**
 * Settings_Parse() - parse and check settings in TOML
 * @diagnostics: receives all errors of the document
 *
 * Return: the settings, or NULL if the document has any error.
 */
Settings *Settings_Parse(Str text, Diagnostics *diagnostics);

/** Settings_ReadFile() - like Settings_Parse(), for the file at @path */
Settings *Settings_ReadFile(const char *path, Diagnostics *diagnostics);

/** Settings_Destroy() - release the settings; @this may be NULL */
void Settings_Destroy(Settings *this);

/** Settings_PolicyName() - name of a RoutingPolicy, or "unknown" */
const char *Settings_PolicyName(uint32_t policy);

/**
 * Settings_ReadText() - read a settings file of at most 256 KiB
 * @diagnostics: receives the error, if any
 *
 * Return: the text, which the calling function frees, or NULL.
 */
GString *Settings_ReadText(const char *path, Diagnostics *diagnostics);

#endif
