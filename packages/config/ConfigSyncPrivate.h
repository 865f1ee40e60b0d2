#ifndef AGATECRANK_CONFIG_CONFIGSYNCPRIVATE_H
#define AGATECRANK_CONFIG_CONFIGSYNCPRIVATE_H

#include "ConfigTail.h"
#include "SnapshotScan.h"

/*
 * A restarted host must not serve an older configuration than the one that
 * was in force, and a single read of the log may lag. A starting host
 * therefore also fetches from peers and waits for READY_REPLIES_MIN replies of
 * ready peers. If there is no peer, or peers reply that they are not ready,
 * ANY_REPLIES_MIN results of any kind are enough after ANY_REPLIES_DELAY_US.
 * If peers do not respond, it continues without them after PEER_WAIT_MAX_US.
 */
#define READY_REPLIES_MIN 2
#define ANY_REPLIES_MIN 3
#define ANY_REPLIES_DELAY_US (1 * MICROS_PER_S)
#define PEER_WAIT_MAX_US (4 * MICROS_PER_S)

/* State of the reads of one stream. */
typedef struct SyncStream_ {
    bool pending;
    Micros next_time;
    Micros retry_delay; /* after the next failure */
} SyncStream;

/* Shared by ConfigSync.c and ConfigSyncPeers.c only. */
struct ConfigSync_ {
    ConfigSyncOptions options;
    ConfigState *state;
    const Clock *clock;
    Random *random;
    EventLog *log;
    ConfigAppliedHandler *applied;
    void *user;
    SnapshotSchedule *schedule;
    SnapshotScan *scan;
    ConfigTail *tail;
    ConfigVerdict verdict;
    ConfigSyncStatus status;
    SyncStream streams[2];
    Micros started;
    Micros last_read;
    bool end_known;          /* the end of the config stream is known */
    uint64_t log_end_max;    /* highest end ever stated, also before outages */
    bool caught_up;          /* all records up to the stated end are applied */
    bool schedule_check;     /* the scan was requested by @schedule */
    uint64_t peer_offset;    /* highest offset of a peer */
    Micros peer_ahead_since; /* time when a peer got ahead of this host */
    uint32_t failed_fetches; /* no peer, or the peer was not ready */
    uint32_t peer_replies;   /* of ready peers */
    bool fetching;
    Micros fetch_started;
    Micros next_fetch_time;
    uint64_t peer_choice;    /* ConfigAction.fetch.choice */
    uint32_t fetch_failures; /* since the last reply or change of peer */
    bool fetching_snapshot;  /* chunk by chunk from one peer */
    SnapshotChunk next_chunk;
    SnapshotBuffer *snapshot_buffer;
    GString *snapshot_text; /* being appended; NULL if none */
    uint64_t snapshot_offset;
    uint8_t snapshot_digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t chunk_index;
    bool append_pending;
    GString *append_record;
};

/** ConfigSync_HasReachedPeers() - true if no peer is known to be ahead */
bool ConfigSync_HasReachedPeers(const ConfigSync *this);

/** ConfigSync_ApplyRecord() - apply @record if its offset is the next one */
void ConfigSync_ApplyRecord(ConfigSync *this, const ConfigRecord *record);

/**
 * ConfigSync_LoadSnapshot() - load a snapshot if it is newer than the state
 *
 * Return: false if the snapshot was rejected; true if it was loaded or is not
 * newer.
 */
bool ConfigSync_LoadSnapshot(ConfigSync *this, const GString *snapshot);

/** ConfigSync_CheckReady() - update ready and reason of the status */
void ConfigSync_CheckReady(ConfigSync *this);

/** ConfigSync_AbandonFetch() - end a FETCH without a reply; allow the next */
void ConfigSync_AbandonFetch(ConfigSync *this);

/** ConfigSync_NextFetch() - as ConfigSync_NextAction(), for a FETCH only */
bool ConfigSync_NextFetch(ConfigSync *this, ConfigAction *action);

#endif
