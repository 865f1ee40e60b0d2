#include "KeyedMirror.h"

/* Owned copy of a record, referenced by the map and the tail. */
typedef struct Entry_ {
    GString *key;
    GString *value;
    uint64_t offset;
    bool removed;
    unsigned references;
} Entry;

struct KeyedMirror_ {
    GHashTable *newest; /* key (GString) to Entry */
    GQueue *tail;       /* Entry, by offset */
    size_t tail_max;
    uint64_t tail_start; /* the tail is complete from this offset on */
    uint64_t end;
};

static void
unref_entry(gpointer data)
{
    Entry *entry = data;

    if (--entry->references > 0) {
        return;
    }
    g_string_free(entry->key, TRUE);
    g_string_free(entry->value, TRUE);
    g_free(entry);
}

static Entry *
create_entry(const KeyedRecord *record)
{
    Entry *entry = g_new0(Entry, 1);

    entry->key = Str_ToString(record->key);
    entry->value = Str_ToString(record->value);
    entry->offset = record->offset;
    entry->removed = record->removed;
    entry->references = 1;
    return entry;
}

KeyedMirror *
KeyedMirror_Create(size_t tail_max)
{
    KeyedMirror *this = g_new0(KeyedMirror, 1);

    this->newest =
        g_hash_table_new_full((GHashFunc)g_string_hash,
                              (GEqualFunc)g_string_equal, NULL, unref_entry);
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
    g_queue_free_full(this->tail, unref_entry);
    g_hash_table_destroy(this->newest);
    g_free(this);
}

/* Takes ownership of one reference to @entry. */
static void
set_newest(KeyedMirror *this, Entry *entry)
{
    g_hash_table_remove(this->newest, entry->key);
    if (entry->removed) {
        unref_entry(entry);
        return;
    }
    g_hash_table_insert(this->newest, entry->key, entry);
}

void
KeyedMirror_Append(KeyedMirror *this, const KeyedRecord *record)
{
    Entry *entry = create_entry(record);

    entry->references++;
    g_queue_push_tail(this->tail, entry);
    set_newest(this, entry);
    this->end = record->offset + 1;
    if (this->tail->length > this->tail_max) {
        Entry *oldest = g_queue_pop_head(this->tail);

        this->tail_start = oldest->offset + 1;
        unref_entry(oldest);
    }
}

void
KeyedMirror_BeginSnapshot(KeyedMirror *this)
{
    g_queue_clear_full(this->tail, unref_entry);
    g_hash_table_remove_all(this->newest);
    this->tail_start = this->end = 0;
}

void
KeyedMirror_PutSnapshotRecord(KeyedMirror *this, const KeyedRecord *record)
{
    set_newest(this, create_entry(record));
}

void
KeyedMirror_EndSnapshot(KeyedMirror *this, uint64_t end)
{
    this->tail_start = this->end = end;
}

uint64_t
KeyedMirror_End(const KeyedMirror *this)
{
    return this->end;
}

static KeyedRecord
to_record(const Entry *entry)
{
    return (KeyedRecord){
        .key = Str_FromString(entry->key),
        .value = Str_FromString(entry->value),
        .removed = entry->removed,
        .offset = entry->offset,
    };
}

bool
KeyedMirror_Has(const KeyedMirror *this, uint64_t from)
{
    return from >= this->tail_start && from <= this->end;
}

int
KeyedMirror_Tail(const KeyedMirror *this, uint64_t from, GArray *records)
{
    if (!KeyedMirror_Has(this, from)) {
        return ERR_EXPIRED;
    }
    for (GList *link = this->tail->head; link != NULL; link = link->next) {
        const Entry *entry = link->data;

        if (entry->offset >= from) {
            KeyedRecord record = to_record(entry);

            g_array_append_val(records, record);
        }
    }
    return 0;
}

void
KeyedMirror_Newest(const KeyedMirror *this, GArray *records)
{
    GHashTableIter iterator;
    gpointer entry;

    g_hash_table_iter_init(&iterator, this->newest);
    while (g_hash_table_iter_next(&iterator, NULL, &entry)) {
        KeyedRecord record = to_record(entry);

        g_array_append_val(records, record);
    }
}
