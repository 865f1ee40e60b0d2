#include "ClaimTable.h"

#include <glib.h>

/* Entries allocated at first; doubled up to the capacity. */
#define INITIAL_ENTRY_COUNT 64
/* Highest load factor of the index, in quarters. */
#define INDEX_LOAD_MAX_QUARTERS 3

#define MS_PER_S 1000

struct ClaimTable_ {
    ClaimHolders *holders;
    bool keep_floor;
    size_t capacity;
    ClaimEntry *entries; /* ring buffer */
    size_t allocated;
    size_t first;
    size_t count;
    uint32_t *index; /* position in the ring plus 1; 0 is empty */
    size_t slots;    /* power of two */
    uint64_t floor_ms;
};

ClaimTable *
ClaimTable_Create(size_t capacity, ClaimHolders *holders, bool keep_floor)
{
    ClaimTable *this = g_new0(ClaimTable, 1);

    this->holders = holders;
    this->keep_floor = keep_floor;
    this->capacity = capacity > 0 ? capacity : 1;
    return this;
}

void
ClaimTable_Destroy(ClaimTable *this)
{
    for (size_t i = 0; i < this->count; i++) {
        ClaimHolders_Unref(this->holders, ClaimTable_Get(this, i)->holder);
    }
    g_free(this->entries);
    g_free(this->index);
    g_free(this);
}

static size_t
home_slot(const ClaimTable *this, KeyHash key)
{
    return key.word[0] & (this->slots - 1);
}

/* Returns the slot of the key, or the empty slot for it. */
static size_t
find_slot(const ClaimTable *this, KeyHash key)
{
    size_t slot = home_slot(this, key);

    while (this->index[slot] != 0 &&
           !KeyHash_Equal(this->entries[this->index[slot] - 1].key, key)) {
        slot = (slot + 1) & (this->slots - 1);
    }
    return slot;
}

ClaimEntry *
ClaimTable_Find(ClaimTable *this, KeyHash key)
{
    uint32_t position;

    if (this->count == 0) {
        return NULL;
    }
    position = this->index[find_slot(this, key)];
    return position != 0 ? &this->entries[position - 1] : NULL;
}

/* Removes a slot by moving later entries of the probe sequence back, so that
 * no sequence is interrupted. */
static void
clear_slot(ClaimTable *this, size_t hole)
{
    size_t mask = this->slots - 1;
    size_t slot = hole;

    for (;;) {
        size_t home;

        slot = (slot + 1) & mask;
        if (this->index[slot] == 0) {
            break;
        }
        home = home_slot(this, this->entries[this->index[slot] - 1].key);
        if (((slot - home) & mask) >= ((slot - hole) & mask)) {
            this->index[hole] = this->index[slot];
            hole = slot;
        }
    }
    this->index[hole] = 0;
}

static void
forget_oldest(ClaimTable *this)
{
    const ClaimEntry *oldest = &this->entries[this->first];

    if (!this->keep_floor) {
        ClaimTable_RaiseFloor(this, ((uint64_t)oldest->time_s + 1) * MS_PER_S);
    }
    ClaimHolders_Unref(this->holders, oldest->holder);
    clear_slot(this, find_slot(this, oldest->key));
    this->first = (this->first + 1) % this->allocated;
    this->count--;
}

static void
rebuild_index(ClaimTable *this)
{
    this->slots = INITIAL_ENTRY_COUNT;
    while (this->slots / 4 * INDEX_LOAD_MAX_QUARTERS < this->allocated) {
        this->slots *= 2;
    }
    g_free(this->index);
    this->index = g_new0(uint32_t, this->slots);
    for (size_t i = 0; i < this->count; i++) {
        this->index[find_slot(this, this->entries[i].key)] = (uint32_t)i + 1;
    }
}

/* Enlarges the ring buffer, which can be wrapped after
 * ClaimTable_ForgetBefore(), so the entries are copied in order. Not called
 * once the ring has reached the capacity. */
static void
grow(ClaimTable *this)
{
    size_t allocated =
        this->allocated > 0 ? this->allocated * 2 : INITIAL_ENTRY_COUNT;
    ClaimEntry *entries;

    allocated = allocated < this->capacity ? allocated : this->capacity;
    entries = g_new(ClaimEntry, allocated);
    for (size_t i = 0; i < this->count; i++) {
        entries[i] = *ClaimTable_Get(this, i);
    }
    g_free(this->entries);
    this->entries = entries;
    this->allocated = allocated;
    this->first = 0;
    rebuild_index(this);
}

void
ClaimTable_Add(ClaimTable *this, const ClaimEntry *entry)
{
    size_t position;

    if (this->count == this->capacity) {
        forget_oldest(this);
    }
    if (this->count == this->allocated) {
        grow(this);
    }
    position = (this->first + this->count) % this->allocated;
    this->index[find_slot(this, entry->key)] = (uint32_t)position + 1;
    this->entries[position] = *entry;
    this->count++;
}

void
ClaimTable_ForgetBefore(ClaimTable *this, uint64_t time_ms)
{
    while (this->count > 0 &&
           ((uint64_t)this->entries[this->first].time_s + 1) * MS_PER_S <=
               time_ms) {
        forget_oldest(this);
    }
}

uint64_t
ClaimTable_Floor(const ClaimTable *this)
{
    return this->floor_ms;
}

void
ClaimTable_RaiseFloor(ClaimTable *this, uint64_t time_ms)
{
    this->floor_ms = MAX(this->floor_ms, time_ms);
}

size_t
ClaimTable_Count(const ClaimTable *this)
{
    return this->count;
}

const ClaimEntry *
ClaimTable_Get(const ClaimTable *this, size_t i)
{
    return &this->entries[(this->first + i) % this->allocated];
}

size_t
ClaimTable_Bytes(const ClaimTable *this)
{
    return this->allocated * sizeof(ClaimEntry) +
           this->slots * sizeof(uint32_t);
}
