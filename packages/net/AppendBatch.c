#include "AppendBatch.h"

#include <glib.h>

/* Hosts that start together register within some 300 ms. */
#define COLLECT_TIME_US (100 * MICROS_PER_MS)
#define APPEND_TIMEOUT_US (1 * MICROS_PER_S)
#define RECORDS_MAX 64
#define WAITING_MAX 1024

typedef struct Item_ {
    GString *key;
    GString *value;
    KeyedAppendHandler *handler;
    void *user;
} Item;

/* An append that is under way. */
typedef struct Append_ {
    AppendBatch *batch;
    GPtrArray *items; /* Item */
} Append;

struct AppendBatch_ {
    Loop *loop;
    const KeyedLog *keyed_log;
    Str topic;
    LoopTimer *timer;
    GQueue *waiting; /* Item */
    uint64_t calls;
};

static void
destroy_item(gpointer data)
{
    Item *item = data;

    g_string_free(item->key, TRUE);
    g_string_free(item->value, TRUE);
    g_free(item);
}

static void
on_appended(void *user, int code)
{
    Append *append = user;

    for (guint i = 0; i < append->items->len; i++) {
        const Item *item = g_ptr_array_index(append->items, i);

        item->handler(item->user, code);
    }
    g_ptr_array_free(append->items, TRUE);
    g_free(append);
}

static void
flush(void *user)
{
    AppendBatch *this = user;
    Append *append = g_new0(Append, 1);
    KeyedRecord records[RECORDS_MAX];
    size_t n = 0;

    append->batch = this;
    append->items = g_ptr_array_new_with_free_func(destroy_item);
    while (n < RECORDS_MAX && !g_queue_is_empty(this->waiting)) {
        Item *item = g_queue_pop_head(this->waiting);

        records[n++] = (KeyedRecord){.key = Str_FromString(item->key),
                                     .value = Str_FromString(item->value)};
        g_ptr_array_add(append->items, item);
    }
    if (!g_queue_is_empty(this->waiting)) {
        LoopTimer_Start(this->timer, 1);
    }
    this->calls++;
    this->keyed_log->append(this->keyed_log->self, this->topic, records, n,
                            APPEND_TIMEOUT_US, on_appended, append);
}

AppendBatch *
AppendBatch_Create(Loop *loop, const KeyedLog *keyed_log, Str topic)
{
    AppendBatch *this = g_new0(AppendBatch, 1);

    this->loop = loop;
    this->keyed_log = keyed_log;
    this->topic = topic;
    this->timer = LoopTimer_Create(loop, flush, this);
    this->waiting = g_queue_new();
    return this;
}

void
AppendBatch_Destroy(AppendBatch *this)
{
    Item *item;

    if (this == NULL) {
        return;
    }
    while ((item = g_queue_pop_head(this->waiting)) != NULL) {
        item->handler(item->user, ERR_UNAVAILABLE);
        destroy_item(item);
    }
    g_queue_free(this->waiting);
    LoopTimer_Destroy(this->timer);
    g_free(this);
}

void
AppendBatch_Add(AppendBatch *this, Str key, Str value,
                KeyedAppendHandler *handler, void *user)
{
    Item *item;

    if (this->waiting->length >= WAITING_MAX) {
        handler(user, ERR_LIMIT);
        return;
    }
    if (g_queue_is_empty(this->waiting)) {
        LoopTimer_Start(this->timer, COLLECT_TIME_US);
    }
    item = g_new0(Item, 1);
    item->key = Str_ToString(key);
    item->value = Str_ToString(value);
    item->handler = handler;
    item->user = user;
    g_queue_push_tail(this->waiting, item);
}

uint64_t
AppendBatch_Calls(const AppendBatch *this)
{
    return this->calls;
}
