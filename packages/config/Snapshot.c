#include "Snapshot.h"

#include <openssl/sha.h>
#include <string.h>

/* Incomplete snapshots kept at a time, and chunks of each. */
#define PARTIALS_MAX 8
#define CHUNKS_MAX 8192

/* A snapshot whose chunks are being collected. */
typedef struct PartialSnapshot_ {
    uint64_t offset;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t count;
    uint32_t missing;
    size_t bytes;
    GString **chunks;
    uint64_t *times_ms;
} PartialSnapshot;

struct SnapshotBuffer_ {
    GPtrArray *partials; /* PartialSnapshot, most recently used last */
};

void
Snapshot_Digest(Str bytes, uint8_t digest[SNAPSHOT_DIGEST_BYTES])
{
    SHA256((const unsigned char *)(bytes.length ? bytes.data : ""),
           bytes.length, digest);
}

uint32_t
Snapshot_ChunkCount(size_t length, size_t bytes)
{
    return length == 0 ? 1 : (uint32_t)((length + bytes - 1) / bytes);
}

void
Snapshot_WriteChunk(const SnapshotChunk *chunk, GString *out)
{
    g_string_append_printf(out, "agatecrank-chunk 1 %llu ",
                           (unsigned long long)chunk->offset);
    for (size_t i = 0; i < SNAPSHOT_DIGEST_BYTES; i++) {
        g_string_append_printf(out, "%02x", chunk->digest[i]);
    }
    g_string_append_printf(out, " %u %u\n", chunk->index, chunk->count);
    Str_AppendTo(chunk->data, out);
}

static bool
read_digest(Str text, uint8_t digest[SNAPSHOT_DIGEST_BYTES])
{
    if (text.length != 2 * SNAPSHOT_DIGEST_BYTES) {
        return false;
    }
    for (size_t i = 0; i < SNAPSHOT_DIGEST_BYTES; i++) {
        int high = g_ascii_xdigit_value(text.data[2 * i]);
        int low = g_ascii_xdigit_value(text.data[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        digest[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

int
Snapshot_ParseChunk(Str record, SnapshotChunk *chunk, Error *error)
{
    uint64_t index = 0;
    uint64_t count = 0;
    Str line = {NULL, 0};
    Str field;

    if (!Str_Split(&record, '\n', &line) ||
        !Str_StartsWith(line, STR("agatecrank-chunk 1 "))) {
        return Error_Set(error, ERR_PARSE, "snapshot-chunk", STR(""),
                         "record is not a snapshot chunk of version 1");
    }
    line = (Str){line.data + 19, line.length - 19};
    if (!Str_Split(&line, ' ', &field) ||
        Str_ParseU64(field, &chunk->offset) ||
        !Str_Split(&line, ' ', &field) || !read_digest(field, chunk->digest) ||
        !Str_Split(&line, ' ', &field) || Str_ParseU64(field, &index) ||
        Str_ParseU64(line, &count) || count > CHUNKS_MAX || index >= count) {
        return Error_Set(error, ERR_PARSE, "snapshot-chunk", STR(""),
                         "invalid header of a snapshot chunk; expected "
                         "OFFSET SHA256 INDEX COUNT");
    }
    chunk->index = (uint32_t)index;
    chunk->count = (uint32_t)count;
    chunk->data = record;
    return 0;
}

static void
free_partial(gpointer item)
{
    PartialSnapshot *partial = item;

    for (uint32_t i = 0; i < partial->count; i++) {
        if (partial->chunks[i] != NULL) {
            g_string_free(partial->chunks[i], TRUE);
        }
    }
    g_free(partial->chunks);
    g_free(partial->times_ms);
    g_free(partial);
}

SnapshotBuffer *
SnapshotBuffer_Create(void)
{
    SnapshotBuffer *this = g_new0(SnapshotBuffer, 1);

    this->partials = g_ptr_array_new_with_free_func(free_partial);
    return this;
}

void
SnapshotBuffer_Destroy(SnapshotBuffer *this)
{
    if (this == NULL) {
        return;
    }
    g_ptr_array_free(this->partials, TRUE);
    g_free(this);
}

void
SnapshotBuffer_Clear(SnapshotBuffer *this)
{
    g_ptr_array_set_size(this->partials, 0);
}

static PartialSnapshot *
add_partial(SnapshotBuffer *this, const SnapshotChunk *chunk)
{
    PartialSnapshot *partial = g_new0(PartialSnapshot, 1);

    partial->offset = chunk->offset;
    memcpy(partial->digest, chunk->digest, SNAPSHOT_DIGEST_BYTES);
    partial->count = chunk->count;
    partial->missing = chunk->count;
    partial->chunks = g_new0(GString *, chunk->count);
    partial->times_ms = g_new0(uint64_t, chunk->count);
    if (this->partials->len >= PARTIALS_MAX) {
        g_ptr_array_remove_index(this->partials, 0);
    }
    g_ptr_array_add(this->partials, partial);
    return partial;
}

/* Moves the snapshot to the end, so that the least recently used is first. */
static PartialSnapshot *
find_partial(SnapshotBuffer *this, const SnapshotChunk *chunk)
{
    for (guint i = 0; i < this->partials->len; i++) {
        PartialSnapshot *partial = this->partials->pdata[i];

        if (memcmp(partial->digest, chunk->digest, SNAPSHOT_DIGEST_BYTES) ==
                0 &&
            partial->offset == chunk->offset &&
            partial->count == chunk->count) {
            g_ptr_array_steal_index(this->partials, i);
            g_ptr_array_add(this->partials, partial);
            return partial;
        }
    }
    return add_partial(this, chunk);
}

static GString *
join_chunks(const PartialSnapshot *partial)
{
    GString *whole = g_string_sized_new(partial->bytes + 1);

    for (uint32_t i = 0; i < partial->count; i++) {
        Str_AppendTo(Str_FromString(partial->chunks[i]), whole);
    }
    return whole;
}

static bool
digest_matches(const PartialSnapshot *partial)
{
    GString *whole = join_chunks(partial);
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    bool matches;

    Snapshot_Digest(Str_FromString(whole), digest);
    matches = memcmp(digest, partial->digest, SNAPSHOT_DIGEST_BYTES) == 0;
    g_string_free(whole, TRUE);
    return matches;
}

int
SnapshotBuffer_Add(SnapshotBuffer *this, const SnapshotChunk *chunk,
                   uint64_t time_ms)
{
    PartialSnapshot *partial;

    if (chunk->count == 0 || chunk->count > CHUNKS_MAX ||
        chunk->index >= chunk->count) {
        return ERR_PROTOCOL;
    }
    partial = find_partial(this, chunk);
    if (partial->chunks[chunk->index] == NULL) {
        partial->chunks[chunk->index] = Str_ToString(chunk->data);
        partial->bytes += chunk->data.length;
        partial->missing--;
    }
    partial->times_ms[chunk->index] =
        MAX(partial->times_ms[chunk->index], time_ms);
    if (partial->bytes > SNAPSHOT_BYTES_MAX ||
        (partial->missing == 0 && !digest_matches(partial))) {
        g_ptr_array_remove(this->partials, partial);
        return ERR_PROTOCOL;
    }
    return partial->missing == 0 ? 1 : 0;
}

GString *
SnapshotBuffer_Take(SnapshotBuffer *this, uint64_t *offset, uint64_t *time_ms)
{
    PartialSnapshot *newest = NULL;
    GString *whole;

    for (guint i = 0; i < this->partials->len; i++) {
        PartialSnapshot *partial = this->partials->pdata[i];

        if (partial->missing == 0 &&
            (newest == NULL || partial->offset > newest->offset)) {
            newest = partial;
        }
    }
    if (newest == NULL) {
        return NULL;
    }
    whole = join_chunks(newest);
    *offset = newest->offset;
    *time_ms = newest->times_ms[0];
    for (uint32_t i = 1; i < newest->count; i++) {
        *time_ms = MIN(*time_ms, newest->times_ms[i]);
    }
    g_ptr_array_remove(this->partials, newest);
    return whole;
}
