#ifndef AGATECRANK_CONFIG_CONFIGSTATE_H
#define AGATECRANK_CONFIG_CONFIGSTATE_H

#include "Clock.h"
#include "ConfigDocument.h"
#include "Publication.h"

/** enum ConfigOutcome_ - what became of one record */
typedef enum ConfigOutcome_ {
    CONFIG_ACCEPTED,
    CONFIG_DUPLICATE, /* this author's id was seen before; counts once */
    CONFIG_STALE,     /* an object it touches changed after its base */
    CONFIG_EXPIRED,   /* base older than what is remembered of the author */
    CONFIG_DENIED,    /* the author may not change one of the objects */
    CONFIG_REFERENCE, /* names a missing object, or deletes one in use */
    CONFIG_INVALID,   /* the document itself is at fault */
    CONFIG_FULL,      /* a bound on the number of objects is reached */
    CONFIG_FORGED,    /* unknown author or wrong signature; not recorded */
    CONFIG_MALFORMED, /* not an envelope; not recorded */
    CONFIG_OUTCOME_COUNT, /* number of outcomes */
} ConfigOutcome;

/**
 * struct ConfigVerdict_ - outcome of one record, for its author
 * @text: reason, and the difference after a lost race; may be empty
 */
typedef struct ConfigVerdict_ {
    ConfigOutcome outcome;
    uint64_t offset;
    char author[CONFIG_NAME_MAX + 1];
    char id[CONFIG_NAME_MAX + 1];
    GString *text;
} ConfigVerdict;

/** ConfigVerdict_Init() - must precede the first use of a verdict */
void ConfigVerdict_Init(ConfigVerdict *this);

/** ConfigVerdict_Clear() - release the text */
void ConfigVerdict_Clear(ConfigVerdict *this);

/** ConfigVerdict_Name() - stable lower-case word of an outcome */
const char *ConfigVerdict_Name(ConfigOutcome outcome);

/** enum ConfigTestFault_ - rules left out so that a checker must notice */
typedef enum ConfigTestFault_ {
    CONFIG_FAULT_STALE_BASE = 1,   /* accepts a stale base */
    CONFIG_FAULT_OLD_SNAPSHOT = 2, /* loads an older snapshot */
    CONFIG_FAULT_DUPLICATE = 4,    /* counts a repeated append again */
    CONFIG_FAULT_SIGNATURE = 8,    /* does not check signatures */
    CONFIG_FAULT_PERMISSIONS = 16, /* lets every operator change all lines */
    CONFIG_FAULT_SKIP_PEERS = 32,  /* starts without asking peers */
    CONFIG_FAULT_BEYOND_LOG = 64,  /* loads snapshots from beyond the log */
} ConfigTestFault;

/** struct ConfigOptions_ - what a state is created with */
typedef struct ConfigOptions_ {
    Key32List bootstrap_keys; /* copied */
    size_t objects_max;       /* 0: CONFIG_OBJECTS_MAX */
    size_t line_objects_max;  /* of each line; 0: CONFIG_LINE_OBJECTS_MAX */
    size_t author_bytes_max;  /* see CONFIG_AUTHOR_BYTES_MAX, its default */
    size_t tombstones_max;    /* 0: CONFIG_TOMBSTONES_MAX */
    size_t history_max;       /* of each operator; 0: CONFIG_HISTORY_MAX */
    uint32_t test_faults;     /* ConfigTestFault bits, 0 outside of tests */
} ConfigOptions;

/* These bounds decide verdicts and must be the same on every host. */
#define CONFIG_OBJECTS_MAX 65536
/* Callers and selectors of a line: one line can not use up all objects. */
#define CONFIG_LINE_OBJECTS_MAX 4096
/* Records over CONFIG_LARGE_RECORD_BYTES that one line's operator can make all
 * hosts keep. A record stays whole, for its signature, as long as one of its
 * objects is in force, so a few objects could keep many large records. */
#define CONFIG_AUTHOR_BYTES_MAX (4 * 1024 * 1024)
#define CONFIG_LARGE_RECORD_BYTES 4096
#define CONFIG_TOMBSTONES_MAX 4096
#define CONFIG_HISTORY_MAX 256

/**
 * struct CallerGrant_ - what a caller may do at a service
 *
 * Pointers are valid until the state next changes.
 */
typedef struct CallerGrant_ {
    const ConfigObject *line;
    const ConfigObject *caller;
    const ConfigObject *selector;
    const ConfigObject *service;
    Micros deadline;  /* cap on the time of one request */
    Labels upstreams; /* labels that an upstream must have */
    uint32_t share;   /* per cent of the line's share */
} CallerGrant;

/** typedef ConfigState - the configuration at one offset of the log */
typedef struct ConfigState_ ConfigState;

/** ConfigState_Create() - empty, at offset 0 */
ConfigState *ConfigState_Create(const ConfigOptions *options);

/** ConfigState_Destroy() - release the state */
void ConfigState_Destroy(ConfigState *this);

/** ConfigState_Clone() - independent copy that shares immutable records */
ConfigState *ConfigState_Clone(const ConfigState *this);

/**
 * ConfigState_Apply() - take the record at @offset of the config stream
 * @offset: must be ConfigState_Offset(); records have consecutive offsets
 * @verdict: initialized; receives the outcome; may be NULL
 * @error: filled if the record is not accepted; may be NULL
 *
 * Return: 0 if accepted or a duplicate. ERR_EXPIRED: the offset was applied
 * already. ERR_NOT_FOUND: records before it are missing. With these two the
 * state stays as it is. Otherwise the record is refused, with a code for
 * its outcome, and the offset moves on.
 */
int ConfigState_Apply(ConfigState *this, uint64_t offset, Str record,
                      ConfigVerdict *verdict, Error *error);

/**
 * ConfigState_Preview() - what a publication would do now
 *
 * The signature is not checked; all other rules are, with the author's
 * rights. For --dry-run.
 *
 * Return: the state as it would be, or NULL if it would be refused.
 */
ConfigState *ConfigState_Preview(const ConfigState *this,
                                 const Publication *publication,
                                 ConfigVerdict *verdict, Error *error);

/** ConfigState_Offset() - offset of the next record to apply */
uint64_t ConfigState_Offset(const ConfigState *this);

/** ConfigState_Digest() - digest of all records from offset 0 on */
const uint8_t *ConfigState_Digest(const ConfigState *this);

/** ConfigState_AcceptedOffset() - offset after the last accepted record; 0: none */
uint64_t ConfigState_AcceptedOffset(const ConfigState *this);

/** ConfigState_Find() - object of @kind and @name, or NULL */
const ConfigObject *ConfigState_Find(const ConfigState *this, ConfigKind kind,
                                     Str name);

/** ConfigState_FindService() - service @name, or NULL */
const ConfigService *ConfigState_FindService(const ConfigState *this,
                                             Str name);

/**
 * ConfigState_ChangeOffset() - offset after the object's last change or deletion
 *
 * A publication that touches it needs at least this base. 0 if unknown.
 */
uint64_t ConfigState_ChangeOffset(const ConfigState *this, ConfigKind kind,
                                  Str name);

/** ConfigState_Count() - number of objects of @kind */
size_t ConfigState_Count(const ConfigState *this, ConfigKind kind);

/** struct ConfigCursor_ - place in an iteration; zero it to begin */
typedef struct ConfigCursor_ {
    void *next;
    bool started;
} ConfigCursor;

/** ConfigState_Next() - next object of @kind in byte order of names */
const ConfigObject *ConfigState_Next(const ConfigState *this, ConfigKind kind,
                                     ConfigCursor *cursor);

/**
 * ConfigState_Admit() - find what a caller may use
 * @token_sha256: the 32 bytes of the SHA-256 of its bearer token
 *
 * Of the selectors of the caller's line for the service whose labels all
 * equal the caller's, the one that names the most caller labels counts; of
 * several such ones the first in byte order of names.
 *
 * Return: 0; ERR_DENIED: unknown token, or no selector admits the caller;
 * ERR_NOT_FOUND: no such service.
 */
int ConfigState_Admit(const ConfigState *this, Str token_sha256, Str service,
                      CallerGrant *admitted);

/** ConfigState_AdmitCertificate() - by SHA-256 of the DER certificate */
int ConfigState_AdmitCertificate(const ConfigState *this,
                                 Str certificate_sha256, Str service,
                                 CallerGrant *admitted);

/** ConfigState_Select() - as ConfigState_Admit() for a known caller */
int ConfigState_Select(const ConfigState *this, const ConfigObject *caller,
                       Str service, CallerGrant *admitted);

/**
 * ConfigState_Verdict() - what became of a publication
 *
 * Return: 0, or ERR_NOT_FOUND if no record of this id was applied or it is
 * older than what is remembered. The text is kept by the hosts that applied
 * the record themselves, not by those that loaded a later snapshot.
 */
int ConfigState_Verdict(const ConfigState *this, Str author, Str id,
                        ConfigVerdict *verdict);

/**
 * ConfigState_History() - remembered verdict @index of an operator
 * @index: from 0, the oldest, on
 *
 * Return: 0 with @verdict filled, or ERR_NOT_FOUND past the newest one.
 */
int ConfigState_History(const ConfigState *this, Str author, size_t index,
                        ConfigVerdict *verdict);

/** ConfigState_WriteSnapshot() - append the whole state, see Snapshot.h */
int ConfigState_WriteSnapshot(const ConfigState *this, GString *out);

/**
 * ConfigState_LoadSnapshot() - replace the state by a newer snapshot
 *
 * Return: 0. ERR_EXPIRED: not newer than the state. ERR_PARSE: damaged.
 * ERR_DENIED: a signature or a right is missing. ERR_CONFLICT: it would
 * revert an object. The state is unchanged unless 0 is returned.
 */
int ConfigState_LoadSnapshot(ConfigState *this, Str snapshot, Error *error);

/** ConfigState_SnapshotOffset() - offset that a snapshot claims; 0 or
 * ERR_PARSE */
int ConfigState_SnapshotOffset(Str snapshot, uint64_t *offset);

/**
 * ConfigState_CheckSnapshot() - true signatures and rights, of any offset,
 * and no change left out that this state knows
 *
 * Return: as ConfigState_LoadSnapshot(), which it does not carry out.
 */
int ConfigState_CheckSnapshot(const ConfigState *this, Str snapshot,
                              Error *error);

#endif
