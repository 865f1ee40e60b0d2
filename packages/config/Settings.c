#include "Settings.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "EventLog.h"

/* Settings take a few kilobytes; a larger file is not a settings file. */
#define SETTINGS_BYTES_MAX (256 * 1024)
#define DAY_S 86400

#define OFFSET(member) offsetof(Settings, member)
#define FIELDS_END                                                            \
    {                                                                         \
        NULL, 0, 0, false, 0, 0, NULL                                         \
    }

/* Indexed by RoutingPolicy. */
static const char *const policy_names[] = {
    "random", "round-robin", "least-inflight", "two-choices",
    "probed", "reports",     "slot-shares",    NULL};

/* Indexed by LogLevel. */
static const char *const level_names[] = {"error", "warn", "info", "debug",
                                          NULL};

static const Field host_fields[] = {
    {"id", FIELD_NAME, OFFSET(host_id), true, 0, 0, NULL},
    {"deployment", FIELD_NAME, OFFSET(deployment), true, 0, 0, NULL},
    {"domain", FIELD_NAME, OFFSET(domain), true, 0, 0, NULL},
    FIELDS_END,
};

static const Field listen_fields[] = {
    {"caller_address", FIELD_ADDRESS, OFFSET(listen.caller_address), false, 0,
     0, NULL},
    {"caller_port", FIELD_U32, OFFSET(listen.caller_port), true, 0, 65535,
     NULL},
    {"admin_address", FIELD_ADDRESS, OFFSET(listen.admin_address), false, 0, 0,
     NULL},
    {"admin_port", FIELD_U32, OFFSET(listen.admin_port), true, 0, 65535, NULL},
    {"peer_address", FIELD_ADDRESS, OFFSET(listen.peer_address), false, 0, 0,
     NULL},
    {"peer_port", FIELD_U32, OFFSET(listen.peer_port), true, 0, 65535, NULL},
    FIELDS_END,
};

static const Field peers_fields[] = {
    {"seeds", FIELD_ENDPOINTS, OFFSET(peer_seeds), false, 0, 0, NULL},
    FIELDS_END,
};

static const Field log_fields[] = {
    {"url", FIELD_URL, OFFSET(log_url), true, 0, 0, NULL},
    {"timeout_ms", FIELD_U32, OFFSET(log_timeout_ms), false, 50, 60000, NULL},
    FIELDS_END,
};

static const Field host_list_fields[] = {
    {"url", FIELD_URL, OFFSET(host_list_url), true, 0, 0, NULL},
    {"interval_ms", FIELD_U32, OFFSET(host_list_interval_ms), false, 50,
     600000, NULL},
    FIELDS_END,
};

static const Field routing_fields[] = {
    {"policy", FIELD_ENUM, OFFSET(routing_policy), false, 0, 0, policy_names},
    FIELDS_END,
};

static const Field limits_fields[] = {
    {"enabled", FIELD_BOOL, OFFSET(limits_enabled), false, 0, 0, NULL},
    FIELDS_END,
};

static const Field claims_fields[] = {
    {"partitions", FIELD_U32, OFFSET(claims_partitions), false, 1, 256, NULL},
    {"memory_bytes", FIELD_U32, OFFSET(claims_memory_bytes), false, 65536,
     1073741824, NULL},
    FIELDS_END,
};

static const Field logging_fields[] = {
    {"level", FIELD_ENUM, OFFSET(log_level), false, 0, 0, level_names},
    {"decision_lines_per_s", FIELD_U32, OFFSET(decision_lines_per_s), false, 0,
     1000000, NULL},
    FIELDS_END,
};

static const Field tls_fields[] = {
    {"caller_certificate_file", FIELD_PATH,
     OFFSET(tls.caller_certificate_file), false, 0, 0, NULL},
    {"caller_key_file", FIELD_PATH, OFFSET(tls.caller_key_file), false, 0, 0,
     NULL},
    {"caller_client_ca_file", FIELD_PATH, OFFSET(tls.caller_client_ca_file),
     false, 0, 0, NULL},
    {"upstream_ca_file", FIELD_PATH, OFFSET(tls.upstream_ca_file), false, 0, 0,
     NULL},
    {"admin_certificate_file", FIELD_PATH, OFFSET(tls.admin_certificate_file),
     false, 0, 0, NULL},
    {"admin_key_file", FIELD_PATH, OFFSET(tls.admin_key_file), false, 0, 0,
     NULL},
    {"admin_client_ca_file", FIELD_PATH, OFFSET(tls.admin_client_ca_file),
     false, 0, 0, NULL},
    {"log_ca_file", FIELD_PATH, OFFSET(tls.log_ca_file), false, 0, 0, NULL},
    FIELDS_END,
};

static const Field curve_fields[] = {
    {"public_key_file", FIELD_PATH, OFFSET(curve.public_key_file), false, 0, 0,
     NULL},
    {"secret_key_file", FIELD_PATH, OFFSET(curve.secret_key_file), false, 0, 0,
     NULL},
    {"peer_keys_file", FIELD_PATH, OFFSET(curve.peer_keys_file), false, 0, 0,
     NULL},
    FIELDS_END,
};

static const Field config_fields[] = {
    {"bootstrap_keys", FIELD_KEYS, OFFSET(bootstrap_keys), false, 0, 0, NULL},
    {"snapshot_interval_s", FIELD_U32, OFFSET(snapshot_interval_s), false, 1,
     30 * DAY_S, NULL},
    {"snapshot_spread_s", FIELD_U32, OFFSET(snapshot_spread_s), false, 0,
     DAY_S, NULL},
    FIELDS_END,
};

static const Field buffers_fields[] = {
    {"request_bytes", FIELD_U32, OFFSET(request_buffer_bytes), false, 4096,
     16777216, NULL},
    {"response_bytes", FIELD_U32, OFFSET(response_buffer_bytes), false, 4096,
     16777216, NULL},
    {"connections", FIELD_U32, OFFSET(connections_max), false, 1, 1000000,
     NULL},
    FIELDS_END,
};

static const Field drain_fields[] = {
    {"timeout_s", FIELD_U32, OFFSET(drain_timeout_s), false, 0, 3600, NULL},
    {"notice_ms", FIELD_U32, OFFSET(drain_notice_ms), false, 0, 60000, NULL},
    FIELDS_END,
};

static const struct {
    const char *name;
    const Field *fields;
} tables[] = {
    {"host", host_fields},           {"listen", listen_fields},
    {"peers", peers_fields},         {"log", log_fields},
    {"host_list", host_list_fields}, {"routing", routing_fields},
    {"limits", limits_fields},       {"claims", claims_fields},
    {"logging", logging_fields},     {"tls", tls_fields},
    {"curve", curve_fields},         {"config", config_fields},
    {"buffers", buffers_fields},     {"drain", drain_fields},
};

static void
set_defaults(Settings *this)
{
    this->listen.caller_address = STR("0.0.0.0");
    this->listen.admin_address = STR("127.0.0.1");
    this->listen.peer_address = STR("0.0.0.0");
    this->log_timeout_ms = 1000;
    this->host_list_interval_ms = 1000;
    this->routing_policy = ROUTING_REPORTS;
    this->limits_enabled = true;
    this->claims_partitions = 1;
    this->claims_memory_bytes = 16 * 1024 * 1024;
    this->log_level = LOG_LEVEL_INFO;
    this->decision_lines_per_s = 100;
    this->snapshot_interval_s = DAY_S / 2;
    this->snapshot_spread_s = 60;
    this->request_buffer_bytes = 65536;
    this->response_buffer_bytes = 65536;
    this->connections_max = 10000;
    this->drain_timeout_s = 30;
    this->drain_notice_ms = 1000;
}

/* Reports an error at the position of the key, or of its table. */
static void
add_key_error(const TomlNode *root, const char *table, const char *key,
              Diagnostics *diagnostics, const char *reason)
{
    const TomlNode *node = Toml_Find(root, Str_FromC(table));
    const TomlNode *item = Toml_Find(node, Str_FromC(key));
    char *full_key = g_strconcat(table, ".", key, NULL);

    node = item != NULL ? item : node;
    Diagnostics_Add(diagnostics, node ? node->line : 0,
                    node ? node->column : 0, Str_FromC(full_key), "%s",
                    reason);
    g_free(full_key);
}

static bool
is_wildcard_address(Str address)
{
    return Str_Equal(address, STR("0.0.0.0")) || Str_Equal(address, STR("::"));
}

/* Port 0 lets the system choose a free port, so it never conflicts. */
static bool
is_same_endpoint(Str address, uint32_t port, Str other, uint32_t other_port)
{
    if (port != other_port || port == 0) {
        return false;
    }
    return Str_Equal(address, other) || is_wildcard_address(address) ||
           is_wildcard_address(other);
}

static void
check_listen(const Settings *this, const TomlNode *root,
             Diagnostics *diagnostics)
{
    const ListenSettings *listen = &this->listen;

    if (is_same_endpoint(listen->caller_address, listen->caller_port,
                         listen->admin_address, listen->admin_port)) {
        add_key_error(root, "listen", "admin_port", diagnostics,
                      "same address and port as listen.caller_port; "
                      "choose another port");
    }
    if (is_same_endpoint(listen->caller_address, listen->caller_port,
                         listen->peer_address, listen->peer_port)) {
        add_key_error(root, "listen", "peer_port", diagnostics,
                      "same address and port as listen.caller_port; "
                      "choose another port");
    }
    if (is_same_endpoint(listen->admin_address, listen->admin_port,
                         listen->peer_address, listen->peer_port)) {
        add_key_error(root, "listen", "peer_port", diagnostics,
                      "same address and port as listen.admin_port; "
                      "choose another port");
    }
}

static void
check_seeds(const Settings *this, const TomlNode *root,
            Diagnostics *diagnostics)
{
    char own_address[96];

    snprintf(own_address, sizeof(own_address), STR_FORMAT ":%u",
             STR_ARGS(this->listen.peer_address), this->listen.peer_port);
    if (StrList_Contains(&this->peer_seeds, Str_FromC(own_address))) {
        add_key_error(root, "peers", "seeds", diagnostics,
                      "names this host itself; give other hosts only");
    }
}

static void
check_file_pair(const TomlNode *root, Diagnostics *diagnostics,
                const char *table, Str first, const char *first_key,
                Str second, const char *second_key)
{
    char *reason;

    if ((first.length == 0) != (second.length == 0)) {
        const char *missing = first.length == 0 ? first_key : second_key;
        const char *given = first.length == 0 ? second_key : first_key;

        reason = g_strdup_printf("is missing; %s needs it", given);
        add_key_error(root, table, missing, diagnostics, reason);
        g_free(reason);
    }
    if (first.length > 0 && Str_Equal(first, second)) {
        reason = g_strdup_printf("same file as %s; give another", first_key);
        add_key_error(root, table, second_key, diagnostics, reason);
        g_free(reason);
    }
}

static void
check_files(const Settings *this, const TomlNode *root,
            Diagnostics *diagnostics)
{
    const TlsSettings *tls = &this->tls;

    check_file_pair(root, diagnostics, "tls", tls->caller_certificate_file,
                    "caller_certificate_file", tls->caller_key_file,
                    "caller_key_file");
    check_file_pair(root, diagnostics, "tls", tls->admin_certificate_file,
                    "admin_certificate_file", tls->admin_key_file,
                    "admin_key_file");
    check_file_pair(root, diagnostics, "curve", this->curve.public_key_file,
                    "public_key_file", this->curve.secret_key_file,
                    "secret_key_file");
    if (tls->caller_client_ca_file.length > 0 &&
        tls->caller_certificate_file.length == 0) {
        add_key_error(root, "tls", "caller_client_ca_file", diagnostics,
                      "client certificates need caller_certificate_file");
    }
    if (tls->admin_client_ca_file.length > 0 &&
        tls->admin_certificate_file.length == 0) {
        add_key_error(root, "tls", "admin_client_ca_file", diagnostics,
                      "client certificates need admin_certificate_file");
    }
    if (this->curve.peer_keys_file.length > 0 &&
        this->curve.secret_key_file.length == 0) {
        add_key_error(root, "curve", "peer_keys_file", diagnostics,
                      "peer keys need public_key_file and secret_key_file");
    }
}

static void
check_combinations(const Settings *this, const TomlNode *root,
                   Diagnostics *diagnostics)
{
    check_listen(this, root, diagnostics);
    check_seeds(this, root, diagnostics);
    check_files(this, root, diagnostics);
    if (this->snapshot_spread_s >= this->snapshot_interval_s) {
        add_key_error(root, "config", "snapshot_spread_s", diagnostics,
                      "must be less than config.snapshot_interval_s");
    }
}

static bool
is_known_table(Str name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
        if (Str_Equal(name, Str_FromC(tables[i].name))) {
            return true;
        }
    }
    return false;
}

static void
read_tables(Settings *this, const TomlNode *root, Diagnostics *diagnostics)
{
    for (size_t i = 0; i < root->count; i++) {
        const TomlNode *node = &root->children[i];

        if (!is_known_table(node->key)) {
            Diagnostics_Add(diagnostics, node->line, node->column, node->key,
                            "unknown key; remove it or correct its spelling");
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
        Str name = Str_FromC(tables[i].name);

        Fields_Read(tables[i].fields, Toml_Find(root, name), name, this,
                    this->arena, diagnostics);
    }
}

Settings *
Settings_Parse(Str text, Diagnostics *diagnostics)
{
    size_t before = Diagnostics_Count(diagnostics);
    TomlError toml_error;
    Toml *toml = Toml_Parse(text, &toml_error);
    Settings *this;

    if (toml == NULL) {
        Diagnostics_Add(diagnostics, toml_error.line, toml_error.column,
                        STR(""), "%s", toml_error.text);
        return NULL;
    }
    this = g_new0(Settings, 1);
    this->arena = Arena_Create();
    set_defaults(this);
    read_tables(this, Toml_Root(toml), diagnostics);
    check_combinations(this, Toml_Root(toml), diagnostics);
    Toml_Destroy(toml);
    if (Diagnostics_Count(diagnostics) > before) {
        Settings_Destroy(this);
        return NULL;
    }
    return this;
}

GString *
Settings_ReadText(const char *path, Diagnostics *diagnostics)
{
    FILE *file = fopen(path, "rb");
    GString *text;
    char block[4096];
    size_t length;

    if (file == NULL) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""),
                        "file cannot be opened: %s", g_strerror(errno));
        return NULL;
    }
    text = g_string_new(NULL);
    while (text->len <= SETTINGS_BYTES_MAX &&
           (length = fread(block, 1, sizeof(block), file)) > 0) {
        g_string_append_len(text, block, (gssize)length);
    }
    if (ferror(file) || text->len > SETTINGS_BYTES_MAX) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""),
                        "file cannot be read, or is longer than %d bytes",
                        SETTINGS_BYTES_MAX);
        g_string_free(text, TRUE);
        text = NULL;
    }
    fclose(file);
    return text;
}

Settings *
Settings_ReadFile(const char *path, Diagnostics *diagnostics)
{
    GString *text = Settings_ReadText(path, diagnostics);
    Settings *this;

    if (text == NULL) {
        return NULL;
    }
    this = Settings_Parse(Str_FromString(text), diagnostics);
    g_string_free(text, TRUE);
    return this;
}

void
Settings_Destroy(Settings *this)
{
    if (this == NULL) {
        return;
    }
    Arena_Destroy(this->arena);
    g_free(this);
}

const char *
Settings_PolicyName(uint32_t policy)
{
    return policy < G_N_ELEMENTS(policy_names) - 1 ? policy_names[policy]
                                                   : "unknown";
}
