#include "ConfigObject.h"

#include <string.h>

/* Defaults and limits; documented for operators in docs/settings.md. */
#define SLOTS_DEFAULT 6
#define CONNECTIONS_DEFAULT 250
#define PROBE_REQUESTS_PER_S_DEFAULT 20
#define PROBE_BYTES_PER_S_DEFAULT 4000
#define PROBE_TIME_SHARE_DEFAULT 0.001
#define SHARE_DEFAULT 100
#define DEADLINE_DEFAULT_MS 30000
#define DEADLINE_MAX_MS 600000

#define OFFSET(member) offsetof(ConfigObject, member)

static const Field line_fields[] = {
    {"weight", FIELD_U32, OFFSET(product_line.weight), true, 1, 1000000, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

static const Field service_fields[] = {
    {"slots", FIELD_U32, OFFSET(service.slots), false, 1, 65535, NULL},
    {"connections", FIELD_U32, OFFSET(service.connections), false, 1, 65535,
     NULL},
    {"probe_requests_per_s", FIELD_U32, OFFSET(service.probe_requests_per_s),
     false, 0, 1000000, NULL},
    {"probe_bytes_per_s", FIELD_U32, OFFSET(service.probe_bytes_per_s), false,
     0, 1000000000, NULL},
    {"probe_time_share", FIELD_REAL, OFFSET(service.probe_time_share), false,
     0, 1, NULL},
    {"require_key", FIELD_BOOL, OFFSET(service.require_key), false, 0, 0,
     NULL},
    {"idempotent_methods", FIELD_NAMES, OFFSET(service.idempotent_methods),
     false, 0, 0, NULL},
    {"drained", FIELD_NAMES, OFFSET(service.drained), false, 0, 0, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

static const Field caller_fields[] = {
    {"line", FIELD_NAME, OFFSET(caller.line), true, 0, 0, NULL},
    {"token_sha256", FIELD_HEX32, OFFSET(caller.token_sha256), false, 0, 0,
     NULL},
    {"certificate_sha256", FIELD_HEX32, OFFSET(caller.certificate_sha256),
     false, 0, 0, NULL},
    {"labels", FIELD_LABELS, OFFSET(caller.labels), false, 0, 0, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

static const Field selector_fields[] = {
    {"line", FIELD_NAME, OFFSET(selector.line), true, 0, 0, NULL},
    {"callers", FIELD_LABELS, OFFSET(selector.callers), false, 0, 0, NULL},
    {"service", FIELD_NAME, OFFSET(selector.service), true, 0, 0, NULL},
    {"upstreams", FIELD_LABELS, OFFSET(selector.upstreams), false, 0, 0, NULL},
    {"share", FIELD_U32, OFFSET(selector.share), false, 1, 100, NULL},
    {"deadline_ms", FIELD_U32, OFFSET(selector.deadline_ms), false, 1,
     DEADLINE_MAX_MS, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

static const Field operator_fields[] = {
    {"public_key", FIELD_BASE64, OFFSET(operator_.public_key), true, 0, 0,
     NULL},
    {"lines", FIELD_NAMES, OFFSET(operator_.lines), true, 0, 0, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

static const struct {
    const char *name;
    const Field *fields;
} kinds[CONFIG_KIND_COUNT] = {
    [CONFIG_LINE] = {"line", line_fields},
    [CONFIG_SERVICE] = {"service", service_fields},
    [CONFIG_CALLER] = {"caller", caller_fields},
    [CONFIG_SELECTOR] = {"selector", selector_fields},
    [CONFIG_OPERATOR] = {"operator", operator_fields},
};

const char *
ConfigObject_KindName(ConfigKind kind)
{
    return kinds[kind].name;
}

ConfigKind
ConfigObject_FindKind(Str word)
{
    ConfigKind kind = CONFIG_LINE;

    while (kind < CONFIG_KIND_COUNT &&
           !Str_Equal(word, Str_FromC(kinds[kind].name))) {
        kind++;
    }
    return kind;
}

const Field *
ConfigObject_Fields(ConfigKind kind)
{
    return kinds[kind].fields;
}

void
ConfigObject_Init(ConfigObject *this, ConfigKind kind, Str name)
{
    static const Str methods[] = {{"GET", 3}, {"HEAD", 4}};

    memset(this, 0, sizeof(*this));
    this->kind = kind;
    this->name = name;
    switch (kind) {
    case CONFIG_SERVICE:
        this->service.slots = SLOTS_DEFAULT;
        this->service.connections = CONNECTIONS_DEFAULT;
        this->service.probe_requests_per_s = PROBE_REQUESTS_PER_S_DEFAULT;
        this->service.probe_bytes_per_s = PROBE_BYTES_PER_S_DEFAULT;
        this->service.probe_time_share = PROBE_TIME_SHARE_DEFAULT;
        this->service.idempotent_methods = (StrList){methods, 2};
        return;
    case CONFIG_SELECTOR:
        this->selector.share = SHARE_DEFAULT;
        this->selector.deadline_ms = DEADLINE_DEFAULT_MS;
        return;
    default:
        return;
    }
}

Str
ConfigObject_OwningLine(const ConfigObject *this)
{
    switch (this->kind) {
    case CONFIG_LINE:
        return this->name;
    case CONFIG_CALLER:
        return this->caller.line;
    case CONFIG_SELECTOR:
        return this->selector.line;
    default:
        return STR("");
    }
}

bool
ConfigObject_IsGlobalOperator(const ConfigObject *this)
{
    return this->kind == CONFIG_OPERATOR &&
           StrList_Contains(&this->operator_.lines, STR("*"));
}

static void
write_fields(const ConfigObject *this, GString *out)
{
    for (const Field *field = kinds[this->kind].fields; field->key != NULL;
         field++) {
        Fields_Write(field, this, out);
    }
}

void
ConfigObject_Write(const ConfigObject *this, GString *out)
{
    g_string_append_printf(out, "[%s.\"" STR_FORMAT "\"]\n",
                           kinds[this->kind].name, STR_ARGS(this->name));
    write_fields(this, out);
}
