#include "GatewaySettings.h"

#include <glib.h>
#include <string.h>

#include "EventLog.h"
#include "Fields.h"

/* Applies to routine lines only; rejections and failures add a few per
 * second. */
#define DECISION_LINES_DEFAULT_PER_S 20
#define DRAIN_TIME_DEFAULT_US (2 * MICROS_PER_S)
#define STOP_TIME_DEFAULT_US (6 * MICROS_PER_S)
#define RETRY_WINDOW_DEFAULT_US (10 * MICROS_PER_S)
#define RETRY_SHARE_DEFAULT_RATIO 0.2

#define LINK_MAX_MBPS 1000000
#define MEMORY_DEFAULT_MB 260
#define MEMORY_MIN_MB 32
#define MEMORY_MAX_MB 1048576
#define DESCRIPTORS_DEFAULT 4100
#define DESCRIPTORS_MIN 512
#define DESCRIPTORS_MAX 1048576

#define FIELDS_END                                                            \
    {                                                                         \
        NULL, 0, 0, false, 0, 0, NULL                                         \
    }

/* The table [gateway] before its addresses are parsed. */
typedef struct GatewayTable_ {
    Str callers;
    Str readiness;
    Str metrics;
    Str relay;
    Str forward;
    Str store;
    StrList seeds;
    double link_mbps;
    double memory_mb;
    uint32_t descriptors_max;
    bool first_start;
} GatewayTable;

/* In the order of enum LogLevel. */
static const char *const level_names[] = {"error", "warn", "info", "debug",
                                          NULL};

static const Field host_fields[] = {
    {"id", FIELD_NAME, offsetof(GatewaySettings, host_id), true, 0, 0, NULL},
    {"domain", FIELD_NAME, offsetof(GatewaySettings, domain), true, 0, 0,
     NULL},
    {"region", FIELD_NAME, offsetof(GatewaySettings, region), false, 0, 0,
     NULL},
    FIELDS_END,
};

static const Field gateway_fields[] = {
    {"callers", FIELD_TEXT, offsetof(GatewayTable, callers), true, 0, 0, NULL},
    {"readiness", FIELD_TEXT, offsetof(GatewayTable, readiness), true, 0, 0,
     NULL},
    {"metrics", FIELD_TEXT, offsetof(GatewayTable, metrics), true, 0, 0, NULL},
    {"relay", FIELD_TEXT, offsetof(GatewayTable, relay), true, 0, 0, NULL},
    {"forward", FIELD_TEXT, offsetof(GatewayTable, forward), false, 0, 0,
     NULL},
    {"store", FIELD_TEXT, offsetof(GatewayTable, store), true, 0, 0, NULL},
    {"seeds", FIELD_ENDPOINTS, offsetof(GatewayTable, seeds), false, 0, 0,
     NULL},
    {"link_mbps", FIELD_REAL, offsetof(GatewayTable, link_mbps), false, 0,
     LINK_MAX_MBPS, NULL},
    {"memory_mb", FIELD_REAL, offsetof(GatewayTable, memory_mb), false,
     MEMORY_MIN_MB, MEMORY_MAX_MB, NULL},
    {"descriptors_max", FIELD_U32, offsetof(GatewayTable, descriptors_max),
     false, DESCRIPTORS_MIN, DESCRIPTORS_MAX, NULL},
    {"first_start", FIELD_BOOL, offsetof(GatewayTable, first_start), false, 0,
     0, NULL},
    FIELDS_END,
};

static const Field logging_fields[] = {
    {"level", FIELD_ENUM, offsetof(GatewaySettings, log_level), false, 0, 0,
     level_names},
    {"decision_lines_per_s", FIELD_U32,
     offsetof(GatewaySettings, decision_lines_per_s), false, 1, 1000000, NULL},
    FIELDS_END,
};

static const char *const table_names[] = {"host", "gateway", "logging",
                                          "bounds", NULL};

bool
GatewaySettings_Recognizes(Str text)
{
    Toml *toml = Toml_Parse(text, NULL);
    bool found =
        toml != NULL && Toml_Find(Toml_Root(toml), STR("gateway")) != NULL;

    if (toml != NULL) {
        Toml_Destroy(toml);
    }
    return found;
}

static void
check_tables(const TomlNode *root, Diagnostics *diagnostics)
{
    for (size_t i = 0; i < root->count; i++) {
        const TomlNode *node = &root->children[i];
        bool known = false;

        for (size_t k = 0; table_names[k] != NULL; k++) {
            known = known || Str_Equal(node->key, Str_FromC(table_names[k]));
        }
        if (!known) {
            Diagnostics_Add(diagnostics, node->line, node->column, node->key,
                            "unknown key; remove it or correct its spelling");
        }
    }
}

static void
read_address(const TomlNode *table, const char *key, Str text,
             Endpoint *endpoint, Diagnostics *diagnostics)
{
    const TomlNode *node =
        table != NULL ? Toml_Find(table, Str_FromC(key)) : NULL;

    if (node != NULL && text.length > 0 &&
        Endpoint_Parse(text, endpoint) < 0) {
        Diagnostics_Add(diagnostics, node->line, node->column, Str_FromC(key),
                        "must be \"ADDRESS:PORT\" with an IPv4 address");
    }
}

static bool
is_same_endpoint(const Endpoint *a, const Endpoint *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

static bool
listens_on(const GatewaySettings *this, const Endpoint *endpoint)
{
    return is_same_endpoint(endpoint, &this->callers) ||
           is_same_endpoint(endpoint, &this->readiness) ||
           is_same_endpoint(endpoint, &this->metrics) ||
           is_same_endpoint(endpoint, &this->relay);
}

/* Other hosts know the address of the relay only. By default the port is the
 * one below the relay's, unless it is taken. */
static void
read_forward(GatewaySettings *this, const TomlNode *table, Str text,
             Diagnostics *diagnostics)
{
    const TomlNode *node =
        table != NULL ? Toml_Find(table, STR("forward")) : NULL;

    if (node == NULL) {
        this->forward = this->relay;
        this->forward.port = this->relay.port > 0 ? this->relay.port - 1 : 0;
        if (listens_on(this, &this->forward)) {
            this->forward.port = 0;
        }
        return;
    }
    if (Endpoint_Parse(text, &this->forward) < 0 || this->forward.port == 0 ||
        listens_on(this, &this->forward) ||
        strcmp(this->forward.address, this->relay.address) != 0) {
        Diagnostics_Add(
            diagnostics, node->line, node->column, STR("forward"),
            "must be \"ADDRESS:PORT\" with the address of relay and "
            "a port of its own");
    }
}

/* Relays of all hosts listen on the same port, and the platform may name
 * another one of the seeds. */
static void
read_seeds(GatewaySettings *this, const TomlNode *table,
           const StrList *addresses, Diagnostics *diagnostics)
{
    Endpoint *seeds =
        Arena_Alloc(this->arena, addresses->count * sizeof(Endpoint));

    for (size_t i = 0; i < addresses->count; i++) {
        read_address(table, "seeds", addresses->items[i], &seeds[i],
                     diagnostics);
        seeds[i].port = this->relay.port;
    }
    this->seeds = seeds;
    this->seed_count = addresses->count;
}

static void
read_document(GatewaySettings *this, const TomlNode *root,
              GatewayBoundsReader *read_bounds, Diagnostics *diagnostics)
{
    const TomlNode *gateway = Toml_Find(root, STR("gateway"));
    GatewayTable table = {
        .memory_mb = MEMORY_DEFAULT_MB,
        .descriptors_max = DESCRIPTORS_DEFAULT,
    };

    check_tables(root, diagnostics);
    Fields_Read(host_fields, Toml_Find(root, STR("host")), STR("host"), this,
                this->arena, diagnostics);
    Fields_Read(gateway_fields, gateway, STR("gateway"), &table, this->arena,
                diagnostics);
    Fields_Read(logging_fields, Toml_Find(root, STR("logging")),
                STR("logging"), this, this->arena, diagnostics);
    this->first_start = table.first_start;
    this->link_mbps = (uint32_t)table.link_mbps;
    this->memory_mb = (uint32_t)table.memory_mb;
    this->descriptors_max = table.descriptors_max;
    read_address(gateway, "callers", table.callers, &this->callers,
                 diagnostics);
    read_address(gateway, "readiness", table.readiness, &this->readiness,
                 diagnostics);
    read_address(gateway, "metrics", table.metrics, &this->metrics,
                 diagnostics);
    read_address(gateway, "relay", table.relay, &this->relay, diagnostics);
    read_forward(this, gateway, table.forward, diagnostics);
    read_address(gateway, "store", table.store, &this->store, diagnostics);
    read_seeds(this, gateway, &table.seeds, diagnostics);
    read_bounds(Toml_Find(root, STR("bounds")), &this->bounds, diagnostics);
}

GatewaySettings *
GatewaySettings_Parse(Str text, GatewayBoundsReader *read_bounds,
                      Diagnostics *diagnostics)
{
    size_t before = Diagnostics_Count(diagnostics);
    TomlError toml_error;
    Toml *toml = Toml_Parse(text, &toml_error);
    GatewaySettings *this;

    if (toml == NULL) {
        Diagnostics_Add(diagnostics, toml_error.line, toml_error.column,
                        STR(""), "%s", toml_error.text);
        return NULL;
    }
    this = g_new0(GatewaySettings, 1);
    this->arena = Arena_Create();
    this->log_level = LOG_LEVEL_INFO;
    this->decision_lines_per_s = DECISION_LINES_DEFAULT_PER_S;
    this->bounds = (GatewayBounds){
        .drain_time = DRAIN_TIME_DEFAULT_US,
        .stop_time = STOP_TIME_DEFAULT_US,
        .retry_window = RETRY_WINDOW_DEFAULT_US,
        .retry_share = RETRY_SHARE_DEFAULT_RATIO,
    };
    read_document(this, Toml_Root(toml), read_bounds, diagnostics);
    Toml_Destroy(toml);
    if (Diagnostics_Count(diagnostics) > before) {
        GatewaySettings_Destroy(this);
        return NULL;
    }
    return this;
}

void
GatewaySettings_Destroy(GatewaySettings *this)
{
    if (this == NULL) {
        return;
    }
    Arena_Destroy(this->arena);
    g_free(this);
}
