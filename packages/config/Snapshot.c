#include "Snapshot.h"

#include <openssl/sha.h>
#include <string.h>

/* Snapshots that are put together at a time, and pieces of each. */
#define PARTS_MAX 8
#define PIECES_MAX 8192

/* One snapshot on its way. */
typedef struct Part_ {
    uint64_t offset;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    uint32_t count;
    uint32_t missing;
    size_t bytes;
    GString **pieces;
    uint64_t *times_ms;
} Part;

struct SnapshotBuffer_ {
    GPtrArray *parts; /* Part, the one touched last at the end */
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
                         "not a snapshot");
    }
    line = (Str){line.data + 19, line.length - 19};
    if (!Str_Split(&line, ' ', &field) ||
        Str_ParseU64(field, &chunk->offset) ||
        !Str_Split(&line, ' ', &field) || !read_digest(field, chunk->digest) ||
        !Str_Split(&line, ' ', &field) || Str_ParseU64(field, &index) ||
        Str_ParseU64(line, &count) || count > PIECES_MAX || index >= count) {
        return Error_Set(error, ERR_PARSE, "snapshot-chunk", STR(""),
                         "bad head of a snapshot piece");
    }
    chunk->index = (uint32_t)index;
    chunk->count = (uint32_t)count;
    chunk->data = record;
    return 0;
}

static void
free_part(gpointer item)
{
    Part *part = item;

    for (uint32_t i = 0; i < part->count; i++) {
        if (part->pieces[i] != NULL) {
            g_string_free(part->pieces[i], TRUE);
        }
    }
    g_free(part->pieces);
    g_free(part->times_ms);
    g_free(part);
}

SnapshotBuffer *
SnapshotBuffer_Create(void)
{
    SnapshotBuffer *this = g_new0(SnapshotBuffer, 1);

    this->parts = g_ptr_array_new_with_free_func(free_part);
    return this;
}

void
SnapshotBuffer_Destroy(SnapshotBuffer *this)
{
    if (this == NULL) {
        return;
    }
    g_ptr_array_free(this->parts, TRUE);
    g_free(this);
}

void
SnapshotBuffer_Clear(SnapshotBuffer *this)
{
    g_ptr_array_set_size(this->parts, 0);
}

static Part *
add_part(SnapshotBuffer *this, const SnapshotChunk *chunk)
{
    Part *part = g_new0(Part, 1);

    part->offset = chunk->offset;
    memcpy(part->digest, chunk->digest, SNAPSHOT_DIGEST_BYTES);
    part->count = chunk->count;
    part->missing = chunk->count;
    part->pieces = g_new0(GString *, chunk->count);
    part->times_ms = g_new0(uint64_t, chunk->count);
    if (this->parts->len >= PARTS_MAX) {
        g_ptr_array_remove_index(this->parts, 0);
    }
    g_ptr_array_add(this->parts, part);
    return part;
}

/* Moves the part to the end, so that the first one is the longest idle. */
static Part *
find_part(SnapshotBuffer *this, const SnapshotChunk *chunk)
{
    for (guint i = 0; i < this->parts->len; i++) {
        Part *part = this->parts->pdata[i];

        if (memcmp(part->digest, chunk->digest, SNAPSHOT_DIGEST_BYTES) == 0 &&
            part->offset == chunk->offset && part->count == chunk->count) {
            g_ptr_array_steal_index(this->parts, i);
            g_ptr_array_add(this->parts, part);
            return part;
        }
    }
    return add_part(this, chunk);
}

static GString *
join_part(const Part *part)
{
    GString *whole = g_string_sized_new(part->bytes + 1);

    for (uint32_t i = 0; i < part->count; i++) {
        Str_AppendTo(Str_FromString(part->pieces[i]), whole);
    }
    return whole;
}

static bool
is_right(const Part *part)
{
    GString *whole = join_part(part);
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];
    bool right;

    Snapshot_Digest(Str_FromString(whole), digest);
    right = memcmp(digest, part->digest, SNAPSHOT_DIGEST_BYTES) == 0;
    g_string_free(whole, TRUE);
    return right;
}

int
SnapshotBuffer_Add(SnapshotBuffer *this, const SnapshotChunk *chunk,
                   uint64_t time_ms)
{
    Part *part;

    if (chunk->count == 0 || chunk->count > PIECES_MAX ||
        chunk->index >= chunk->count) {
        return ERR_PROTOCOL;
    }
    part = find_part(this, chunk);
    if (part->pieces[chunk->index] == NULL) {
        part->pieces[chunk->index] = Str_ToString(chunk->data);
        part->bytes += chunk->data.length;
        part->missing--;
    }
    part->times_ms[chunk->index] = MAX(part->times_ms[chunk->index], time_ms);
    if (part->bytes > SNAPSHOT_MAX ||
        (part->missing == 0 && !is_right(part))) {
        g_ptr_array_remove(this->parts, part);
        return ERR_PROTOCOL;
    }
    return part->missing == 0 ? 1 : 0;
}

GString *
SnapshotBuffer_Take(SnapshotBuffer *this, uint64_t *offset, uint64_t *time_ms)
{
    Part *newest = NULL;
    GString *whole;

    for (guint i = 0; i < this->parts->len; i++) {
        Part *part = this->parts->pdata[i];

        if (part->missing == 0 &&
            (newest == NULL || part->offset > newest->offset)) {
            newest = part;
        }
    }
    if (newest == NULL) {
        return NULL;
    }
    whole = join_part(newest);
    *offset = newest->offset;
    *time_ms = newest->times_ms[0];
    for (uint32_t i = 1; i < newest->count; i++) {
        *time_ms = MIN(*time_ms, newest->times_ms[i]);
    }
    g_ptr_array_remove(this->parts, newest);
    return whole;
}
