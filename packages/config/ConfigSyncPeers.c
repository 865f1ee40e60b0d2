#include <string.h>

#include "ConfigSyncPrivate.h"

/* Pieces of one snapshot that may fail before another peer is asked. */
#define FETCH_TRIES 3

bool
ConfigSync_HasPeerOffset(const ConfigSync *this)
{
    return ConfigState_Offset(this->state) >= this->peer_offset;
}

static void
hear_peer(ConfigSync *this, uint64_t offset)
{
    if (offset <= this->peer_offset) {
        return;
    }
    if (this->peer_offset <= ConfigState_Offset(this->state)) {
        this->peer_heard = Clock_Now(this->clock);
        this->next_fetch =
            MIN(this->next_fetch, this->peer_heard + this->options.peer_after);
    }
    this->peer_offset = offset;
}

void
ConfigSync_OnPeerOffset(ConfigSync *this, uint64_t offset)
{
    hear_peer(this, offset);
}

static void
stop_pieces(ConfigSync *this)
{
    this->piecewise = false;
    this->choice = Random_Next(this->random);
    SnapshotBuffer_Clear(this->pieces);
}

static void
take_piece(ConfigSync *this, const SnapshotChunk *piece)
{
    int code = SnapshotBuffer_Add(this->pieces, piece, 0);
    uint64_t offset;
    uint64_t time_ms;
    GString *snapshot;

    if (code < 0) {
        this->status.rejected++;
        stop_pieces(this);
        return;
    }
    if (code == 0) {
        this->piecewise = true;
        this->piece = *piece;
        this->piece.index = (piece->index + 1) % piece->count;
        this->piece.data = (Str){NULL, 0};
        return;
    }
    snapshot = SnapshotBuffer_Take(this->pieces, &offset, &time_ms);
    ConfigSync_Load(this, snapshot);
    g_string_free(snapshot, TRUE);
    stop_pieces(this);
}

static void
take_peer_records(ConfigSync *this, const ConfigChunk *chunk)
{
    uint64_t before = ConfigState_Offset(this->state);

    if (chunk->count == 0 || chunk->records[0].offset != before) {
        return;
    }
    if (memcmp(chunk->before, ConfigState_Digest(this->state),
               SNAPSHOT_DIGEST_BYTES) != 0) {
        this->status.diverged++;
        return;
    }
    for (size_t i = 0; i < chunk->count; i++) {
        ConfigSync_ApplyRecord(this, &chunk->records[i]);
    }
    this->status.from_peers += ConfigState_Offset(this->state) - before;
}

void
ConfigSync_OnChunk(ConfigSync *this, const ConfigChunk *chunk)
{
    Micros now = Clock_Now(this->clock);
    uint64_t before = ConfigState_Offset(this->state);
    bool progress;

    this->fetching = false;
    this->failures = 0;
    this->peer_answers++;
    hear_peer(this, chunk->next);
    if (chunk->snapshot) {
        take_piece(this, &chunk->piece);
    }
    else {
        take_peer_records(this, chunk);
        this->choice = Random_Next(this->random);
    }
    progress = this->piecewise || ConfigState_Offset(this->state) > before ||
               this->peer_answers < PEERS_ASKED;
    this->next_fetch =
        now + (progress                         ? 0
               : ConfigSync_HasPeerOffset(this) ? this->options.retry_max
                                                : this->options.retry);
    ConfigSync_CheckReady(this);
}

void
ConfigSync_DropFetch(ConfigSync *this)
{
    this->fetching = false;
    this->next_fetch = Clock_Now(this->clock);
    if (++this->failures >= FETCH_TRIES || !this->piecewise) {
        this->failures = 0;
        stop_pieces(this);
    }
}

void
ConfigSync_OnFetchFailed(ConfigSync *this)
{
    ConfigSync_DropFetch(this);
    this->refusals++;
    this->next_fetch += this->options.retry;
    ConfigSync_CheckReady(this);
}

static bool
wants_fetch(const ConfigSync *this, Micros now)
{
    if (this->fetching || now < this->next_fetch) {
        return false;
    }
    if (this->piecewise || this->status.gap) {
        return true;
    }
    if (!this->status.ready && this->peer_answers < PEERS_ASKED) {
        return true;
    }
    if (!ConfigSync_HasPeerOffset(this)) {
        return now - this->peer_heard >= this->options.peer_after;
    }
    return !this->status.log_up &&
           now - this->last_read >= this->options.peer_after;
}

bool
ConfigSync_NextFetch(ConfigSync *this, ConfigAction *action)
{
    Micros now = Clock_Now(this->clock);
    ConfigFetch *request = &action->fetch.request;

    if (!wants_fetch(this, now)) {
        return false;
    }
    this->fetching = true;
    this->fetch_time = now;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_FETCH;
    action->fetch.choice = this->choice;
    request->from = ConfigState_Offset(this->state);
    request->snapshot = this->piecewise;
    if (this->piecewise) {
        memcpy(request->digest, this->piece.digest, SNAPSHOT_DIGEST_BYTES);
        request->index = this->piece.index;
    }
    return true;
}
