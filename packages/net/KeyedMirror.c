#include "KeyedMirror.h"

/* A record and its bytes, shared by the map and the tail. */
typedef struct Kept_ {
    GString *key;
    GString *value;
    uint64_t offset;
    bool removed;
    unsigned references;
} Kept;

struct KeyedMirror_ {
    GHashTable *newest; /* GString to Kept */
    GQueue *tail;       /* Kept in order of offsets */
    size_t tail_max;
    uint64_t first; /* offset from which the tail is whole */
    uint64_t end;
};

static void
unref(gpointer data)
{
    Kept *kept = data;

    if (--kept->references > 0) {
        return;
    }
    g_string_free(kept->key, TRUE);
    g_string_free(kept->value, TRUE);
    g_free(kept);
}

static Kept *
keep(const KeyedRecord *record)
{
    Kept *kept = g_new0(Kept, 1);

    kept->key = Str_ToString(record->key);
    kept->value = Str_ToString(record->value);
    kept->offset = record->offset;
    kept->removed = record->removed;
    kept->references = 1;
    return kept;
}

KeyedMirror *
KeyedMirror_Create(size_t tail_max)
{
    KeyedMirror *this = g_new0(KeyedMirror, 1);

    this->newest = g_hash_table_new_full(
        (GHashFunc)g_string_hash, (GEqualFunc)g_string_equal, NULL, unref);
    this->tail = g_queue_new();
    this->tail_max = tail_max;
    return this;
}

void
KeyedMirror_Destroy(KeyedMirror *this)
{
    if (this == NULL) {
        return;
    }
    g_queue_free_full(this->tail, unref);
    g_hash_table_destroy(this->newest);
    g_free(this);
}

/* Takes over the caller's reference. */
static void
set_newest(KeyedMirror *this, Kept *kept)
{
    g_hash_table_remove(this->newest, kept->key);
    if (kept->removed) {
        unref(kept);
        return;
    }
    g_hash_table_insert(this->newest, kept->key, kept);
}

void
KeyedMirror_Append(KeyedMirror *this, const KeyedRecord *record)
{
    Kept *kept = keep(record);

    kept->references++;
    g_queue_push_tail(this->tail, kept);
    set_newest(this, kept);
    this->end = record->offset + 1;
    if (this->tail->length > this->tail_max) {
        Kept *oldest = g_queue_pop_head(this->tail);

        this->first = oldest->offset + 1;
        unref(oldest);
    }
}

void
KeyedMirror_Restart(KeyedMirror *this)
{
    g_queue_clear_full(this->tail, unref);
    g_hash_table_remove_all(this->newest);
    this->first = this->end = 0;
}

void
KeyedMirror_Put(KeyedMirror *this, const KeyedRecord *record)
{
    set_newest(this, keep(record));
}

void
KeyedMirror_Finish(KeyedMirror *this, uint64_t end)
{
    this->first = this->end = end;
}

uint64_t
KeyedMirror_End(const KeyedMirror *this)
{
    return this->end;
}

static KeyedRecord
record_of(const Kept *kept)
{
    return (KeyedRecord){
        .key = Str_FromString(kept->key),
        .value = Str_FromString(kept->value),
        .removed = kept->removed,
        .offset = kept->offset,
    };
}

int
KeyedMirror_Tail(const KeyedMirror *this, uint64_t from, GArray *records)
{
    if (from < this->first || from > this->end) {
        return ERR_EXPIRED;
    }
    for (GList *link = this->tail->head; link != NULL; link = link->next) {
        const Kept *kept = link->data;

        if (kept->offset >= from) {
            KeyedRecord record = record_of(kept);

            g_array_append_val(records, record);
        }
    }
    return 0;
}

void
KeyedMirror_Newest(const KeyedMirror *this, GArray *records)
{
    GHashTableIter iterator;
    gpointer kept;

    g_hash_table_iter_init(&iterator, this->newest);
    while (g_hash_table_iter_next(&iterator, NULL, &kept)) {
        KeyedRecord record = record_of(kept);

        g_array_append_val(records, record);
    }
}
