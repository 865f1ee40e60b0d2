#include "CutUpstreams.h"

#include <glib.h>

#define SLOT_COUNT 4
#define WORK_MIN_US (5 * MICROS_PER_MS)
#define WORK_MEAN_US (20 * MICROS_PER_MS)
#define CRASH_TIME_US (20 * MICROS_PER_MS)
#define STEP_US (500 * MICROS_PER_MS)
#define STEP_COUNT 240
/* One in this number names a limit, which its load does not reach. */
#define LIMITED_ONE_IN 9
#define LIMIT_PER_S 200

typedef struct Work_ {
    CutUpstreams *owner;
    uint32_t upstream;
    uint32_t life; /* of the upstream that it was sent to */
    CutRuns *runs;
    CutWorkEnd *handler;
    void *user;
} Work;

typedef struct Upstream_ {
    char id[16];
    uint32_t running;
    uint32_t life;
    Micros dead_until;
    GQueue waiting; /* Work */
} Upstream;

/* Requests and repeated arrivals of half a second. */
typedef struct Step_ {
    uint32_t requests;
    uint32_t repeats;
} Step;

struct CutUpstreams_ {
    EventQueue *events;
    Clock *clock;
    Random *random;
    unsigned count;
    Upstream upstreams[CUT_UPSTREAMS_MAX];
    Step steps[CUT_SERVICES][STEP_COUNT];
    uint32_t dead_service;
    Micros dead_from, dead_until;
    Micros crash_interval;
    GPtrArray *works;
};

CutUpstreams *
CutUpstreams_Create(unsigned count, EventQueue *events, Clock *clock,
                    Random *random)
{
    CutUpstreams *this = g_new0(CutUpstreams, 1);

    g_assert_cmpuint(count, <=, CUT_UPSTREAMS_MAX);
    this->events = events;
    this->clock = clock;
    this->random = random;
    this->count = count;
    this->works = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < count; i++) {
        g_snprintf(this->upstreams[i].id, sizeof(this->upstreams[i].id),
                   "up-%u", i);
        g_queue_init(&this->upstreams[i].waiting);
    }
    return this;
}

void
CutUpstreams_Destroy(CutUpstreams *this)
{
    for (unsigned i = 0; i < this->count; i++) {
        g_queue_clear(&this->upstreams[i].waiting);
    }
    g_ptr_array_free(this->works, TRUE);
    g_free(this);
}

Str
CutUpstreams_ServiceName(uint32_t service)
{
    return service == 0 ? STR("desk") : STR("shop");
}

static uint32_t
service_of(uint32_t upstream)
{
    return upstream % CUT_SERVICES;
}

UpstreamEntry
CutUpstreams_Entry(const CutUpstreams *this, uint32_t upstream)
{
    return (UpstreamEntry){
        .id = Str_FromC(this->upstreams[upstream].id),
        .started = 1,
        .sequence = 1,
        .service = CutUpstreams_ServiceName(service_of(upstream)),
        .address = STR("10.0.0.1"),
        .port = (uint16_t)(upstream + 1),
        .slots = SLOT_COUNT,
    };
}

void
CutUpstreams_KillService(CutUpstreams *this, uint32_t service, Micros from,
                         Micros until)
{
    this->dead_service = service;
    this->dead_from = from;
    this->dead_until = until;
}

bool
CutUpstreams_IsDead(const CutUpstreams *this, uint32_t upstream)
{
    Micros now = Clock_Now(this->clock);

    return now < this->upstreams[upstream].dead_until ||
           (service_of(upstream) == this->dead_service &&
            now >= this->dead_from && now < this->dead_until);
}

LoadReport
CutUpstreams_Report(const CutUpstreams *this, uint32_t upstream)
{
    const Upstream *up = &this->upstreams[upstream];

    return (LoadReport){.inflight = up->running,
                        .queue = up->waiting.length,
                        .slots = SLOT_COUNT,
                        .slowdown_percent = 100};
}

LimitNotice
CutUpstreams_Limit(const CutUpstreams *this, uint32_t upstream)
{
    return upstream % LIMITED_ONE_IN == 0
               ? (LimitNotice){LIMIT_NAMED, LIMIT_PER_S}
               : (LimitNotice){LIMIT_ABSENT, 0};
}

/* ---- work ------------------------------------------------------------ */

static void end_work(void *user, uint64_t argument);

static void
note_run(CutRuns *runs, uint32_t upstream)
{
    runs->count++;
    for (uint32_t i = 0; i < runs->upstream_count; i++) {
        if (runs->upstreams[i] == upstream) {
            return;
        }
    }
    if (runs->upstream_count < CUT_RUNS_MAX) {
        runs->upstreams[runs->upstream_count++] = upstream;
    }
}

static void
start_work(Work *work)
{
    CutUpstreams *this = work->owner;

    note_run(work->runs, work->upstream);
    this->upstreams[work->upstream].running++;
    EventQueue_Add(this->events,
                   WORK_MIN_US +
                       (Micros)Random_Exponential(
                           this->random, (double)(WORK_MEAN_US - WORK_MIN_US)),
                   end_work, work, 0);
}

static void
end_work(void *user, uint64_t argument)
{
    Work *work = user;
    CutUpstreams *this = work->owner;
    Upstream *up = &this->upstreams[work->upstream];
    Work *next;

    up->running--;
    work->handler(work->user, work->life == up->life &&
                                  !CutUpstreams_IsDead(this, work->upstream));
    next = g_queue_pop_head(&up->waiting);
    if (next != NULL) {
        start_work(next);
    }
}

static Step *
step_at(CutUpstreams *this, uint32_t service, Micros time)
{
    Micros step = MIN(time / STEP_US, STEP_COUNT - 1);

    return &this->steps[service][step];
}

void
CutUpstreams_Arrive(CutUpstreams *this, uint32_t upstream, CutRuns *runs,
                    CutWorkEnd *handler, void *user)
{
    Upstream *up = &this->upstreams[upstream];
    Work *work = g_new0(Work, 1);

    g_ptr_array_add(this->works, work);
    *work = (Work){this, upstream, up->life, runs, handler, user};
    if (CutUpstreams_IsDead(this, upstream)) {
        handler(user, false);
        return;
    }
    if (runs->arrivals++ > 0) {
        step_at(this, runs->service, Clock_Now(this->clock))->repeats++;
    }
    if (up->running < SLOT_COUNT) {
        start_work(work);
    }
    else {
        g_queue_push_tail(&up->waiting, work);
    }
}

static void
crash(void *user, uint64_t argument)
{
    CutUpstreams *this = user;
    Upstream *up = &this->upstreams[Random_Below(this->random, this->count)];

    up->life++;
    up->dead_until = Clock_Now(this->clock) + CRASH_TIME_US;
    EventQueue_Add(this->events,
                   Random_Jitter(this->random, this->crash_interval), crash,
                   this, 0);
}

void
CutUpstreams_StartCrashes(CutUpstreams *this, Micros interval)
{
    this->crash_interval = interval;
    EventQueue_Add(this->events, interval, crash, this, 0);
}

/* ---- retry limit ----------------------------------------------------- */

void
CutUpstreams_OnRequest(CutUpstreams *this, uint32_t service, Micros time)
{
    step_at(this, service, time)->requests++;
}

double
CutUpstreams_BudgetExcess(const CutUpstreams *this, Micros window,
                          double ratio, double extra)
{
    Micros steps = window / STEP_US;
    double excess = 0;

    for (uint32_t i = 0; i < CUT_SERVICES; i++) {
        for (Micros end = 1; end <= STEP_COUNT; end++) {
            double requests = 0, repeats = 0;

            for (Micros j = MAX(end - steps, 0); j < end; j++) {
                requests += this->steps[i][j].requests;
                repeats += this->steps[i][j].repeats;
            }
            excess = MAX(excess, repeats - ratio * requests - extra);
        }
    }
    return excess;
}
