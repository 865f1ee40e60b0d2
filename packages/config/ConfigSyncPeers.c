#include <string.h>

#include "ConfigSyncPrivate.h"

/* Failed fetches of snapshot chunks after which another peer is selected. */
#define FETCH_FAILURES_MAX 3

bool
ConfigSync_HasReachedPeers(const ConfigSync *this)
{
    return ConfigState_Offset(this->state) >= this->peer_offset;
}

static void
update_peer_offset(ConfigSync *this, uint64_t offset)
{
    if (offset <= this->peer_offset) {
        return;
    }
    if (this->peer_offset <= ConfigState_Offset(this->state)) {
        this->peer_ahead_since = Clock_Now(this->clock);
        this->next_fetch_time =
            MIN(this->next_fetch_time,
                this->peer_ahead_since + this->options.peer_delay);
    }
    this->peer_offset = offset;
}

void
ConfigSync_OnPeerOffset(ConfigSync *this, uint64_t offset)
{
    update_peer_offset(this, offset);
}

static void
end_snapshot_fetch(ConfigSync *this)
{
    this->fetching_snapshot = false;
    this->peer_choice = Random_Next(this->random);
    SnapshotBuffer_Clear(this->snapshot_buffer);
}

static void
add_chunk(ConfigSync *this, const SnapshotChunk *chunk)
{
    int code = SnapshotBuffer_Add(this->snapshot_buffer, chunk, 0);
    uint64_t offset;
    uint64_t time_ms;
    GString *snapshot;

    if (code < 0) {
        this->status.rejected_snapshots++;
        end_snapshot_fetch(this);
        return;
    }
    if (code == 0) {
        this->fetching_snapshot = true;
        this->next_chunk = *chunk;
        this->next_chunk.index = (chunk->index + 1) % chunk->count;
        this->next_chunk.data = (Str){NULL, 0};
        return;
    }
    snapshot = SnapshotBuffer_Take(this->snapshot_buffer, &offset, &time_ms);
    ConfigSync_LoadSnapshot(this, snapshot);
    g_string_free(snapshot, TRUE);
    end_snapshot_fetch(this);
}

static void
apply_peer_records(ConfigSync *this, const ConfigChunk *chunk)
{
    uint64_t before = ConfigState_Offset(this->state);

    if (chunk->count == 0 || chunk->records[0].offset != before) {
        return;
    }
    if (memcmp(chunk->before, ConfigState_Digest(this->state),
               SNAPSHOT_DIGEST_BYTES) != 0) {
        this->status.diverged_replies++;
        return;
    }
    for (size_t i = 0; i < chunk->count; i++) {
        ConfigSync_ApplyRecord(this, &chunk->records[i]);
    }
    this->status.records_from_peers +=
        ConfigState_Offset(this->state) - before;
}

void
ConfigSync_OnChunk(ConfigSync *this, const ConfigChunk *chunk)
{
    Micros now = Clock_Now(this->clock);
    uint64_t before = ConfigState_Offset(this->state);
    bool progress;

    this->fetching = false;
    this->fetch_failures = 0;
    this->peer_replies++;
    update_peer_offset(this, chunk->next);
    if (chunk->snapshot) {
        add_chunk(this, &chunk->piece);
    }
    else {
        apply_peer_records(this, chunk);
        this->peer_choice = Random_Next(this->random);
    }
    progress = this->fetching_snapshot ||
               ConfigState_Offset(this->state) > before ||
               this->peer_replies < READY_REPLIES_MIN;
    this->next_fetch_time = now + (progress ? 0
                                   : ConfigSync_HasReachedPeers(this)
                                       ? this->options.retry_delay_max
                                       : this->options.retry_delay);
    ConfigSync_CheckReady(this);
}

void
ConfigSync_AbandonFetch(ConfigSync *this)
{
    this->fetching = false;
    this->next_fetch_time = Clock_Now(this->clock);
    if (++this->fetch_failures >= FETCH_FAILURES_MAX ||
        !this->fetching_snapshot) {
        this->fetch_failures = 0;
        end_snapshot_fetch(this);
    }
}

void
ConfigSync_OnFetchFailed(ConfigSync *this)
{
    ConfigSync_AbandonFetch(this);
    this->failed_fetches++;
    this->next_fetch_time += this->options.retry_delay;
    ConfigSync_CheckReady(this);
}

static bool
wants_fetch(const ConfigSync *this, Micros now)
{
    if (this->fetching || now < this->next_fetch_time) {
        return false;
    }
    if (this->fetching_snapshot || this->status.gap) {
        return true;
    }
    if (!this->status.ready && this->peer_replies < READY_REPLIES_MIN) {
        return true;
    }
    if (!ConfigSync_HasReachedPeers(this)) {
        return now - this->peer_ahead_since >= this->options.peer_delay;
    }
    return !this->status.log_up &&
           now - this->last_read >= this->options.peer_delay;
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
    this->fetch_started = now;
    memset(action, 0, sizeof(*action));
    action->type = CONFIG_ACTION_FETCH;
    action->fetch.choice = this->peer_choice;
    request->from = ConfigState_Offset(this->state);
    request->snapshot = this->fetching_snapshot;
    if (this->fetching_snapshot) {
        memcpy(request->digest, this->next_chunk.digest,
               SNAPSHOT_DIGEST_BYTES);
        request->index = this->next_chunk.index;
    }
    return true;
}
