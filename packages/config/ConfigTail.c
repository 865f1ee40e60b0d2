#include "ConfigTail.h"

#include <string.h>

/* One answer fits a ZeroMQ message that does not hold up urgent ones. */
#define ANSWER_RECORDS_MAX 64
#define ANSWER_BYTES_MAX (128 * 1024)
#define PIECE_BYTES (32 * 1024)

/* A snapshot stays the same while a peer fetches its pieces. */
#define SNAPSHOT_HELD (30 * MICROS_PER_S)

typedef struct TailRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    GString *data;
    uint8_t before[SNAPSHOT_DIGEST_BYTES];
} TailRecord;

struct ConfigTail_ {
    GQueue *records; /* TailRecord with consecutive offsets */
    size_t bytes;
    size_t limit;
    const Clock *clock;
    ConfigRecord answer[ANSWER_RECORDS_MAX];
    GString *snapshot;
    uint64_t snapshot_offset;
    uint8_t snapshot_digest[SNAPSHOT_DIGEST_BYTES];
    Micros snapshot_time;
};

static void
free_record(gpointer item)
{
    TailRecord *record = item;

    g_string_free(record->data, TRUE);
    g_free(record);
}

ConfigTail *
ConfigTail_Create(size_t bytes, const Clock *clock)
{
    ConfigTail *this = g_new0(ConfigTail, 1);

    this->records = g_queue_new();
    this->limit = bytes;
    this->clock = clock;
    return this;
}

static void
drop_snapshot(ConfigTail *this)
{
    if (this->snapshot != NULL) {
        g_string_free(this->snapshot, TRUE);
        this->snapshot = NULL;
    }
}

void
ConfigTail_Destroy(ConfigTail *this)
{
    drop_snapshot(this);
    g_queue_free_full(this->records, free_record);
    g_free(this);
}

void
ConfigTail_Clear(ConfigTail *this)
{
    g_queue_clear_full(this->records, free_record);
    this->bytes = 0;
    drop_snapshot(this);
}

void
ConfigTail_Add(ConfigTail *this, const ConfigRecord *record,
               const uint8_t *before)
{
    TailRecord *kept = g_new0(TailRecord, 1);

    kept->offset = record->offset;
    kept->time_ms = record->time_ms;
    kept->data = Str_ToString(record->data);
    memcpy(kept->before, before, SNAPSHOT_DIGEST_BYTES);
    g_queue_push_tail(this->records, kept);
    this->bytes += record->data.length + sizeof(*kept);
    while (this->bytes > this->limit) {
        TailRecord *oldest = g_queue_pop_head(this->records);

        this->bytes -= oldest->data->len + sizeof(*oldest);
        free_record(oldest);
    }
    if (this->snapshot != NULL &&
        Clock_Now(this->clock) - this->snapshot_time > SNAPSHOT_HELD) {
        drop_snapshot(this);
    }
}

static void
serve_records(ConfigTail *this, GList *from, ConfigChunk *chunk)
{
    size_t bytes = 0;

    memcpy(chunk->before, ((TailRecord *)from->data)->before,
           SNAPSHOT_DIGEST_BYTES);
    chunk->records = this->answer;
    for (; from != NULL && chunk->count < ANSWER_RECORDS_MAX;
         from = from->next) {
        const TailRecord *record = from->data;

        bytes += record->data->len;
        if (chunk->count > 0 && bytes > ANSWER_BYTES_MAX) {
            return;
        }
        this->answer[chunk->count++] =
            (ConfigRecord){record->offset,
                           record->time_ms,
                           {record->data->str, record->data->len}};
    }
}

static void
hold_snapshot(ConfigTail *this, const ConfigState *state)
{
    drop_snapshot(this);
    this->snapshot = g_string_new(NULL);
    ConfigState_WriteSnapshot(state, this->snapshot);
    this->snapshot_offset = ConfigState_Offset(state);
    Snapshot_Digest(Str_FromString(this->snapshot), this->snapshot_digest);
}

static void
serve_snapshot(ConfigTail *this, const ConfigState *state,
               const ConfigFetch *request, ConfigChunk *chunk)
{
    uint32_t index = request->index;
    size_t start;

    if (this->snapshot == NULL ||
        memcmp(this->snapshot_digest, request->digest,
               SNAPSHOT_DIGEST_BYTES) != 0) {
        index = 0;
        if (this->snapshot == NULL || this->snapshot_offset <= request->from ||
            Clock_Now(this->clock) - this->snapshot_time > SNAPSHOT_HELD) {
            hold_snapshot(this, state);
        }
    }
    this->snapshot_time = Clock_Now(this->clock);
    chunk->snapshot = true;
    chunk->piece.offset = this->snapshot_offset;
    chunk->piece.count = Snapshot_ChunkCount(this->snapshot->len, PIECE_BYTES);
    chunk->piece.index = MIN(index, chunk->piece.count - 1);
    memcpy(chunk->piece.digest, this->snapshot_digest, SNAPSHOT_DIGEST_BYTES);
    start = (size_t)chunk->piece.index * PIECE_BYTES;
    chunk->piece.data = (Str){this->snapshot->str + start,
                              MIN(this->snapshot->len - start, PIECE_BYTES)};
}

static GList *
find_record(const ConfigTail *this, uint64_t offset)
{
    const TailRecord *first = g_queue_peek_head(this->records);

    if (first == NULL || offset < first->offset) {
        return NULL;
    }
    return g_queue_peek_nth_link(this->records,
                                 (guint)(offset - first->offset));
}

int
ConfigTail_Serve(ConfigTail *this, const ConfigState *state,
                 const ConfigFetch *request, ConfigChunk *chunk)
{
    GList *from = find_record(this, request->from);

    memset(chunk, 0, sizeof(*chunk));
    chunk->next = ConfigState_Offset(state);
    if (request->from >= chunk->next) {
        return 0;
    }
    if (from != NULL && !request->snapshot) {
        serve_records(this, from, chunk);
        return 0;
    }
    serve_snapshot(this, state, request, chunk);
    return 0;
}
