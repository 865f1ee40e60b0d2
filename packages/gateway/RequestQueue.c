#include "RequestQueue.h"

#include <glib.h>

/* Weight of one interval in the moving average of the time between served
 * items. */
#define INTERVAL_EWMA_WEIGHT 0.2

typedef struct Entry_ {
    void *item;
    unsigned priority;
    Micros expires_at;
} Entry;

struct RequestQueue_ {
    const Clock *clock;
    GQueue *entries;       /* Entry, by priority, then by arrival */
    Micros interval_start; /* last served or first queued item */
    double interval;       /* mean time between served items; 0 if unknown */
};

RequestQueue *
RequestQueue_Create(const Clock *clock)
{
    RequestQueue *this = g_new0(RequestQueue, 1);

    this->clock = clock;
    this->entries = g_queue_new();
    return this;
}

void
RequestQueue_Destroy(RequestQueue *this)
{
    if (this == NULL) {
        return;
    }
    g_queue_free_full(this->entries, g_free);
    g_free(this);
}

/* Returns the number of entries of the same or a more urgent priority. */
static size_t
count_ahead(const RequestQueue *this, unsigned priority)
{
    size_t n = 0;

    for (GList *link = this->entries->head;
         link != NULL && ((Entry *)link->data)->priority <= priority;
         link = link->next) {
        n++;
    }
    return n;
}

Micros
RequestQueue_ExpectedWait(const RequestQueue *this, unsigned priority)
{
    size_t ahead = count_ahead(this, priority);

    if (this->entries->length == 0) {
        return 0;
    }
    /* After a long time without a served item, the average is out of date. */
    return (Micros)((double)ahead *
                    MAX(this->interval, (double)(Clock_Now(this->clock) -
                                                 this->interval_start)));
}

bool
RequestQueue_Push(RequestQueue *this, void *item, unsigned priority,
                  Micros wait_max)
{
    Entry *entry;
    size_t ahead = count_ahead(this, priority);

    if (wait_max <= 0 ||
        RequestQueue_ExpectedWait(this, priority) > wait_max) {
        return false;
    }
    if (this->entries->length == 0) {
        this->interval_start = Clock_Now(this->clock);
    }
    entry = g_new0(Entry, 1);
    entry->item = item;
    entry->priority = priority;
    entry->expires_at = Clock_Now(this->clock) + wait_max;
    g_queue_push_nth(this->entries, entry, (gint)ahead);
    return true;
}

void *
RequestQueue_Head(const RequestQueue *this)
{
    const Entry *entry = g_queue_peek_head(this->entries);

    return entry != NULL ? entry->item : NULL;
}

bool
RequestQueue_WouldBeFirst(const RequestQueue *this, unsigned priority)
{
    const Entry *entry = g_queue_peek_head(this->entries);

    return entry == NULL || priority < entry->priority;
}

static void *
remove_link(RequestQueue *this, GList *link)
{
    Entry *entry = link->data;
    void *item = entry->item;

    g_queue_delete_link(this->entries, link);
    g_free(entry);
    return item;
}

static void
update_interval(RequestQueue *this)
{
    Micros now = Clock_Now(this->clock);
    double passed = (double)(now - this->interval_start);

    this->interval += INTERVAL_EWMA_WEIGHT * (passed - this->interval);
    this->interval_start = now;
}

bool
RequestQueue_Remove(RequestQueue *this, void *item, bool served)
{
    for (GList *link = this->entries->head; link != NULL; link = link->next) {
        if (((Entry *)link->data)->item == item) {
            remove_link(this, link);
            if (served) {
                update_interval(this);
            }
            return true;
        }
    }
    return false;
}

void *
RequestQueue_TakeExpired(RequestQueue *this)
{
    Micros now = Clock_Now(this->clock);

    for (GList *link = this->entries->head; link != NULL; link = link->next) {
        if (((Entry *)link->data)->expires_at <= now) {
            return remove_link(this, link);
        }
    }
    return NULL;
}

Micros
RequestQueue_NextTime(const RequestQueue *this)
{
    Micros next = -1;

    for (GList *link = this->entries->head; link != NULL; link = link->next) {
        Micros expires_at = ((Entry *)link->data)->expires_at;

        if (next < 0 || expires_at < next) {
            next = expires_at;
        }
    }
    return next;
}
