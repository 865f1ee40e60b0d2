#include "EventQueue.h"

#include <glib.h>

typedef struct Event_ {
    Micros time;
    uint64_t sequence;
    EventHandler *handler;
    void *user;
    uint64_t argument;
} Event;

/* A binary heap ordered by time, then by sequence. */
struct EventQueue_ {
    Clock *clock;
    GArray *heap;
    uint64_t sequence;
};

EventQueue *
EventQueue_Create(Clock *clock)
{
    EventQueue *this = g_new0(EventQueue, 1);

    this->clock = clock;
    this->heap = g_array_new(FALSE, FALSE, sizeof(Event));
    return this;
}

void
EventQueue_Destroy(EventQueue *this)
{
    g_array_free(this->heap, TRUE);
    g_free(this);
}

static bool
runs_before(const Event *a, const Event *b)
{
    if (a->time != b->time) {
        return a->time < b->time;
    }
    return a->sequence < b->sequence;
}

static void
swap_events(Event *a, Event *b)
{
    Event saved = *a;

    *a = *b;
    *b = saved;
}

static void
sift_up(Event *events, size_t i)
{
    while (i > 0 && runs_before(&events[i], &events[(i - 1) / 2])) {
        swap_events(&events[i], &events[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static void
sift_down(Event *events, size_t n)
{
    size_t i = 0;

    for (;;) {
        size_t first = i;

        for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
            if (child < n && runs_before(&events[child], &events[first])) {
                first = child;
            }
        }
        if (first == i) {
            return;
        }
        swap_events(&events[i], &events[first]);
        i = first;
    }
}

void
EventQueue_Add(EventQueue *this, Micros delay, EventHandler *handler,
               void *user, uint64_t argument)
{
    Event event = {
        .time = Clock_Now(this->clock) + (delay > 0 ? delay : 0),
        .sequence = this->sequence++,
        .handler = handler,
        .user = user,
        .argument = argument,
    };

    g_array_append_val(this->heap, event);
    sift_up((Event *)(void *)this->heap->data, this->heap->len - 1);
}

static Event
pop_event(EventQueue *this)
{
    Event *events = (Event *)(void *)this->heap->data;
    Event first = events[0];

    events[0] = events[this->heap->len - 1];
    g_array_set_size(this->heap, this->heap->len - 1);
    sift_down((Event *)(void *)this->heap->data, this->heap->len);
    return first;
}

void
EventQueue_RunUntil(EventQueue *this, Micros time)
{
    while (this->heap->len > 0 &&
           g_array_index(this->heap, Event, 0).time <= time) {
        Event event = pop_event(this);

        Clock_Advance(this->clock, event.time - Clock_Now(this->clock));
        event.handler(event.user, event.argument);
    }
    if (Clock_Now(this->clock) < time) {
        Clock_Advance(this->clock, time - Clock_Now(this->clock));
    }
}

uint64_t
EventQueue_Pending(const EventQueue *this)
{
    return this->heap->len;
}
