#ifndef AGATECRANK_CONFIG_CONFIGSTATE_H
#define AGATECRANK_CONFIG_CONFIGSTATE_H

#include "Clock.h"
#include "ConfigDocument.h"
#include "Publication.h"

/** enum ConfigOutcome_ - result of applying one record */
typedef enum ConfigOutcome_ {
    CONFIG_ACCEPTED,
    CONFIG_DUPLICATE, /* id already used by this author; not applied */
    CONFIG_STALE,     /* an object it changes was changed after its base */
    CONFIG_EXPIRED,   /* base older than the history kept of the author */
    CONFIG_DENIED,    /* author lacks the permission for an object */
    CONFIG_REFERENCE, /* refers to a missing object, or deletes one in use */
    CONFIG_INVALID,   /* the document has errors */
    CONFIG_FULL,      /* a limit on the number of objects is reached */
    CONFIG_FORGED,    /* unknown author or wrong signature; not in history */
    CONFIG_MALFORMED, /* not a signed envelope; not in history */
    CONFIG_OUTCOME_COUNT,
} ConfigOutcome;

/**
 * struct ConfigVerdict_ - outcome of one record, reported to its author
 * @offset: offset of the record in the config stream
 * @author: operator that published it; empty if the record is malformed
 * @id: id that the author gave to the publication
 * @text: reason of a rejection; for a stale publication also the difference
 *        to the present configuration; may be empty
 */
typedef struct ConfigVerdict_ {
    ConfigOutcome outcome;
    uint64_t offset;
    char author[CONFIG_NAME_MAX + 1];
    char id[CONFIG_NAME_MAX + 1];
    GString *text;
} ConfigVerdict;

/** ConfigVerdict_Init() - initialize a verdict before its first use */
void ConfigVerdict_Init(ConfigVerdict *this);

/** ConfigVerdict_Clear() - free the text */
void ConfigVerdict_Clear(ConfigVerdict *this);

/** ConfigVerdict_Name() - stable lower-case name of an outcome */
const char *ConfigVerdict_Name(ConfigOutcome outcome);

/**
 * enum ConfigTestFault_ - faults that a test injects
 *
 * Each bit disables one check, and the test fails if its checker does not
 * detect that.
 */
typedef enum ConfigTestFault_ {
    CONFIG_FAULT_STALE_BASE = 1,   /* accepts a stale base */
    CONFIG_FAULT_OLD_SNAPSHOT = 2, /* loads an older snapshot */
    CONFIG_FAULT_DUPLICATE = 4,    /* applies a duplicate again */
    CONFIG_FAULT_SIGNATURE = 8,    /* does not check signatures */
    CONFIG_FAULT_PERMISSIONS = 16, /* lets every operator change all lines */
    CONFIG_FAULT_SKIP_PEERS = 32,  /* becomes ready without peers */
    CONFIG_FAULT_BEYOND_LOG = 64,  /* loads snapshots beyond the log's end */
} ConfigTestFault;

/** struct ConfigOptions_ - bootstrap keys and limits of a state */
typedef struct ConfigOptions_ {
    Key32List bootstrap_keys; /* copied */
    size_t objects_max;       /* 0: CONFIG_OBJECTS_MAX */
    size_t line_objects_max;  /* per line; 0: CONFIG_LINE_OBJECTS_MAX */
    size_t author_bytes_max;  /* 0: CONFIG_AUTHOR_BYTES_MAX */
    size_t tombstones_max;    /* 0: CONFIG_TOMBSTONES_MAX */
    size_t history_max;       /* per operator; 0: CONFIG_HISTORY_MAX */
    uint32_t test_faults;     /* ConfigTestFault bits, 0 outside of tests */
} ConfigOptions;

/* Outcomes depend on these limits: they must be equal on every host. */
#define CONFIG_OBJECTS_MAX 65536
/* Callers and selectors of a line: one line cannot use up all objects. */
#define CONFIG_LINE_OBJECTS_MAX 4096
/* Total size of the records above CONFIG_LARGE_RECORD_BYTES that the operator
 * of a line can make all hosts keep. A record is kept whole, for its
 * signature, while one of its objects is in force, so a few objects could
 * keep many large records. */
#define CONFIG_AUTHOR_BYTES_MAX (4 * 1024 * 1024)
#define CONFIG_LARGE_RECORD_BYTES 4096
#define CONFIG_TOMBSTONES_MAX 4096
#define CONFIG_HISTORY_MAX 256

/**
 * struct CallerGrant_ - permission of a caller to use a service
 * @selector: selector that admits the caller
 * @deadline: upper limit of the time of one request
 * @upstreams: labels that an upstream must have
 * @share: percentage of the line's share
 *
 * Pointers are valid until the next change of the state.
 */
typedef struct CallerGrant_ {
    const ConfigObject *line;
    const ConfigObject *caller;
    const ConfigObject *selector;
    const ConfigObject *service;
    Micros deadline;
    Labels upstreams;
    uint32_t share;
} CallerGrant;

/** typedef ConfigState - configuration at one offset of the config stream */
typedef struct ConfigState_ ConfigState;

/** ConfigState_Create() - create an empty state at offset 0 */
ConfigState *ConfigState_Create(const ConfigOptions *options);

/** ConfigState_Destroy() - free the state; NULL is accepted */
void ConfigState_Destroy(ConfigState *this);

/** ConfigState_Clone() - create a copy; immutable records are shared */
ConfigState *ConfigState_Clone(const ConfigState *this);

/**
 * ConfigState_Apply() - apply the record at @offset of the config stream
 * @offset: must be ConfigState_Offset(); records have consecutive offsets
 * @verdict: initialized verdict that receives the outcome; may be NULL
 * @error: set if the record is not accepted; may be NULL
 *
 * Return: 0 if the record is accepted or a duplicate. ERR_EXPIRED: the
 * offset was applied already. ERR_NOT_FOUND: records before it are missing.
 * These two leave the state unchanged. Any other code means that the record
 * is rejected; it depends on the outcome, and the offset advances.
 */
int ConfigState_Apply(ConfigState *this, uint64_t offset, Str record,
                      ConfigVerdict *verdict, Error *error);

/**
 * ConfigState_Preview() - apply a publication to a copy of the state
 *
 * Used by --dry-run. Checks all rules except the signature, including the
 * author's permissions.
 *
 * Return: the resulting state, or NULL if the publication would be rejected.
 */
ConfigState *ConfigState_Preview(const ConfigState *this,
                                 const Publication *publication,
                                 ConfigVerdict *verdict, Error *error);

/** ConfigState_Offset() - offset of the next record to apply */
uint64_t ConfigState_Offset(const ConfigState *this);

/** ConfigState_Digest() - hash chain over all records from offset 0 */
const uint8_t *ConfigState_Digest(const ConfigState *this);

/** ConfigState_AcceptedOffset() - last accepted record's offset + 1, or 0 */
uint64_t ConfigState_AcceptedOffset(const ConfigState *this);

/** ConfigState_Find() - object of @kind and @name, or NULL */
const ConfigObject *ConfigState_Find(const ConfigState *this, ConfigKind kind,
                                     Str name);

/** ConfigState_FindService() - service @name, or NULL */
const ConfigService *ConfigState_FindService(const ConfigState *this,
                                             Str name);

/**
 * ConfigState_ChangeOffset() - lowest base for a change of an object
 *
 * Return: the offset of the object's last change or deletion plus 1. For an
 * object that never existed or whose deletion is no longer kept, the same of
 * the newest deletion that is no longer kept; 0 if there is none.
 */
uint64_t ConfigState_ChangeOffset(const ConfigState *this, ConfigKind kind,
                                  Str name);

/** ConfigState_Count() - number of existing objects of @kind */
size_t ConfigState_Count(const ConfigState *this, ConfigKind kind);

/** struct ConfigCursor_ - position of an iteration; all zero at the start */
typedef struct ConfigCursor_ {
    void *next;
    bool started;
} ConfigCursor;

/** ConfigState_Next() - next object in byte order of names, or NULL */
const ConfigObject *ConfigState_Next(const ConfigState *this, ConfigKind kind,
                                     ConfigCursor *cursor);

/**
 * ConfigState_Admit() - look up the permission of a caller for a service
 * @token_sha256: the 32 bytes of the SHA-256 of its bearer token
 *
 * Considers the selectors of the caller's line for the service whose caller
 * labels all match. Uses the one with the most caller labels; of several
 * such selectors the first in byte order of names.
 *
 * Return: 0; ERR_DENIED: unknown token, or no selector matches;
 * ERR_NOT_FOUND: no such service.
 */
int ConfigState_Admit(const ConfigState *this, Str token_sha256, Str service,
                      CallerGrant *grant);

/** ConfigState_AdmitCertificate() - same, by SHA-256 of a DER certificate */
int ConfigState_AdmitCertificate(const ConfigState *this,
                                 Str certificate_sha256, Str service,
                                 CallerGrant *grant);

/** ConfigState_Select() - same as ConfigState_Admit() for a known caller */
int ConfigState_Select(const ConfigState *this, const ConfigObject *caller,
                       Str service, CallerGrant *grant);

/**
 * ConfigState_Verdict() - outcome of a publication
 *
 * Snapshots do not contain the text: it is empty on a host that has loaded a
 * snapshot taken after the record.
 *
 * Return: 0 with @verdict filled, or ERR_NOT_FOUND if no record with this id
 * is in the history of the author.
 */
int ConfigState_Verdict(const ConfigState *this, Str author, Str id,
                        ConfigVerdict *verdict);

/**
 * ConfigState_History() - one outcome in the history of an operator
 * @index: 0 is the oldest
 *
 * Return: 0 with @verdict filled, or ERR_NOT_FOUND past the newest outcome.
 */
int ConfigState_History(const ConfigState *this, Str author, size_t index,
                        ConfigVerdict *verdict);

/** ConfigState_WriteSnapshot() - append the whole state as text to @out */
int ConfigState_WriteSnapshot(const ConfigState *this, GString *out);

/**
 * ConfigState_LoadSnapshot() - replace the state with a newer snapshot
 *
 * Return: 0. ERR_EXPIRED: not newer than the state. ERR_PARSE: damaged.
 * ERR_DENIED: a signature is wrong or a permission is missing. ERR_CONFLICT:
 * it would revert a change. The state is unchanged unless 0 is returned.
 */
int ConfigState_LoadSnapshot(ConfigState *this, Str snapshot, Error *error);

/**
 * ConfigState_SnapshotOffset() - read the offset that a snapshot states
 *
 * The offset is not authenticated: signatures do not cover it.
 *
 * Return: 0 or ERR_PARSE.
 */
int ConfigState_SnapshotOffset(Str snapshot, uint64_t *offset);

/**
 * ConfigState_CheckSnapshot() - validate a snapshot without loading it
 *
 * Checks the signatures and permissions, and that it lacks no change that
 * this state contains. Accepts any offset, also an older one.
 *
 * Return: as ConfigState_LoadSnapshot().
 */
int ConfigState_CheckSnapshot(const ConfigState *this, Str snapshot,
                              Error *error);

#endif
