#include "LimitUpstreams.h"

#include <glib.h>

#include "GatewayFixture.h"

#define SLOT_COUNT 4
#define WORK_TIME_US (130 * MICROS_PER_MS)
#define RULE_WINDOW_US (4 * MICROS_PER_S)
#define RULE_START_US (3 * MICROS_PER_S)
#define RULE_TOLD_US (500 * MICROS_PER_MS)
#define RULE_FACTOR 1.5
#define RULE_EXTRA 5
#define START_US (2 * MICROS_PER_S)
#define CHANGE_INTERVAL_US (6 * MICROS_PER_S)
#define PAUSE_US (3 * MICROS_PER_S)
#define STEP_FACTOR 1.5
#define STEP_COUNT 5
/* Limits of LIMIT_PLAN_VARIES lie between the lowest and this many times it. */
#define VARIATION_FACTOR 8
#define HOSTS_MAX 64
#define NEVER (-1)

/* A time from which a limit holds; none if negative. */
typedef struct LimitStep_ {
    Micros at;
    double per_s;
} LimitStep;

typedef struct Upstream_ {
    char *id;
    uint32_t life;
    Micros slot_free_at[SLOT_COUNT];
    int running, waiting;
    GArray *steps;      /* LimitStep, in order of time */
    GArray *arrivals;   /* Micros of those that the rule counts */
    Micros named_since; /* NEVER while it names none */
    Micros told[HOSTS_MAX];
} Upstream;

struct LimitUpstreams_ {
    LimitOptions options;
    EventQueue *events;
    const Clock *clock;
    Random *random;
    Upstream *all;
    GPtrArray *ids; /* of all incarnations, owned */
    LimitResult result;
};

static Micros
now(const LimitUpstreams *this)
{
    return Clock_Now(this->clock);
}

/* ---- limits ---------------------------------------------------------- */

static double
current_limit(const Upstream *upstream)
{
    return upstream->steps->len > 0 ? g_array_index(upstream->steps, LimitStep,
                                                    upstream->steps->len - 1)
                                          .per_s
                                    : -1;
}

/* Returns the requests that the limit allows between two times. */
static double
allowed_between(const Upstream *upstream, Micros from, Micros to)
{
    double sum = 0;

    for (guint i = 0; i < upstream->steps->len; i++) {
        const LimitStep *step = &g_array_index(upstream->steps, LimitStep, i);
        Micros end = i + 1 < upstream->steps->len
                         ? g_array_index(upstream->steps, LimitStep, i + 1).at
                         : to;
        Micros begin = MAX(step->at, from);

        end = MIN(end, to);
        if (step->per_s > 0 && end > begin) {
            sum += step->per_s * (double)(end - begin) / MICROS_PER_S;
        }
    }
    return sum;
}

static void
set_limit(LimitUpstreams *this, Upstream *upstream, double per_s)
{
    LimitStep step = {now(this), per_s};

    if (upstream->named_since >= 0) {
        Micros from = MAX(
            upstream->named_since + RULE_START_US,
            g_array_index(upstream->steps, LimitStep, upstream->steps->len - 1)
                .at);

        this->result.limited_allowed +=
            allowed_between(upstream, from, now(this));
    }
    if (per_s < 0) {
        upstream->named_since = NEVER;
        g_array_set_size(upstream->arrivals, 0);
        for (unsigned i = 0; i < HOSTS_MAX; i++) {
            upstream->told[i] = NEVER;
        }
    }
    else if (upstream->named_since < 0) {
        upstream->named_since = now(this);
    }
    g_array_append_val(upstream->steps, step);
}

static double
next_limit(LimitUpstreams *this, double limit)
{
    switch (this->options.plan) {
    case LIMIT_PLAN_STEADY:
        return this->options.limit_per_s;
    case LIMIT_PLAN_FALLS:
        return MAX(limit / STEP_FACTOR, this->options.limit_per_s);
    case LIMIT_PLAN_RISES:
        return limit * STEP_FACTOR;
    case LIMIT_PLAN_VARIES:
        break;
    }
    if (Random_Below(this->random, 4) == 0) {
        return -1;
    }
    return this->options.limit_per_s *
           (1 + Random_Unit(this->random) * (VARIATION_FACTOR - 1));
}

static void
change_limit(void *user, uint64_t index)
{
    LimitUpstreams *this = user;
    Upstream *upstream = &this->all[index];
    double limit = next_limit(this, current_limit(upstream));

    set_limit(this, upstream, limit);
    EventQueue_Add(
        this->events,
        Random_Jitter(this->random, limit < 0 ? PAUSE_US : CHANGE_INTERVAL_US),
        change_limit, this, index);
}

static void
start_limit(void *user, uint64_t index)
{
    LimitUpstreams *this = user;
    double limit = this->options.limit_per_s;

    if (this->options.plan == LIMIT_PLAN_FALLS) {
        for (int i = 0; i < STEP_COUNT; i++) {
            limit *= STEP_FACTOR;
        }
    }
    set_limit(this, &this->all[index], limit);
    EventQueue_Add(this->events,
                   Random_Jitter(this->random, CHANGE_INTERVAL_US),
                   change_limit, this, index);
}

void
LimitUpstreams_Start(LimitUpstreams *this)
{
    for (unsigned i = 0; i < this->options.limited_count; i++) {
        EventQueue_Add(this->events, Random_Jitter(this->random, START_US),
                       start_limit, this, i);
    }
}

LimitNotice
LimitUpstreams_Named(const LimitUpstreams *this, uint32_t upstream)
{
    double per_s = current_limit(&this->all[upstream]);

    return (LimitNotice){.kind = per_s >= 0 ? LIMIT_NAMED : LIMIT_ABSENT,
                         .per_s = per_s};
}

/* ---- the rule -------------------------------------------------------- */

static void
judge_arrival(LimitUpstreams *this, Upstream *upstream, uint32_t host)
{
    Micros time = now(this);
    Micros told = upstream->told[host];
    Micros from =
        MAX(time - RULE_WINDOW_US, upstream->named_since + RULE_START_US);
    unsigned count = 0;
    double excess;

    if (upstream->named_since < 0 ||
        time < upstream->named_since + RULE_START_US) {
        return;
    }
    this->result.limited_arrivals++;
    if (told < 0 || time - told < RULE_TOLD_US) {
        return;
    }
    g_array_append_val(upstream->arrivals, time);
    for (guint i = 0; i < upstream->arrivals->len; i++) {
        count += g_array_index(upstream->arrivals, Micros, i) >= from;
    }
    excess =
        (double)count - RULE_EXTRA -
        RULE_FACTOR * allowed_between(upstream, time - RULE_WINDOW_US, time);
    this->result.violations += excess > 0;
    this->result.excess = MAX(this->result.excess, excess);
}

void
LimitUpstreams_OnRelayed(LimitUpstreams *this, uint32_t upstream,
                         uint32_t host)
{
    Upstream *record = &this->all[upstream];

    if (record->told[host] < 0) {
        record->told[host] = now(this);
    }
}

void
LimitUpstreams_OnHostStart(LimitUpstreams *this, uint32_t host)
{
    for (unsigned i = 0; i < this->options.upstream_count; i++) {
        this->all[i].told[host] = NEVER;
    }
}

void
LimitUpstreams_Judge(const LimitUpstreams *this, LimitResult *result)
{
    result->excess = this->result.excess;
    result->violations = this->result.violations;
    result->limited_arrivals = this->result.limited_arrivals;
    result->limited_allowed = this->result.limited_allowed;
    for (unsigned i = 0; i < this->options.limited_count; i++) {
        const Upstream *upstream = &this->all[i];

        if (upstream->named_since >= 0) {
            result->limited_allowed +=
                allowed_between(upstream,
                                MAX(upstream->named_since + RULE_START_US,
                                    g_array_index(upstream->steps, LimitStep,
                                                  upstream->steps->len - 1)
                                        .at),
                                this->options.duration);
        }
    }
}

/* ---- requests -------------------------------------------------------- */

void
LimitUpstreams_OnArrival(LimitUpstreams *this, uint32_t upstream,
                         uint32_t host, Micros *wait, Micros *work)
{
    Upstream *record = &this->all[upstream];
    Micros *first = &record->slot_free_at[0];

    judge_arrival(this, record, host);
    for (int i = 1; i < SLOT_COUNT; i++) {
        if (record->slot_free_at[i] < *first) {
            first = &record->slot_free_at[i];
        }
    }
    *wait = MAX(*first - now(this), 0);
    *work = Random_Jitter(this->random, WORK_TIME_US);
    *first = now(this) + *wait + *work;
    record->waiting++;
}

void
LimitUpstreams_OnWorkStart(LimitUpstreams *this, uint32_t upstream)
{
    this->all[upstream].waiting--;
    this->all[upstream].running++;
}

void
LimitUpstreams_OnWorkEnd(LimitUpstreams *this, uint32_t upstream)
{
    this->all[upstream].running--;
}

LoadReport
LimitUpstreams_Report(const LimitUpstreams *this, uint32_t upstream)
{
    return (LoadReport){.inflight =
                            (uint32_t)MAX(this->all[upstream].running, 0),
                        .queue = (uint32_t)MAX(this->all[upstream].waiting, 0),
                        .slots = SLOT_COUNT,
                        .slowdown_percent = 100};
}

bool
LimitUpstreams_HasFreeSlot(const LimitUpstreams *this)
{
    for (unsigned i = 0; i < this->options.upstream_count; i++) {
        const Upstream *upstream = &this->all[i];

        if (current_limit(upstream) < 0 &&
            upstream->running + upstream->waiting < SLOT_COUNT - 1) {
            return true;
        }
    }
    return false;
}

/* ---- incarnations ---------------------------------------------------- */

static char *
create_id(LimitUpstreams *this, uint32_t upstream)
{
    char *id = g_strdup_printf("u-%u", upstream);

    g_ptr_array_add(this->ids, id);
    return id;
}

UpstreamEntry
LimitUpstreams_Entry(const LimitUpstreams *this, uint32_t upstream)
{
    UpstreamEntry entry = GatewayFixture_Upstream(
        this->all[upstream].id, (uint16_t)(upstream + 1), SLOT_COUNT);

    entry.started = this->all[upstream].life;
    return entry;
}

void
LimitUpstreams_Restart(LimitUpstreams *this, uint32_t upstream)
{
    Upstream *record = &this->all[upstream];

    set_limit(this, record, -1);
    record->life++;
    record->running = record->waiting = 0;
    for (int i = 0; i < SLOT_COUNT; i++) {
        record->slot_free_at[i] = 0;
    }
}

uint32_t
LimitUpstreams_Life(const LimitUpstreams *this, uint32_t upstream)
{
    return this->all[upstream].life;
}

LimitUpstreams *
LimitUpstreams_Create(const LimitOptions *options, EventQueue *events,
                      const Clock *clock, Random *random)
{
    LimitUpstreams *this = g_new0(LimitUpstreams, 1);

    this->options = *options;
    this->events = events;
    this->clock = clock;
    this->random = random;
    this->ids = g_ptr_array_new_with_free_func(g_free);
    this->all = g_new0(Upstream, options->upstream_count);
    for (unsigned i = 0; i < options->upstream_count; i++) {
        Upstream *upstream = &this->all[i];

        upstream->id = create_id(this, i);
        upstream->life = 1;
        upstream->named_since = NEVER;
        upstream->steps = g_array_new(FALSE, FALSE, sizeof(LimitStep));
        upstream->arrivals = g_array_new(FALSE, FALSE, sizeof(Micros));
        for (unsigned k = 0; k < HOSTS_MAX; k++) {
            upstream->told[k] = NEVER;
        }
    }
    return this;
}

void
LimitUpstreams_Destroy(LimitUpstreams *this)
{
    for (unsigned i = 0; i < this->options.upstream_count; i++) {
        g_array_free(this->all[i].steps, TRUE);
        g_array_free(this->all[i].arrivals, TRUE);
    }
    g_ptr_array_free(this->ids, TRUE);
    g_free(this->all);
    g_free(this);
}
