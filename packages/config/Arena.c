#include "Arena.h"

#include <glib.h>
#include <string.h>

/* Most documents of one object fit the first block; later ones double. */
#define FIRST_BLOCK 512
#define LARGEST_BLOCK 16384
#define ALIGNMENT 16

struct Arena_ {
    GPtrArray *blocks;
    char *next;
    size_t left;
    size_t block;
};

Arena *
Arena_Create(void)
{
    Arena *this = g_new0(Arena, 1);

    this->blocks = g_ptr_array_new_with_free_func(g_free);
    this->block = FIRST_BLOCK;
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
    size_t length = MAX(size, this->block);

    this->next = g_malloc0(length);
    this->left = length;
    this->block = MIN(this->block * 2, LARGEST_BLOCK);
    g_ptr_array_add(this->blocks, this->next);
}

void *
Arena_Alloc(Arena *this, size_t size)
{
    size_t length = (size + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
    void *place;

    if (length == 0) {
        length = ALIGNMENT;
    }
    if (length > this->left) {
        add_block(this, length);
    }
    place = this->next;
    this->next += length;
    this->left -= length;
    return place;
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
