#include "AnswerCache.h"

#include <glib.h>
#include <string.h>

/* Memory of the allocation headers, hash table slot and queue link of one
 * answer. */
#define ANSWER_OVERHEAD_BYTES 128

typedef struct Answer_ {
    KeyHash key;
    size_t length;
    char data[];
} Answer;

struct AnswerCache_ {
    size_t capacity;
    size_t limit;
    size_t bytes;
    GQueue order;      /* Answer, oldest first */
    GHashTable *index; /* set of Answer */
};

static guint
hash_key(gconstpointer key)
{
    return (guint)((const Answer *)key)->key.word[0];
}

static gboolean
equal_key(gconstpointer a, gconstpointer b)
{
    return KeyHash_Equal(((const Answer *)a)->key, ((const Answer *)b)->key);
}

AnswerCache *
AnswerCache_Create(size_t bytes, size_t limit)
{
    AnswerCache *this = g_new0(AnswerCache, 1);

    this->capacity = bytes;
    this->limit = limit;
    g_queue_init(&this->order);
    this->index = g_hash_table_new(hash_key, equal_key);
    return this;
}

static size_t
cost_of(size_t length)
{
    return sizeof(Answer) + ANSWER_OVERHEAD_BYTES + length;
}

static void
drop_oldest(AnswerCache *this)
{
    Answer *oldest = g_queue_pop_head(&this->order);

    g_hash_table_remove(this->index, oldest);
    this->bytes -= cost_of(oldest->length);
    g_free(oldest);
}

void
AnswerCache_Destroy(AnswerCache *this)
{
    while (!g_queue_is_empty(&this->order)) {
        drop_oldest(this);
    }
    g_hash_table_destroy(this->index);
    g_free(this);
}

bool
AnswerCache_Put(AnswerCache *this, KeyHash key, Str answer)
{
    Answer *copy;
    size_t cost = cost_of(answer.length);
    Str cached;

    if (answer.length > this->limit || cost > this->capacity ||
        AnswerCache_Get(this, key, &cached)) {
        return false;
    }
    while (this->bytes + cost > this->capacity) {
        drop_oldest(this);
    }
    copy = g_malloc(sizeof(*copy) + answer.length);
    copy->key = key;
    copy->length = answer.length;
    if (answer.length > 0) {
        memcpy(copy->data, answer.data, answer.length);
    }
    g_queue_push_tail(&this->order, copy);
    g_hash_table_add(this->index, copy);
    this->bytes += cost;
    return true;
}

bool
AnswerCache_Get(const AnswerCache *this, KeyHash key, Str *answer)
{
    Answer lookup = {.key = key};
    const Answer *cached = g_hash_table_lookup(this->index, &lookup);

    if (cached == NULL) {
        return false;
    }
    *answer = (Str){cached->data, cached->length};
    return true;
}

size_t
AnswerCache_Bytes(const AnswerCache *this)
{
    return this->bytes;
}
