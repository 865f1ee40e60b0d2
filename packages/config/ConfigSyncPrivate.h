#ifndef AGATECRANK_CONFIG_CONFIGSYNCPRIVATE_H
#define AGATECRANK_CONFIG_CONFIGSYNCPRIVATE_H

#include "ConfigTail.h"
#include "SnapshotScan.h"

/*
 * A restarted host must not serve an older configuration than was in force,
 * and one read of the log may lag. It therefore asks peers as well. Answers
 * of PEERS_ASKED ready peers are enough; if peers say that they are not
 * ready, PEERS_WITHOUT answers of any kind after SETTLED; if they are
 * silent, the host goes on without them after SILENCE_LIMIT.
 */
#define PEERS_ASKED 2
#define PEERS_WITHOUT 3
#define SETTLED (1 * MICROS_PER_S)
#define SILENCE_LIMIT (4 * MICROS_PER_S)

/* Shared by ConfigSync.c and ConfigSyncPeers.c only. */
typedef struct SyncStream_ {
    bool pending;
    Micros next_time;
    Micros delay; /* after the next failure */
} SyncStream;

struct ConfigSync_ {
    ConfigSyncOptions options;
    ConfigState *state;
    const Clock *clock;
    Random *random;
    EventLog *log;
    ConfigSyncApplied *applied;
    void *user;
    SnapshotSchedule *schedule;
    SnapshotScan *scan;
    ConfigTail *tail;
    ConfigVerdict verdict;
    ConfigSyncStatus status;
    SyncStream streams[2];
    Micros started;
    Micros last_read;
    bool probed;      /* the end of the config stream is known */
    uint64_t log_end; /* highest end ever stated, kept during outages */
    bool caught_up;   /* offset reached the end that the log stated */
    bool checking;    /* the scan is for the snapshot schedule */
    uint64_t peer_offset;
    Micros peer_heard;     /* since when a peer is ahead */
    uint32_t refusals;     /* there is no peer, or it has nothing */
    uint32_t peer_answers; /* of peers that are ready themselves */
    bool fetching;
    Micros fetch_time;
    Micros next_fetch;
    uint64_t choice;
    uint32_t failures;
    bool piecewise; /* a snapshot is fetched from a peer */
    SnapshotChunk piece;
    SnapshotBuffer *pieces;
    GString *writing; /* snapshot that is being appended */
    uint64_t writing_offset;
    uint8_t writing_digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t writing_index;
    bool appending;
    GString *record;
};

/** ConfigSync_HasPeerOffset() - no peer is known to be ahead */
bool ConfigSync_HasPeerOffset(const ConfigSync *this);

/** ConfigSync_ApplyRecord() - apply it if it is the next one */
void ConfigSync_ApplyRecord(ConfigSync *this, const ConfigRecord *record);

/** ConfigSync_Load() - load a snapshot; true unless it was refused */
bool ConfigSync_Load(ConfigSync *this, const GString *snapshot);

/** ConfigSync_CheckReady() - become ready if all is known */
void ConfigSync_CheckReady(ConfigSync *this);

/** ConfigSync_DropFetch() - the peer did not answer: ask another one */
void ConfigSync_DropFetch(ConfigSync *this);

/** ConfigSync_NextFetch() - the FETCH part of ConfigSync_NextAction() */
bool ConfigSync_NextFetch(ConfigSync *this, ConfigAction *action);

#endif
