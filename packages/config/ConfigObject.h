#ifndef AGATECRANK_CONFIG_CONFIGOBJECT_H
#define AGATECRANK_CONFIG_CONFIGOBJECT_H

#include "Fields.h"

typedef enum ConfigKind_ {
    CONFIG_LINE,
    CONFIG_SERVICE,
    CONFIG_CALLER,
    CONFIG_SELECTOR,
    CONFIG_OPERATOR,
    CONFIG_KIND_COUNT,
} ConfigKind;

/** struct ConfigLine_ - a product line */
typedef struct ConfigLine_ {
    uint32_t weight; /* relative to other lines, for each service */
} ConfigLine;

/** struct ConfigService_ - a service and its load probe budget */
typedef struct ConfigService_ {
    uint32_t slots;                /* concurrent requests per upstream */
    uint32_t connections;          /* per upstream, sum of all hosts */
    uint32_t probe_requests_per_s; /* sum of all hosts */
    uint32_t probe_bytes_per_s;    /* sum of all hosts */
    double probe_time_share;       /* fraction of upstream time, 0 to 1 */
    bool require_key;
    StrList idempotent_methods;
    StrList drained; /* ids of upstreams that get no new requests */
} ConfigService;

/** struct ConfigCaller_ - a caller, identified by token or certificate */
typedef struct ConfigCaller_ {
    Str line;
    Key32 token_sha256;       /* of the bearer token */
    Key32 certificate_sha256; /* of the DER client certificate */
    Labels labels;
} ConfigCaller;

/** struct ConfigSelector_ - rule for which callers may use which upstreams */
typedef struct ConfigSelector_ {
    Str line;
    Labels callers; /* all must match; empty selects every caller */
    Str service;
    Labels upstreams;     /* all must match; empty selects every upstream */
    uint32_t share;       /* percent of the line's own share, 1 to 100 */
    uint32_t deadline_ms; /* upper limit for one request */
} ConfigSelector;

/** struct ConfigOperator_ - an account that may publish changes */
typedef struct ConfigOperator_ {
    Key32 public_key; /* Ed25519 */
    StrList lines;    /* lines it may change; ["*"]: all objects */
} ConfigOperator;

/**
 * struct ConfigObject_ - one object of the configuration
 * @kind: selects the member of the union
 * @name: unique among objects of its kind
 * @document_line: line in the document, from 1
 */
typedef struct ConfigObject_ {
    ConfigKind kind;
    Str name;
    uint32_t document_line;
    union {
        ConfigLine product_line;
        ConfigService service;
        ConfigCaller caller;
        ConfigSelector selector;
        ConfigOperator operator_;
    };
} ConfigObject;

/** ConfigObject_KindName() - name of a kind, such as "selector" */
const char *ConfigObject_KindName(ConfigKind kind);

/** ConfigObject_FindKind() - kind by name, CONFIG_KIND_COUNT if unknown */
ConfigKind ConfigObject_FindKind(Str word);

/** ConfigObject_Fields() - field descriptions of a kind, see Fields.h */
const Field *ConfigObject_Fields(ConfigKind kind);

/** ConfigObject_Init() - clear @this and set the defaults of @kind */
void ConfigObject_Init(ConfigObject *this, ConfigKind kind, Str name);

/**
 * ConfigObject_OwningLine() - product line that the object belongs to
 *
 * Operators with rights on this line may change the object.
 *
 * Return: name of the line; empty for services and operators, which belong to
 * no line.
 */
Str ConfigObject_OwningLine(const ConfigObject *this);

/** ConfigObject_IsGlobalOperator() - true if it is an operator of ["*"] */
bool ConfigObject_IsGlobalOperator(const ConfigObject *this);

/** ConfigObject_Write() - append the object as a TOML table */
void ConfigObject_Write(const ConfigObject *this, GString *out);

#endif
