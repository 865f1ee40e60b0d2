#ifndef AGATECRANK_CONFIG_CONFIGSYNC_H
#define AGATECRANK_CONFIG_CONFIGSYNC_H

#include "ConfigState.h"
#include "EventLog.h"
#include "Snapshot.h"
#include "SnapshotSchedule.h"

/** enum ConfigStream_ - streams of the log service that a host follows */
typedef enum ConfigStream_ {
    STREAM_CONFIG,
    STREAM_SNAPSHOTS,
} ConfigStream;

/**
 * struct ConfigRecord_ - one record of a stream
 * @offset: offset in the stream
 * @time_ms: append time by the log service's clock, ms since 1970; 0 if
 *           unknown (from a peer)
 * @data: borrowed
 */
typedef struct ConfigRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    Str data;
} ConfigRecord;

/**
 * struct ConfigFetch_ - request to a peer for records or a snapshot chunk
 * @from: offset of the first record requested
 * @snapshot: request a chunk of a snapshot instead of records
 * @digest: SHA-256 of the snapshot that the chunk belongs to; all zero for
 *          any snapshot
 * @index: number of the chunk, from 0
 */
typedef struct ConfigFetch_ {
    uint64_t from;
    bool snapshot;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t index;
} ConfigFetch;

/**
 * struct ConfigChunk_ - reply to a ConfigFetch
 * @next: ConfigState_Offset() of the peer
 * @before: ConfigState_Digest() of the peer before the first record
 * @snapshot: true: the reply holds @piece; false: it holds @records
 * @piece: chunk of a snapshot
 * @records: consecutive records, borrowed; none if the peer has no newer one
 * @count: number of records
 */
typedef struct ConfigChunk_ {
    uint64_t next;
    uint8_t before[SNAPSHOT_DIGEST_BYTES];
    bool snapshot;
    SnapshotChunk piece;
    const ConfigRecord *records;
    size_t count;
} ConfigChunk;

/** enum ConfigActionType_ - I/O that a driver does for a ConfigSync */
typedef enum ConfigActionType_ {
    CONFIG_ACTION_READ,   /* GET from a stream; then OnRecords() */
    CONFIG_ACTION_FETCH,  /* request to a live peer; then OnChunk() */
    CONFIG_ACTION_APPEND, /* POST to the snapshots; then OnAppended() */
} ConfigActionType;

/**
 * struct ConfigAction_ - next I/O operation of the driver
 * @read.from: offset of the first record
 * @read.max: largest number of records
 * @read.wait_ms: longest time that the log service may wait for a record (long
 *                poll)
 * @fetch.choice: random number; of n live peers, the one with index choice % n
 *                receives the request
 * @append.record: record to append to the snapshots stream
 *
 * At most one action of each type is pending, and one READ for each stream.
 * Pointers are valid until the next call for the same ConfigSync.
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
            uint64_t choice;
        } fetch;
        struct {
            Str record;
        } append;
    };
} ConfigAction;

/**
 * struct ConfigSyncOptions_ - timeouts, delays and limits
 * @snapshots: when this host writes snapshots
 * @retry_delay: first delay after a failed read; 0: 200 ms
 * @retry_delay_max: longest delay after failed reads; 0: 2 s
 * @read_wait: duration of a long poll; 0: 5 s
 * @peer_delay: time that the log has to deliver records before they are
 *              fetched from a peer; 0: 300 ms
 * @fetch_timeout: time that a peer has to reply; 0: 250 ms
 * @read_records_max: records of one READ; 0: 256
 * @tail_bytes_max: size of the recent records kept for peers; 0: 1 MiB
 * @test_faults: ConfigTestFault bits, 0 outside of tests
 */
typedef struct ConfigSyncOptions_ {
    SnapshotScheduleOptions snapshots;
    Micros retry_delay;
    Micros retry_delay_max;
    Micros read_wait;
    Micros peer_delay;
    Micros fetch_timeout;
    uint32_t read_records_max;
    size_t tail_bytes_max;
    uint32_t test_faults;
} ConfigSyncOptions;

/**
 * struct ConfigSyncStatus_ - figures for metrics and the readiness endpoint
 * @log_up: the last read of the config stream succeeded
 * @gap: records from @offset on have expired in the log
 * @ahead_of_log: the last read stated an end of the stream below @offset
 * @offset: offset of the next record to apply
 * @log_next: highest end of the stream stated; reset when a read fails
 * @read_age: time since the last successful read
 * @lagging_reads: reads that stated an end of the stream below @offset
 * @diverged_replies: replies of peers whose records do not continue ours
 * @rejected_snapshots: snapshots that were damaged or not permitted
 * @records_from_peers: records that were fetched from peers and applied
 * @snapshots_written: snapshots that this host appended
 * @reason: why the host is not ready; "" if it is
 */
typedef struct ConfigSyncStatus_ {
    bool ready;
    bool log_up;
    bool gap;
    bool ahead_of_log;
    uint64_t offset;
    uint64_t log_next;
    Micros read_age;
    uint64_t lagging_reads;
    uint64_t diverged_replies;
    uint64_t rejected_snapshots;
    uint64_t records_from_peers;
    uint64_t snapshots_written;
    const char *reason;
} ConfigSyncStatus;

/**
 * typedef ConfigSync - keeps one ConfigState up to date
 *
 * Reads the config stream of the log, fetches records and snapshots from
 * peers if the log is late or down, and writes snapshots. It does no I/O: the
 * driver takes actions from ConfigSync_NextAction() and reports the results.
 */
typedef struct ConfigSync_ ConfigSync;

/**
 * typedef ConfigAppliedHandler - called after each applied record
 *
 * Not called for records that a loaded snapshot covers. A user that derives
 * data from the state compares ConfigState_AcceptedOffset() after each event.
 */
typedef void ConfigAppliedHandler(void *user, const ConfigVerdict *verdict);

/**
 * ConfigSync_Create() - start to follow the config stream
 * @state: borrowed; from now on only this object may change it
 * @clock: borrowed
 * @random: borrowed
 * @log: borrowed, may be NULL
 */
ConfigSync *ConfigSync_Create(const ConfigSyncOptions *options,
                              ConfigState *state, const Clock *clock,
                              Random *random, EventLog *log);

/** ConfigSync_Destroy() - free the object, but not the state */
void ConfigSync_Destroy(ConfigSync *this);

/** ConfigSync_SetAppliedHandler() - set the handler; NULL removes it */
void ConfigSync_SetAppliedHandler(ConfigSync *this,
                                  ConfigAppliedHandler *applied, void *user);

/**
 * ConfigSync_OnRecords() - handle the result of a READ
 * @first: oldest offset that the log keeps (log-first)
 * @next: offset of the next append (log-next)
 */
void ConfigSync_OnRecords(ConfigSync *this, ConfigStream stream,
                          uint64_t first, uint64_t next,
                          const ConfigRecord *records, size_t count);

/** ConfigSync_OnReadFailed() - handle a READ that failed or timed out */
void ConfigSync_OnReadFailed(ConfigSync *this, ConfigStream stream);

/** ConfigSync_OnChunk() - handle the reply to a FETCH */
void ConfigSync_OnChunk(ConfigSync *this, const ConfigChunk *chunk);

/**
 * ConfigSync_OnFetchFailed() - handle a FETCH that cannot succeed
 *
 * To be called if there is no peer or the peer replies that it is not ready.
 * Not to be called if the peer does not respond: ConfigSync_OnTick() applies
 * the timeout.
 */
void ConfigSync_OnFetchFailed(ConfigSync *this);

/** ConfigSync_OnAppended() - handle the result of an APPEND, 0 or an error */
void ConfigSync_OnAppended(ConfigSync *this, int code);

/** ConfigSync_OnPeerOffset() - handle a peer's offset received by gossip */
void ConfigSync_OnPeerOffset(ConfigSync *this, uint64_t offset);

/** ConfigSync_OnTick() - handle timeouts; call at least every 50 ms */
void ConfigSync_OnTick(ConfigSync *this);

/** ConfigSync_NextAction() - next I/O operation; false if there is none */
bool ConfigSync_NextAction(ConfigSync *this, ConfigAction *action);

/**
 * ConfigSync_Serve() - create the reply to a peer's FETCH
 *
 * Return: 0 with @chunk filled, valid until the next call; ERR_NOT_FOUND if
 * this host is not ready itself. The driver then tells the peer, whose driver
 * calls ConfigSync_OnFetchFailed().
 */
int ConfigSync_Serve(ConfigSync *this, const ConfigFetch *request,
                     ConfigChunk *chunk);

/** ConfigSync_Ready() - true once the host may serve callers; stays true */
bool ConfigSync_Ready(const ConfigSync *this);

/** ConfigSync_Status() - copy the current status */
void ConfigSync_Status(const ConfigSync *this, ConfigSyncStatus *status);

#endif
