#include "BodyBuffer.h"

#include <string.h>
#include <xxhash.h>

#define BLOCK_BYTES_MIN 64
#define BLOCK_BYTES_MAX 65536

typedef struct Block_ {
    size_t offset; /* of its first byte in the body */
    size_t length;
    size_t capacity;
    char bytes[];
} Block;

struct BodyBuffer_ {
    GPtrArray *blocks; /* NULL while the body is empty */
    size_t length;
};

BodyBuffer *
BodyBuffer_Create(void)
{
    return g_new0(BodyBuffer, 1);
}

void
BodyBuffer_Destroy(BodyBuffer *this)
{
    if (this == NULL) {
        return;
    }
    if (this->blocks != NULL) {
        g_ptr_array_free(this->blocks, TRUE);
    }
    g_free(this);
}

static Block *
block_at(const BodyBuffer *this, guint i)
{
    return g_ptr_array_index(this->blocks, i);
}

/* Returns a block with room. Blocks grow with the body. */
static Block *
last_block(BodyBuffer *this, size_t wanted)
{
    Block *block = NULL;
    size_t capacity =
        CLAMP(MAX(this->length, wanted), BLOCK_BYTES_MIN, BLOCK_BYTES_MAX);

    if (this->blocks == NULL) {
        this->blocks = g_ptr_array_new_with_free_func(g_free);
    }
    if (this->blocks->len > 0) {
        block = block_at(this, this->blocks->len - 1);
    }
    if (block != NULL && block->length < block->capacity) {
        return block;
    }
    block = g_malloc(sizeof(*block) + capacity);
    *block = (Block){.offset = this->length, .capacity = capacity};
    g_ptr_array_add(this->blocks, block);
    return block;
}

void
BodyBuffer_Append(BodyBuffer *this, Str data)
{
    while (data.length > 0) {
        Block *block = last_block(this, data.length);
        size_t n = MIN(data.length, block->capacity - block->length);

        memcpy(block->bytes + block->length, data.data, n);
        block->length += n;
        this->length += n;
        data.data += n;
        data.length -= n;
    }
}

size_t
BodyBuffer_Length(const BodyBuffer *this)
{
    return this != NULL ? this->length : 0;
}

/* Returns the block with the byte at an index below the length. */
static const Block *
find_block(const BodyBuffer *this, size_t offset)
{
    guint low = 0, high = this->blocks->len - 1;

    while (low < high) {
        guint middle = low + (high - low + 1) / 2;

        if (block_at(this, middle)->offset <= offset) {
            low = middle;
        }
        else {
            high = middle - 1;
        }
    }
    return block_at(this, low);
}

Str
BodyBuffer_From(const BodyBuffer *this, size_t offset)
{
    const Block *block;
    size_t skip;

    if (offset >= BodyBuffer_Length(this)) {
        return (Str){NULL, 0};
    }
    block = find_block(this, offset);
    skip = offset - block->offset;
    return (Str){block->bytes + skip, block->length - skip};
}

uint64_t
BodyBuffer_Hash(const BodyBuffer *this)
{
    XXH3_state_t *state;
    uint64_t hash;
    Str part;

    part = BodyBuffer_From(this, 0);
    if (part.length == BodyBuffer_Length(this)) {
        return Str_Hash(part);
    }
    state = XXH3_createState();
    XXH3_64bits_reset(state);
    for (size_t n = 0; (part = BodyBuffer_From(this, n)).length > 0;
         n += part.length) {
        XXH3_64bits_update(state, part.data, part.length);
    }
    hash = XXH3_64bits_digest(state);
    XXH3_freeState(state);
    return hash;
}

GString *
BodyBuffer_ToString(const BodyBuffer *this)
{
    GString *text = g_string_sized_new(BodyBuffer_Length(this));
    Str part;

    for (size_t n = 0; (part = BodyBuffer_From(this, n)).length > 0;
         n += part.length) {
        Str_AppendTo(part, text);
    }
    return text;
}
