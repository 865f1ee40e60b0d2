#include "OverloadQueue.h"

#include <glib.h>
#include <math.h>

/* Weight of one interval in the moving average of the time between served
 * requests. */
#define INTERVAL_EWMA_WEIGHT 0.2
/* Expected work that differs by less than this factor counts as equal, as
 * estimates are not better than that. */
#define WORK_STEP_FACTOR 1.25
/* Part of the work that goes to ranks below the first while they wait: to the
 * request that has waited longest. */
#define LOWER_RANK_RATIO 0.0625
/* Stands for work that is not known. */
#define UNKNOWN_WORK_US (100 * MICROS_PER_MS)

typedef struct Entry_ {
    void *request;
    unsigned rank;
    Micros work;
    int work_step; /* logarithm of the expected work */
    Micros arrived;
    Micros expires_at;
} Entry;

struct OverloadQueue_ {
    const Clock *clock;
    OverloadOrder order;
    GQueue *entries;       /* Entry, in the order in which they are served */
    Micros interval_start; /* last served or first queued request */
    double interval; /* mean time between served requests; 0 if unknown */
    double credit;   /* work that lower ranks may use, in microseconds */
};

OverloadQueue *
OverloadQueue_Create(const Clock *clock)
{
    OverloadQueue *this = g_new0(OverloadQueue, 1);

    this->clock = clock;
    this->entries = g_queue_new();
    return this;
}

void
OverloadQueue_Destroy(OverloadQueue *this)
{
    if (this == NULL) {
        return;
    }
    g_queue_free_full(this->entries, g_free);
    g_free(this);
}

void
OverloadQueue_SetOrder(OverloadQueue *this, OverloadOrder order)
{
    this->order = order;
}

static int
work_step_of(const OverloadQueue *this, const OverloadItem *item)
{
    switch (this->order) {
    case OVERLOAD_BY_WORK:
        return item->work > 0 ? (int)floor(log((double)item->work) /
                                           log(WORK_STEP_FACTOR))
                              : 0;
    case OVERLOAD_BY_ARRIVAL:
        break;
    }
    return 0;
}

/* Returns whether the entry is served before a new one. */
static bool
precedes(const Entry *entry, unsigned rank, int work_step)
{
    return entry->rank < rank ||
           (entry->rank == rank && entry->work_step <= work_step);
}

static size_t
count_ahead(const OverloadQueue *this, const OverloadItem *item)
{
    int work_step = work_step_of(this, item);
    size_t n = 0;

    for (GList *link = this->entries->head;
         link != NULL && precedes(link->data, item->rank, work_step);
         link = link->next) {
        n++;
    }
    return n;
}

Micros
OverloadQueue_ExpectedWait(const OverloadQueue *this, const OverloadItem *item)
{
    size_t ahead = count_ahead(this, item);

    if (this->entries->length == 0) {
        return 0;
    }
    /* After a long time without a served request, the average is out of
     * date. */
    return (Micros)((double)ahead *
                    MAX(this->interval, (double)(Clock_Now(this->clock) -
                                                 this->interval_start)));
}

bool
OverloadQueue_Push(OverloadQueue *this, const OverloadItem *item)
{
    size_t ahead = count_ahead(this, item);
    Micros now = Clock_Now(this->clock);
    Entry *entry;

    if (item->wait_max <= 0 ||
        OverloadQueue_ExpectedWait(this, item) > item->wait_max) {
        return false;
    }
    if (this->entries->length == 0) {
        this->interval_start = now;
    }
    entry = g_new0(Entry, 1);
    entry->request = item->request;
    entry->rank = item->rank;
    entry->work = item->work > 0 ? item->work : UNKNOWN_WORK_US;
    entry->work_step = work_step_of(this, item);
    entry->arrived = now;
    entry->expires_at = now + item->wait_max;
    g_queue_push_nth(this->entries, entry, (gint)ahead);
    return true;
}

/* Returns the entry of a rank below the first that has waited longest, NULL if
 * there is none. */
static const Entry *
longest_waiting(const OverloadQueue *this)
{
    const Entry *first = g_queue_peek_head(this->entries);
    const Entry *longest = NULL;

    for (GList *link = this->entries->head; link != NULL; link = link->next) {
        const Entry *entry = link->data;

        if (entry->rank > first->rank &&
            (longest == NULL || entry->arrived < longest->arrived)) {
            longest = entry;
        }
    }
    return longest;
}

void *
OverloadQueue_Head(const OverloadQueue *this)
{
    const Entry *entry = g_queue_peek_head(this->entries);
    const Entry *lower = NULL;

    if (entry == NULL) {
        return NULL;
    }
    if (this->order == OVERLOAD_BY_WORK && this->credit > 0) {
        lower = longest_waiting(this);
    }
    return lower != NULL && this->credit >= (double)lower->work
               ? lower->request
               : entry->request;
}

bool
OverloadQueue_WouldBeFirst(const OverloadQueue *this, unsigned rank)
{
    const Entry *entry = g_queue_peek_head(this->entries);

    return entry == NULL || rank < entry->rank;
}

static void *
remove_link(OverloadQueue *this, GList *link)
{
    Entry *entry = link->data;
    void *request = entry->request;

    g_queue_delete_link(this->entries, link);
    g_free(entry);
    return request;
}

static void
count_served(OverloadQueue *this, const Entry *entry)
{
    const Entry *first = g_queue_peek_head(this->entries);
    Micros now = Clock_Now(this->clock);
    double passed = (double)(now - this->interval_start);

    this->interval += INTERVAL_EWMA_WEIGHT * (passed - this->interval);
    this->interval_start = now;
    if (entry->rank > first->rank) {
        this->credit -= (double)entry->work;
    }
    else if (longest_waiting(this) != NULL) {
        this->credit +=
            LOWER_RANK_RATIO / (1 - LOWER_RANK_RATIO) * (double)entry->work;
    }
    else {
        this->credit = 0;
    }
}

bool
OverloadQueue_Remove(OverloadQueue *this, void *request, bool served)
{
    for (GList *link = this->entries->head; link != NULL; link = link->next) {
        if (((Entry *)link->data)->request == request) {
            if (served) {
                count_served(this, link->data);
            }
            remove_link(this, link);
            return true;
        }
    }
    return false;
}

void *
OverloadQueue_TakeRejected(OverloadQueue *this)
{
    Micros now = Clock_Now(this->clock);
    size_t ahead = 0;

    for (GList *link = this->entries->head; link != NULL;
         link = link->next, ahead++) {
        const Entry *entry = link->data;
        Micros wait = this->order == OVERLOAD_BY_WORK
                          ? (Micros)((double)ahead * this->interval)
                          : 0;

        if (entry->expires_at <= now || entry->expires_at < now + wait) {
            return remove_link(this, link);
        }
    }
    return NULL;
}

Micros
OverloadQueue_NextTime(const OverloadQueue *this)
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
