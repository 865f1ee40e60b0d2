#ifndef AGATECRANK_CONFIG_CONFIGSYNC_H
#define AGATECRANK_CONFIG_CONFIGSYNC_H

#include "ConfigState.h"
#include "EventLog.h"
#include "Snapshot.h"
#include "SnapshotSchedule.h"

/** enum ConfigStream_ - streams of the log service that are followed */
typedef enum ConfigStream_ {
    STREAM_CONFIG,
    STREAM_SNAPSHOTS,
} ConfigStream;

/**
 * struct ConfigRecord_ - one record of a stream
 * @time_ms: append time by the log service's clock, ms since 1970; 0 if
 *           unknown (from a peer)
 */
typedef struct ConfigRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    Str data;
} ConfigRecord;

/**
 * struct ConfigFetch_ - request to a peer: records, or a snapshot piece
 * @from: offset of the first record wanted
 * @snapshot: ask for a piece of a snapshot in place of records
 * @digest: snapshot that further pieces are wanted of; all zero: any
 * @index: number of the piece
 */
typedef struct ConfigFetch_ {
    uint64_t from;
    bool snapshot;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t index;
} ConfigFetch;

/**
 * struct ConfigChunk_ - answer to a ConfigFetch
 * @next: ConfigState_Offset() of the peer
 * @before: ConfigState_Digest() of the peer before the first record
 * @snapshot: set: @piece counts; else @records
 */
typedef struct ConfigChunk_ {
    uint64_t next;
    uint8_t before[SNAPSHOT_DIGEST_BYTES];
    bool snapshot;
    SnapshotChunk piece;
    const ConfigRecord *records;
    size_t count;
} ConfigChunk;

typedef enum ConfigActionType_ {
    CONFIG_ACTION_READ,   /* GET from a stream; answer by OnRecords() */
    CONFIG_ACTION_FETCH,  /* ask a live peer; answer by OnChunk() */
    CONFIG_ACTION_APPEND, /* POST to snapshots; answer by OnAppended() */
} ConfigActionType;

/**
 * struct ConfigAction_ - what the driver does next
 *
 * At most one action of each type is under way (one READ for each stream).
 * Pointers are valid until the next call with the same object.
 */
typedef struct ConfigAction_ {
    ConfigActionType type;
    union {
        struct {
            ConfigStream stream;
            uint64_t from;
            uint32_t max;
            uint32_t wait_ms;
        } read;
        struct {
            ConfigFetch request;
            uint64_t choice; /* random; take live peer number choice % n */
        } fetch;
        struct {
            Str record;
        } append;
    };
} ConfigAction;

/** struct ConfigSyncOptions_ - times of the follower */
typedef struct ConfigSyncOptions_ {
    SnapshotScheduleOptions snapshots;
    Micros retry;         /* first delay after a failed read; 0: 200 ms */
    Micros retry_max;     /* longest delay after failed reads; 0: 2 s */
    Micros read_wait;     /* long poll; 0: 5 s */
    Micros peer_after;    /* trust in the log before peers; 0: 300 ms */
    Micros fetch_limit;   /* a peer that does not answer; 0: 250 ms */
    uint32_t read_max;    /* records of one READ; 0: 256 */
    size_t tail_bytes;    /* recent records kept for peers; 0: 1 MiB */
    uint32_t test_faults; /* ConfigTestFault bits, 0 outside of tests */
} ConfigSyncOptions;

/** struct ConfigSyncStatus_ - for metrics and the readiness endpoint */
typedef struct ConfigSyncStatus_ {
    bool ready;
    bool log_up;            /* the last read of the config stream succeeded */
    bool gap;               /* records before the next one have expired */
    bool ahead;             /* the log says it ends before this offset */
    uint64_t offset;        /* next record */
    uint64_t log_next;      /* highest end of the stream that was seen */
    Micros read_age;        /* since the last read that succeeded */
    uint64_t lagging_reads; /* reads that ended before this offset */
    uint64_t diverged;      /* peer answers with another history */
    uint64_t rejected;      /* snapshots that were damaged or not permitted */
    uint64_t from_peers;    /* records applied from peers */
    uint64_t written;       /* snapshots appended */
    const char *reason;     /* why not ready, "" if ready */
} ConfigSyncStatus;

/** typedef ConfigSync - keeps one ConfigState up to date */
typedef struct ConfigSync_ ConfigSync;

/**
 * typedef ConfigSyncApplied - told of each record that was applied
 *
 * Not of the records that a loaded snapshot covers: a user that keeps things
 * derived from the state compares ConfigState_AcceptedOffset() after each event.
 */
typedef void ConfigSyncApplied(void *user, const ConfigVerdict *verdict);

/**
 * ConfigSync_Create() - a follower at the start of a host
 * @state: borrowed; changed only by this object from now on
 * @log: borrowed, may be NULL
 */
ConfigSync *ConfigSync_Create(const ConfigSyncOptions *options,
                              ConfigState *state, const Clock *clock,
                              Random *random, EventLog *log);

/** ConfigSync_Destroy() - release the follower, not the state */
void ConfigSync_Destroy(ConfigSync *this);

/** ConfigSync_SetApplied() - call @applied for each record, may be NULL */
void ConfigSync_SetApplied(ConfigSync *this, ConfigSyncApplied *applied,
                           void *user);

/**
 * ConfigSync_OnRecords() - a READ was answered
 * @first: oldest offset that the log keeps (log-first)
 * @next: offset of the next append (log-next)
 */
void ConfigSync_OnRecords(ConfigSync *this, ConfigStream stream,
                          uint64_t first, uint64_t next,
                          const ConfigRecord *records, size_t count);

/** ConfigSync_OnReadFailed() - a READ failed or took too long */
void ConfigSync_OnReadFailed(ConfigSync *this, ConfigStream stream);

/** ConfigSync_OnChunk() - a FETCH was answered */
void ConfigSync_OnChunk(ConfigSync *this, const ConfigChunk *chunk);

/**
 * ConfigSync_OnFetchFailed() - there is no peer, or the peer says that it is
 * not ready
 *
 * Not to be called when a peer is silent: ConfigSync_OnTick() sees to that.
 */
void ConfigSync_OnFetchFailed(ConfigSync *this);

/** ConfigSync_OnAppended() - an APPEND ended; @code 0 or negative */
void ConfigSync_OnAppended(ConfigSync *this, int code);

/** ConfigSync_OnPeerOffset() - a peer is at @offset (from gossip) */
void ConfigSync_OnPeerOffset(ConfigSync *this, uint64_t offset);

/** ConfigSync_OnTick() - time passed; call every 50 ms or more often */
void ConfigSync_OnTick(ConfigSync *this);

/** ConfigSync_NextAction() - false when there is nothing to do now */
bool ConfigSync_NextAction(ConfigSync *this, ConfigAction *action);

/**
 * ConfigSync_Serve() - answer a peer's FETCH
 *
 * Return: 0 with @chunk filled, valid until the next call; ERR_NOT_FOUND if
 * this host is not ready itself. The peer is told so, and calls
 * ConfigSync_OnFetchFailed().
 */
int ConfigSync_Serve(ConfigSync *this, const ConfigFetch *request,
                     ConfigChunk *chunk);

/** ConfigSync_Ready() - the host may serve callers; never false again */
bool ConfigSync_Ready(const ConfigSync *this);

/** ConfigSync_Status() - figures for metrics and logs */
void ConfigSync_Status(const ConfigSync *this, ConfigSyncStatus *status);

#endif
