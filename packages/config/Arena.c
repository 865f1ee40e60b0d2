#include "Arena.h"

#include <glib.h>
#include <string.h>

/* Most documents of one object fit in the first block; block sizes double. */
#define FIRST_BLOCK_BYTES 512
#define BLOCK_BYTES_MAX 16384
#define ALIGNMENT_BYTES 16

struct Arena_ {
    GPtrArray *blocks;
    char *next;
    size_t available;
    size_t next_block_bytes;
};

Arena *
Arena_Create(void)
{
    Arena *this = g_new0(Arena, 1);

    this->blocks = g_ptr_array_new_with_free_func(g_free);
    this->next_block_bytes = FIRST_BLOCK_BYTES;
    return this;
}

void
Arena_Destroy(Arena *this)
{
    if (this == NULL) {
        return;
    }
    g_ptr_array_free(this->blocks, TRUE);
    g_free(this);
}

static void
add_block(Arena *this, size_t size)
{
    size_t length = MAX(size, this->next_block_bytes);

    this->next = g_malloc0(length);
    this->available = length;
    this->next_block_bytes = MIN(this->next_block_bytes * 2, BLOCK_BYTES_MAX);
    g_ptr_array_add(this->blocks, this->next);
}

void *
Arena_Alloc(Arena *this, size_t size)
{
    size_t length =
        (size + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
    void *memory;

    if (length == 0) {
        length = ALIGNMENT_BYTES;
    }
    if (length > this->available) {
        add_block(this, length);
    }
    memory = this->next;
    this->next += length;
    this->available -= length;
    return memory;
}

Str
Arena_CopyStr(Arena *this, Str text)
{
    char *copy = Arena_Alloc(this, text.length + 1);

    if (text.length > 0) {
        memcpy(copy, text.data, text.length);
    }
    return (Str){copy, text.length};
}
