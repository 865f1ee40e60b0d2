#include "ConfigTail.h"

#include <string.h>

/* Limits of one reply, so that its ZeroMQ message does not delay urgent
 * messages. */
#define REPLY_RECORDS_MAX 64
#define REPLY_BYTES_MAX (128 * 1024)
#define REPLY_CHUNK_BYTES (32 * 1024)

/* A snapshot is kept for this time after its last use, so that all chunks that
 * a peer fetches belong to the same snapshot. */
#define SNAPSHOT_RETENTION_US (30 * MICROS_PER_S)

typedef struct TailRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    GString *data;
    uint8_t before[SNAPSHOT_DIGEST_BYTES]; /* digest before the record */
} TailRecord;

struct ConfigTail_ {
    GQueue *records; /* TailRecord with consecutive offsets */
    size_t bytes;
    size_t bytes_max;
    const Clock *clock;
    ConfigRecord reply_records[REPLY_RECORDS_MAX];
    GString *snapshot;
    uint64_t snapshot_offset;
    uint8_t snapshot_digest[SNAPSHOT_DIGEST_BYTES];
    Micros snapshot_used;
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
    this->bytes_max = bytes;
    this->clock = clock;
    return this;
}

static void
discard_snapshot(ConfigTail *this)
{
    if (this->snapshot != NULL) {
        g_string_free(this->snapshot, TRUE);
        this->snapshot = NULL;
    }
}

void
ConfigTail_Destroy(ConfigTail *this)
{
    discard_snapshot(this);
    g_queue_free_full(this->records, free_record);
    g_free(this);
}

void
ConfigTail_Clear(ConfigTail *this)
{
    g_queue_clear_full(this->records, free_record);
    this->bytes = 0;
    discard_snapshot(this);
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
    while (this->bytes > this->bytes_max) {
        TailRecord *oldest = g_queue_pop_head(this->records);

        this->bytes -= oldest->data->len + sizeof(*oldest);
        free_record(oldest);
    }
    if (this->snapshot != NULL &&
        Clock_Now(this->clock) - this->snapshot_used > SNAPSHOT_RETENTION_US) {
        discard_snapshot(this);
    }
}

static void
serve_records(ConfigTail *this, GList *from, ConfigChunk *chunk)
{
    size_t bytes = 0;

    memcpy(chunk->before, ((TailRecord *)from->data)->before,
           SNAPSHOT_DIGEST_BYTES);
    chunk->records = this->reply_records;
    for (; from != NULL && chunk->count < REPLY_RECORDS_MAX;
         from = from->next) {
        const TailRecord *record = from->data;

        bytes += record->data->len;
        if (chunk->count > 0 && bytes > REPLY_BYTES_MAX) {
            return;
        }
        this->reply_records[chunk->count++] =
            (ConfigRecord){record->offset,
                           record->time_ms,
                           {record->data->str, record->data->len}};
    }
}

static void
create_snapshot(ConfigTail *this, const ConfigState *state)
{
    discard_snapshot(this);
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
            Clock_Now(this->clock) - this->snapshot_used >
                SNAPSHOT_RETENTION_US) {
            create_snapshot(this, state);
        }
    }
    this->snapshot_used = Clock_Now(this->clock);
    chunk->snapshot = true;
    chunk->piece.offset = this->snapshot_offset;
    chunk->piece.count =
        Snapshot_ChunkCount(this->snapshot->len, REPLY_CHUNK_BYTES);
    chunk->piece.index = MIN(index, chunk->piece.count - 1);
    memcpy(chunk->piece.digest, this->snapshot_digest, SNAPSHOT_DIGEST_BYTES);
    start = (size_t)chunk->piece.index * REPLY_CHUNK_BYTES;
    chunk->piece.data =
        (Str){this->snapshot->str + start,
              MIN(this->snapshot->len - start, REPLY_CHUNK_BYTES)};
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
