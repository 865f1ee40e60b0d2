#ifndef AGATECRANK_CONFIG_CONFIGOBJECT_H
#define AGATECRANK_CONFIG_CONFIGOBJECT_H

#include "Fields.h"

typedef enum ConfigKind_ {
    CONFIG_LINE,
    CONFIG_SERVICE,
    CONFIG_CALLER,
    CONFIG_SELECTOR,
    CONFIG_OPERATOR,
    CONFIG_KIND_COUNT, /* number of kinds */
} ConfigKind;

/** struct ConfigLine_ - a product line */
typedef struct ConfigLine_ {
    uint32_t weight; /* share of each service, against other lines */
} ConfigLine;

/** struct ConfigService_ - a service and its measuring budget */
typedef struct ConfigService_ {
    uint32_t slots;                /* of each upstream */
    uint32_t connections;          /* to each upstream, all hosts */
    uint32_t probe_requests_per_s; /* all hosts together */
    uint32_t probe_bytes_per_s;    /* all hosts together */
    double probe_time_share;       /* of upstream time, 0 to 1 */
    bool require_key;
    StrList idempotent_methods;
    StrList drained; /* upstreams that get no new requests */
} ConfigService;

/** struct ConfigCaller_ - a caller, found by token or certificate */
typedef struct ConfigCaller_ {
    Str line;
    Key32 token_sha256;       /* of the bearer token */
    Key32 certificate_sha256; /* of the client certificate in DER */
    Labels labels;
} ConfigCaller;

/** struct ConfigSelector_ - which callers may use which upstreams */
typedef struct ConfigSelector_ {
    Str line;
    Labels callers; /* all must equal; empty selects every caller */
    Str service;
    Labels upstreams;     /* all must equal; empty selects every upstream */
    uint32_t share;       /* per cent of the line's own share, 1 to 100 */
    uint32_t deadline_ms; /* cap on the time of one request */
} ConfigSelector;

/** struct ConfigOperator_ - who may publish changes */
typedef struct ConfigOperator_ {
    Key32 public_key; /* Ed25519 */
    StrList lines;    /* "*" alone: everything */
} ConfigOperator;

/**
 * struct ConfigObject_ - one object of the configuration
 * @kind: selects the member of the union
 * @name: unique for its kind
 * @line: line in the document, from 1
 */
typedef struct ConfigObject_ {
    ConfigKind kind;
    Str name;
    uint32_t line;
    union {
        ConfigLine product_line;
        ConfigService service;
        ConfigCaller caller;
        ConfigSelector selector;
        ConfigOperator operator_;
    };
} ConfigObject;

/** ConfigObject_KindName() - word of a kind, such as "selector" */
const char *ConfigObject_KindName(ConfigKind kind);

/** ConfigObject_FindKind() - kind of a word, CONFIG_KIND_COUNT if unknown */
ConfigKind ConfigObject_FindKind(Str word);

/** ConfigObject_Fields() - field list of a kind, see Fields.h */
const Field *ConfigObject_Fields(ConfigKind kind);

/** ConfigObject_Init() - zero @this and set the defaults of @kind */
void ConfigObject_Init(ConfigObject *this, ConfigKind kind, Str name);

/**
 * ConfigObject_OwningLine() - the line that the object belongs to
 *
 * Return: empty for services and operators, which belong to no line.
 */
Str ConfigObject_OwningLine(const ConfigObject *this);

/** ConfigObject_IsGlobalOperator() - an operator with lines = ["*"] */
bool ConfigObject_IsGlobalOperator(const ConfigObject *this);

/** ConfigObject_Write() - append the object as a TOML table */
void ConfigObject_Write(const ConfigObject *this, GString *out);

#endif
