#include "CrashUpstreams.h"

#include <glib.h>

#include "GatewayFixture.h"

#define SLOT_COUNT 6
#define DOWN_MIN_US (1500 * MICROS_PER_MS)
#define DOWN_MEAN_US (3 * MICROS_PER_S)
/* An entry is removed after three heartbeats of 1.5 s without one. */
#define LEASE_US (4500 * MICROS_PER_MS)
#define LIST_DELAY_US (200 * MICROS_PER_MS)

typedef struct Upstream_ {
    char *id;
    uint32_t life;
    int running;
    bool up;
    bool silent;
    bool closed;
    bool listed;
} Upstream;

struct CrashUpstreams_ {
    Upstream *all;
    uint32_t count;
    uint32_t next_id;
    Micros replacement_delay; /* 0: ended upstreams start again */
    EventQueue *events;
    Random *random;
    CrashListHandler *on_list;
    void *user;
    GPtrArray *ids;         /* of all lives, owned */
    GPtrArray *list_events; /* of the run, owned */
};

/* An entry that is listed or removed later. */
typedef struct ListEvent_ {
    CrashUpstreams *upstreams;
    char *id;
    uint32_t life;
} ListEvent;

static char *
create_id(CrashUpstreams *this)
{
    char *id = g_strdup_printf("u-%u", this->next_id++);

    g_ptr_array_add(this->ids, id);
    return id;
}

static UpstreamEntry
entry_of(const CrashUpstreams *this, uint32_t upstream)
{
    UpstreamEntry entry = GatewayFixture_Upstream(
        this->all[upstream].id, (uint16_t)(upstream + 1), SLOT_COUNT);

    entry.started = this->all[upstream].life;
    return entry;
}

CrashUpstreams *
CrashUpstreams_Create(uint32_t count, EventQueue *events, Random *random,
                      CrashListHandler *on_list, void *user)
{
    CrashUpstreams *this = g_new0(CrashUpstreams, 1);

    this->all = g_new0(Upstream, count);
    this->count = count;
    this->events = events;
    this->random = random;
    this->on_list = on_list;
    this->user = user;
    this->ids = g_ptr_array_new_with_free_func(g_free);
    this->list_events = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < count; i++) {
        this->all[i] = (Upstream){
            .id = create_id(this), .life = 1, .up = true, .listed = true};
    }
    return this;
}

void
CrashUpstreams_SetReplacementDelay(CrashUpstreams *this, Micros mean)
{
    this->replacement_delay = mean;
}

void
CrashUpstreams_Destroy(CrashUpstreams *this)
{
    g_ptr_array_free(this->ids, TRUE);
    g_ptr_array_free(this->list_events, TRUE);
    g_free(this->all);
    g_free(this);
}

void
CrashUpstreams_PutAll(const CrashUpstreams *this, Dispatcher *dispatcher)
{
    for (uint32_t i = 0; i < this->count; i++) {
        UpstreamEntry entry = entry_of(this, i);

        if (this->all[i].listed) {
            Dispatcher_PutUpstream(dispatcher, &entry);
        }
    }
}

uint32_t
CrashUpstreams_AtPort(uint16_t port)
{
    return port - 1U;
}

static void
on_lease_end(void *user, uint64_t upstream)
{
    ListEvent *event = user;
    CrashUpstreams *this = event->upstreams;
    Upstream *record = &this->all[upstream];
    UpstreamEntry entry = entry_of(this, (uint32_t)upstream);

    /* Under the same id the next life has taken over the entry. */
    if (record->life == event->life || record->id != event->id) {
        entry.id = Str_FromC(event->id);
        record->listed = record->listed && record->id != event->id;
        this->on_list(this->user, &entry, false);
    }
}

static void
on_listed(void *user, uint64_t upstream)
{
    CrashUpstreams *this = user;
    UpstreamEntry entry = entry_of(this, (uint32_t)upstream);

    if (this->all[upstream].up) {
        this->all[upstream].listed = true;
        this->on_list(this->user, &entry, true);
    }
}

static void
restart(void *user, uint64_t upstream)
{
    CrashUpstreams *this = user;
    Upstream *record = &this->all[upstream];

    record->life++;
    record->up = true;
    record->silent = false;
    record->closed = false;
    record->running = 0;
    if (this->replacement_delay > 0 || Random_Below(this->random, 2) == 0) {
        record->id = create_id(this);
        record->listed = false;
    }
    EventQueue_Add(this->events, Random_Jitter(this->random, LIST_DELAY_US),
                   on_listed, this, upstream);
}

static Micros
down_time(CrashUpstreams *this)
{
    if (this->replacement_delay > 0) {
        return Random_Jitter(this->random, this->replacement_delay);
    }
    return DOWN_MIN_US +
           (Micros)Random_Exponential(this->random, (double)DOWN_MEAN_US);
}

void
CrashUpstreams_End(CrashUpstreams *this, uint32_t upstream, CrashKind kind)
{
    Upstream *record = &this->all[upstream];
    ListEvent *event = g_new0(ListEvent, 1);

    g_ptr_array_add(this->list_events, event);
    record->up = false;
    record->silent =
        kind == CRASH_SILENT ||
        (kind == CRASH_MIXED && Random_Below(this->random, 2) == 0);
    record->closed = kind == CRASH_CLOSED;
    *event = (ListEvent){this, record->id, record->life};
    EventQueue_Add(this->events, LEASE_US, on_lease_end, event, upstream);
    EventQueue_Add(this->events, down_time(this), restart, this, upstream);
}

bool
CrashUpstreams_IsUp(const CrashUpstreams *this, uint32_t upstream)
{
    return this->all[upstream].up;
}

bool
CrashUpstreams_IsSilent(const CrashUpstreams *this, uint32_t upstream)
{
    return this->all[upstream].silent;
}

bool
CrashUpstreams_IsClosed(const CrashUpstreams *this, uint32_t upstream)
{
    return this->all[upstream].closed;
}

bool
CrashUpstreams_HasId(const CrashUpstreams *this, uint32_t upstream, Str id)
{
    return this->all[upstream].up &&
           Str_Equal(id, Str_FromC(this->all[upstream].id));
}

uint32_t
CrashUpstreams_Life(const CrashUpstreams *this, uint32_t upstream)
{
    return this->all[upstream].life;
}

void
CrashUpstreams_AddRunning(CrashUpstreams *this, uint32_t upstream, int change)
{
    this->all[upstream].running += change;
}

LoadReport
CrashUpstreams_Report(const CrashUpstreams *this, uint32_t upstream)
{
    int running = MAX(this->all[upstream].running, 0);

    return (LoadReport){.inflight = (uint32_t)MIN(running, SLOT_COUNT),
                        .queue = (uint32_t)MAX(running - SLOT_COUNT, 0),
                        .slots = SLOT_COUNT,
                        .slowdown_percent = 100};
}
