#include "Placement.h"

#include <glib.h>
#include <math.h>

/* A report of this age is as good as a new one: less than a tenth of the time
 * in which the pace of a machine changes. */
#define FRESH_TIME (25 * MICROS_PER_MS)
/* Mean time for which a machine keeps its pace. */
#define PACE_TIME (300 * MICROS_PER_MS)
/* Upstreams slow down when nearly full; those of today above this share. */
#define KNEE_BUSY 0.8F
#define KNEE_COST 1.7F
/* Cost up to which it is not worth asking others. */
#define GOOD_COST 1.3F
/* An upstream of another domain must be this much better. */
#define FAR_COST 1.25F
/* A new upstream is this much slower while it warms up. */
#define COLD_COST 2.0F
/* Weight of a report in the means of its service. */
#define MEAN_WEIGHT 0.05F
/* Until there is a report. */
#define MEAN_PACE_START 1.5F
#define MEAN_BUSY_START 0.3F
/* Weight of one failure: two in a row pass FAILURES_HELD. */
#define FAILURE_WEIGHT 0.35F
#define FAILURES_HELD 0.5F
/* One question may be lost, as a packet or to a pause of the upstream. */
#define SILENCES_LOST 2
#define HOLD_TIME (1 * MICROS_PER_S)
#define HOLD_DOUBLINGS 3
/* Cost of each recent failure. */
#define FAILURE_COST 2.0F

typedef struct Load_ {
    PlacementInfo info;
    Micros report_at; /* -1 without a report */
    Micros cold_until;
    Micros held_until;
    float running;
    float waiting;
    float pace;
    float failures; /* running mean of 1 for a failure and 0 for an answer */
    uint32_t sent;  /* since the report */
    uint32_t inflight;
    uint32_t holds;
    uint32_t silences;
    bool present;
    bool draining;
    bool asked;
} Load;

/* Part of the budget for questions that is spent. */
#define QUESTIONS_MARGIN 0.95F
/* Seconds for which unspent questions are kept: the bound is one on a mean
 * over much longer, and bursts last some seconds. */
#define QUESTIONS_KEPT_S 10
/* Part of the kept questions above which some are spared for other uses than
 * placing. */
#define SPARE_SHARE 0.5F
/* A host that starts knows nothing of its share of the load. */
#define QUESTIONS_START 200.0F

/* Difference of costs that does not decide who is asked. */
#define ASK_JITTER 0.2F
/* Asking one that was not heard of for so long opens a connection, as both
 * ends close idle ones. */
#define CONNECTED_TIME (8 * MICROS_PER_S)
#define CONNECT_COST 0.15F

typedef struct Service_ {
    GArray *upstreams; /* uint32_t */
    uint64_t slots;    /* of all of them */
    float mean_pace;
    float mean_busy;
    float mean_own; /* requests of this host in flight */
    uint32_t inflight;
    bool reported;
} Service;

struct Placement_ {
    const Clock *clock;
    Random *random;
    uint32_t own_domain;
    float probes_per_s;
    float questions; /* that may be asked now */
    Micros earned_at;
    GArray *loads;       /* Load by upstream */
    GPtrArray *services; /* Service by index */
};

static void
destroy_service(gpointer data)
{
    Service *service = data;

    g_array_free(service->upstreams, TRUE);
    g_free(service);
}

Placement *
Placement_Create(uint32_t own_domain, double probes_per_s, const Clock *clock,
                 Random *random)
{
    Placement *this = g_new0(Placement, 1);

    this->clock = clock;
    this->random = random;
    this->own_domain = own_domain;
    this->probes_per_s = (float)probes_per_s;
    this->questions = QUESTIONS_START;
    this->earned_at = Clock_Now(clock);
    this->loads = g_array_new(FALSE, TRUE, sizeof(Load));
    this->services = g_ptr_array_new_with_free_func(destroy_service);
    return this;
}

void
Placement_Destroy(Placement *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->loads, TRUE);
    g_ptr_array_free(this->services, TRUE);
    g_free(this);
}

static Load *
load_at(const Placement *this, uint32_t upstream)
{
    return &g_array_index(this->loads, Load, upstream);
}

static Load *
find(const Placement *this, uint32_t upstream)
{
    Load *load = upstream < this->loads->len ? load_at(this, upstream) : NULL;

    return load != NULL && load->present ? load : NULL;
}

static Service *
service_at(Placement *this, uint32_t index)
{
    while (this->services->len <= index) {
        Service *service = g_new0(Service, 1);

        service->upstreams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        service->mean_pace = MEAN_PACE_START;
        service->mean_busy = MEAN_BUSY_START;
        service->mean_own = 1;
        g_ptr_array_add(this->services, service);
    }
    return g_ptr_array_index(this->services, index);
}

void
Placement_Add(Placement *this, uint32_t upstream, const PlacementInfo *info)
{
    Service *service = service_at(this, info->service);
    Micros now = Clock_Now(this->clock);

    if (this->loads->len <= upstream) {
        g_array_set_size(this->loads, upstream + 1);
    }
    *load_at(this, upstream) = (Load){
        .info = *info,
        .report_at = -1,
        .cold_until = now + info->warmup,
        .present = true,
    };
    g_array_append_val(service->upstreams, upstream);
    service->slots += info->slots;
}

void
Placement_Remove(Placement *this, uint32_t upstream)
{
    Load *load = find(this, upstream);
    Service *service;
    GArray *list;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    service->inflight -= MIN(service->inflight, load->inflight);
    service->slots -= load->info.slots;
    load->present = false;
    list = service->upstreams;
    for (guint i = 0; i < list->len; i++) {
        if (g_array_index(list, uint32_t, i) == upstream) {
            g_array_remove_index_fast(list, i);
            return;
        }
    }
}

void
Placement_SetDraining(Placement *this, uint32_t upstream, bool draining)
{
    Load *load = find(this, upstream);

    if (load != NULL) {
        load->draining = draining;
    }
}

void
Placement_OnSent(Placement *this, uint32_t upstream)
{
    Load *load = find(this, upstream);

    if (load == NULL) {
        return;
    }
    load->sent++;
    load->inflight++;
    service_at(this, load->info.service)->inflight++;
    /* The next trial of an upstream that failed comes after this one. */
    if (load->holds > 0) {
        load->held_until = Clock_Now(this->clock) +
                           (HOLD_TIME << MIN(load->holds, HOLD_DOUBLINGS));
    }
}

void
Placement_OnReport(Placement *this, uint32_t upstream,
                   const LoadReport *report)
{
    Load *load = find(this, upstream);
    Service *service;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    if (report->slots > 0) {
        service->slots += report->slots;
        service->slots -= load->info.slots;
        load->info.slots = report->slots;
    }
    load->report_at = Clock_Now(this->clock);
    load->silences = 0;
    load->running = (float)report->inflight;
    load->waiting = (float)report->queue;
    load->pace = report->slowdown_percent > 0
                     ? (float)report->slowdown_percent / 100
                     : 1;
    load->sent = 0;
    service->mean_pace += MEAN_WEIGHT * (load->pace - service->mean_pace);
    service->mean_busy += MEAN_WEIGHT * ((load->running + load->waiting) /
                                             (float)load->info.slots -
                                         service->mean_busy);
    service->mean_own +=
        MEAN_WEIGHT * ((float)service->inflight - service->mean_own);
    service->reported = true;
}

static void
hold(Load *load, Micros now)
{
    if (load->held_until <= now) {
        load->held_until =
            now + (HOLD_TIME << MIN(load->holds, HOLD_DOUBLINGS));
        load->holds++;
    }
}

static void
on_failure(Load *load, Micros now)
{
    load->failures += FAILURE_WEIGHT * (1 - load->failures);
    if (load->failures > FAILURES_HELD) {
        hold(load, now);
    }
}

void
Placement_OnFinished(Placement *this, uint32_t upstream,
                     AttemptOutcome outcome)
{
    Load *load = find(this, upstream);
    Service *service;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    load->inflight -= MIN(load->inflight, 1);
    service->inflight -= MIN(service->inflight, 1);
    load->sent = MIN(load->sent, load->inflight);
    switch (outcome) {
    case ATTEMPT_OK:
        load->failures *= 1 - FAILURE_WEIGHT;
        load->holds = 0;
        load->held_until = 0;
        break;
    case ATTEMPT_ERROR:
    case ATTEMPT_CONNECTION_FAILED:
    case ATTEMPT_TIMEOUT:
        on_failure(load, Clock_Now(this->clock));
        break;
    case ATTEMPT_SHED:
    case ATTEMPT_CANCELLED:
        break;
    }
}

void
Placement_OnAsked(Placement *this, uint32_t upstream)
{
    Load *load = find(this, upstream);

    if (load != NULL) {
        load->asked = true;
    }
}

void
Placement_OnTold(Placement *this, uint32_t upstream, bool reported)
{
    Load *load = find(this, upstream);

    if (load != NULL) {
        load->asked = false;
        load->silences = 0;
        load->report_at = reported ? load->report_at : -1;
    }
}

static bool
is_lost(const Load *load)
{
    return load->silences >= SILENCES_LOST;
}

void
Placement_OnSilence(Placement *this, uint32_t upstream)
{
    Load *load = find(this, upstream);

    if (load != NULL) {
        load->asked = false;
        load->report_at = -1;
        load->silences++;
        if (is_lost(load)) {
            hold(load, Clock_Now(this->clock));
        }
    }
}

bool
Placement_IsLost(const Placement *this, uint32_t upstream)
{
    const Load *load = find(this, upstream);

    return load != NULL && is_lost(load);
}

uint32_t
Placement_Silences(const Placement *this, uint32_t upstream)
{
    const Load *load = find(this, upstream);

    return load != NULL ? load->silences : 0;
}

Micros
Placement_ReportAge(const Placement *this, uint32_t upstream)
{
    const Load *load = find(this, upstream);

    return load != NULL && load->report_at >= 0
               ? Clock_Now(this->clock) - load->report_at
               : -1;
}

bool
Placement_IsAsked(const Placement *this, uint32_t upstream)
{
    const Load *load = find(this, upstream);

    return load != NULL && load->asked;
}

static bool
is_usable(const Load *load, const PlacementQuery *query, uint32_t upstream)
{
    for (size_t i = 0; i < query->avoid_count; i++) {
        if (query->avoid[i] == upstream) {
            return false;
        }
    }
    return !load->draining;
}

static bool
is_held(const Load *load, Micros now)
{
    return load->held_until > now;
}

static bool
is_fresh(const Load *load, Micros now)
{
    return load->report_at >= 0 && now - load->report_at <= FRESH_TIME;
}

/* This host's part of the requests that the service works on, by the reports
 * of the upstreams: its part of the budget, too. */
static float
own_share(const Service *service)
{
    float all = (float)service->slots * service->mean_busy;

    return all > service->mean_own ? service->mean_own / all : 1;
}

static float
questions_rate(const Placement *this)
{
    float rate = 0;

    for (guint i = 0; i < this->services->len; i++) {
        const Service *service = g_ptr_array_index(this->services, i);

        rate += QUESTIONS_MARGIN * this->probes_per_s *
                (float)service->upstreams->len * own_share(service);
    }
    return rate;
}

/* Returns how many questions may be asked, at most @wanted; none if less than
 * the share @kept of those that can be kept is left. */
static size_t
spend(Placement *this, size_t wanted, float kept)
{
    Micros now = Clock_Now(this->clock);
    float rate, passed, most;
    size_t n;

    if (this->probes_per_s <= 0 || wanted == 0) {
        return wanted;
    }
    rate = questions_rate(this);
    passed = (float)(now - this->earned_at) / MICROS_PER_S;
    this->earned_at = now;
    most = QUESTIONS_START + rate * QUESTIONS_KEPT_S;
    this->questions = MIN(this->questions + rate * passed, most);
    if (this->questions < kept * most) {
        return 0;
    }
    n = MIN(wanted, (size_t)MAX(this->questions, 0));
    this->questions -= (float)n;
    return n;
}

/* Placing comes first: it decides for every request. */
bool
Placement_MayAsk(Placement *this)
{
    return spend(this, 1, SPARE_SHARE) == 1;
}

static float
busy_of(const Service *service, const Load *load, float weight)
{
    float slots = (float)load->info.slots;

    return weight * (load->running + load->waiting) +
           (1 - weight) * service->mean_busy * slots + (float)load->sent;
}

/* Expected time there, in times of an idle upstream of the usual pace. */
static float
cost_of(const Service *service, const Load *load, Micros now, float *busy)
{
    float age = load->report_at < 0
                    ? INFINITY
                    : (float)(now - load->report_at) / PACE_TIME;
    float weight = expf(-age);
    float slots = (float)load->info.slots;
    float pace = weight * load->pace + (1 - weight) * service->mean_pace;
    float requests = busy_of(service, load, weight);
    float over = MAX(requests + 1 - slots, 0);
    float work = (requests + 1) / slots > KNEE_BUSY ? KNEE_COST : 1;

    *busy = requests / slots;
    if (now < load->cold_until) {
        pace *= COLD_COST;
    }
    return pace * (work + over / slots) + FAILURE_COST * load->failures;
}

typedef struct Candidate_ {
    uint32_t upstream;
    float cost;
} Candidate;

static float
cost_of_asking(Placement *this, const Service *service, const Load *load,
               Micros now)
{
    float busy;
    float cost = cost_of(service, load, now, &busy);

    if (load->report_at < 0 || now - load->report_at > CONNECTED_TIME) {
        cost += CONNECT_COST;
    }
    /* The lot decides between those that look alike. */
    return cost + ASK_JITTER * (float)Random_Unit(this->random);
}

/* Keeps the @most cheapest in order. */
static size_t
keep_cheapest(Candidate *candidates, size_t n, size_t most, Candidate one)
{
    size_t place = n;

    while (place > 0 && candidates[place - 1].cost > one.cost) {
        place--;
    }
    if (place >= most) {
        return n;
    }
    n = MIN(n + 1, most);
    for (size_t i = n - 1; i > place; i--) {
        candidates[i] = candidates[i - 1];
    }
    candidates[place] = one;
    return n;
}

/* Asks those that were good when last heard of, and rather one of which
 * nothing is known than one that was slow. */
size_t
Placement_Ask(Placement *this, const PlacementQuery *query,
              PlacementScope scope, uint32_t *upstreams)
{
    Service *service = service_at(this, query->service);
    Candidate candidates[PLACEMENT_ROUND_MAX] = {{0, 0}};
    Micros now = Clock_Now(this->clock);
    size_t n = 0;

    for (guint i = 0; i < service->upstreams->len; i++) {
        uint32_t upstream = g_array_index(service->upstreams, uint32_t, i);
        const Load *load = load_at(this, upstream);
        bool near = load->info.domain == this->own_domain;

        if (near != (scope == PLACEMENT_OWN_DOMAIN) || is_held(load, now) ||
            !is_usable(load, query, upstream) || is_fresh(load, now)) {
            continue;
        }
        n = keep_cheapest(
            candidates, n, PLACEMENT_ROUND_MAX,
            (Candidate){upstream, cost_of_asking(this, service, load, now)});
    }
    n = spend(this, n, 0);
    for (size_t i = 0; i < n; i++) {
        upstreams[i] = candidates[i].upstream;
    }
    return n;
}

/* At least one request may always run. Upstreams that do not tell their load
 * say themselves when they are full. */
static bool
has_room(const Service *service, const Load *load, float busy)
{
    float slots = (float)load->info.slots;

    return !service->reported ||
           busy * slots + 1 <= MAX(floorf(KNEE_BUSY * slots), 1);
}

typedef struct Best_ {
    uint32_t upstream;
    float cost;
    float busy;
    uint32_t ties;
    uint32_t seen;
    uint32_t fresh;
} Best;

static void
consider(Placement *this, Best *best, uint32_t upstream, float cost,
         float busy)
{
    if (best->ties > 0 && cost > best->cost) {
        return;
    }
    if (best->ties == 0 || cost < best->cost) {
        best->ties = 0;
    }
    best->ties++;
    if (Random_Below(this->random, best->ties) == 0) {
        best->upstream = upstream;
        best->cost = cost;
        best->busy = busy;
    }
}

static void
find_best(Placement *this, const PlacementQuery *query, bool held, Best *near,
          Best *far)
{
    const Service *service = service_at(this, query->service);
    Micros now = Clock_Now(this->clock);
    float busy, cost;
    Best *best;

    *near = *far = (Best){0};
    for (guint i = 0; i < service->upstreams->len; i++) {
        uint32_t upstream = g_array_index(service->upstreams, uint32_t, i);
        const Load *load = load_at(this, upstream);

        if (!is_usable(load, query, upstream) || is_held(load, now) != held) {
            continue;
        }
        best = load->info.domain == this->own_domain ? near : far;
        best->seen++;
        best->fresh += is_fresh(load, now);
        cost = cost_of(service, load, now, &busy);
        consider(this, best, upstream, cost, busy);
    }
}

static const Best *
better(const Best *near, const Best *far)
{
    if (near->ties == 0) {
        return far;
    }
    if (far->ties > 0 && far->cost * FAR_COST < near->cost) {
        return far;
    }
    return near;
}

int
Placement_Choose(Placement *this, const PlacementQuery *query,
                 PlacementChoice *choice)
{
    Micros now = Clock_Now(this->clock);
    const char *reason = "shortest";
    const Best *best;
    const Load *load;
    Best near, far;

    find_best(this, query, false, &near, &far);
    if (near.ties == 0 && far.ties == 0) {
        /* All look bad, so the measurement may be wrong. */
        find_best(this, query, true, &near, &far);
        reason = "most-look-bad";
    }
    if (near.ties == 0 && far.ties == 0) {
        return ERR_UNAVAILABLE;
    }
    best = better(&near, &far);
    load = load_at(this, best->upstream);
    *choice = (PlacementChoice){
        .upstream = best->upstream,
        .cost = best->cost,
        .busy = best->busy,
        .slowdown_percent = (uint32_t)(load->pace * 100),
        .age = load->report_at < 0 ? -1 : now - load->report_at,
        .reason = reason,
        .good = is_fresh(load, now) && best->cost <= GOOD_COST,
        .room = has_room(service_at(this, query->service), load, best->busy),
        .slot = best->busy * (float)load->info.slots + 1 <=
                (float)load->info.slots,
        .known_share =
            (float)(near.fresh + far.fresh) / (float)(near.seen + far.seen),
    };
    return 0;
}
