#include "PathMonitor.h"

/* Upstreams probed in the first round of a suspicion, and in each check of a
 * path that is cut off. */
#define ALARM_SIZE 2
#define CHECK_SIZE 6
/* Least size of a sample while other probes of many upstreams are open. */
#define SAMPLE_MIN 6
/* Least time between the starts of suspicions: each costs new connections. */
#define ALARM_INTERVAL_US (100 * MICROS_PER_MS)
/* Least time from the start of a suspicion to its second round, so that both
 * do not fall into the same short disturbance. */
#define SAMPLE_DELAY_US (50 * MICROS_PER_MS)
/* Longest time for a round: a probe takes up to 60 ms, and its upstream may
 * have to end another one first. */
#define ROUND_MAX_US (200 * MICROS_PER_MS)
/* Interval of checks while cut off. */
#define CHECK_INTERVAL_US (250 * MICROS_PER_MS)
/* Interval of PathMonitor_OnTime() during a round, and the lateness that shows
 * a stall of this host. */
#define TICK_US (20 * MICROS_PER_MS)
#define STALL_US (25 * MICROS_PER_MS)
/* Least time between the starts of rounds that repeat each other. */
#define REPEAT_DELAY_US (50 * MICROS_PER_MS)
/* Rounds without a result after which a suspicion ends; a host that always
 * stalls is judged by its timeouts then. */
#define VOID_ROUNDS_MAX 3
/* A deployment with one upstream can't tell its crash from a cut. */
#define TARGETS_MIN 2

typedef enum Round_ {
    ROUND_NONE,
    ROUND_ALARM,
    ROUND_SAMPLE,
} Round;

typedef struct Probed_ {
    PathTarget target;
    PathProbeResult result;
    bool open;
} Probed;

struct PathMonitor_ {
    const Clock *clock;
    Random *random;
    EventLog *log;
    Counters *counters;
    PathState state;
    Round round;      /* that is open, or starts at round_at */
    Micros round_at;  /* its start */
    Micros since;     /* start of the suspicion */
    Micros alarm_at;  /* start of the last one that probes were sent for */
    Micros cut_at;    /* start of the cut */
    Micros heard_at;  /* last response on any connection */
    Micros called_at; /* last call during the round */
    bool stalled;     /* this host, during the round */
    uint32_t void_rounds;
    Probed probed[PATH_SAMPLE_MAX]; /* in this round */
    size_t probed_count;
    size_t target_count; /* as of the last selection, like the next two */
    size_t free_count;   /* at the start of the round: not busy */
    bool many_services;
    bool many_domains;
};

PathMonitor *
PathMonitor_Create(const Clock *clock, Random *random, EventLog *log,
                   Counters *counters)
{
    PathMonitor *this = g_new0(PathMonitor, 1);

    this->clock = clock;
    this->random = random;
    this->log = log;
    this->counters = counters;
    this->heard_at = -1;
    this->alarm_at = -ALARM_INTERVAL_US;
    return this;
}

void
PathMonitor_Destroy(PathMonitor *this)
{
    g_free(this);
}

/* ---- rounds ---------------------------------------------------------- */

static bool
is_open(const PathMonitor *this)
{
    return this->round != ROUND_NONE &&
           Clock_Now(this->clock) >= this->round_at;
}

static void
schedule_round(PathMonitor *this, Round round, Micros at)
{
    this->round = round;
    this->round_at = at;
    this->called_at = at;
    this->stalled = false;
    this->probed_count = 0;
}

static size_t
round_size(const PathMonitor *this)
{
    size_t size;

    if (this->round == ROUND_SAMPLE) {
        size = CLAMP(this->free_count, SAMPLE_MIN, PATH_SAMPLE_MAX);
    }
    else {
        size = this->state == PATH_CUT_OFF ? CHECK_SIZE : ALARM_SIZE;
    }
    return MIN(size, this->target_count);
}

static size_t
count_results(const PathMonitor *this, PathProbeResult result)
{
    size_t n = 0;

    for (size_t i = 0; i < this->probed_count; i++) {
        n += !this->probed[i].open && this->probed[i].result == result;
    }
    return n;
}

static size_t
count_failures(const PathMonitor *this)
{
    return count_results(this, PATH_PROBE_REFUSED) +
           count_results(this, PATH_PROBE_TIMEOUT) +
           count_results(this, PATH_PROBE_SILENT) +
           count_results(this, PATH_PROBE_CLOSED);
}

static bool
is_complete(const PathMonitor *this)
{
    if (Clock_Now(this->clock) >= this->round_at + ROUND_MAX_US) {
        return true;
    }
    for (size_t i = 0; i < this->probed_count; i++) {
        if (this->probed[i].open) {
            return false;
        }
    }
    return this->probed_count > 0 && this->probed_count >= round_size(this);
}

/* ---- verdicts -------------------------------------------------------- */

static void
count_change(PathMonitor *this, const char *state)
{
    CounterLabel label = {"state", Str_FromC(state)};

    Counters_Add(this->counters, "agatecrank_path_changes_total", &label, 1,
                 1);
    Counters_Set(this->counters, "agatecrank_path_cut_off", NULL, 0,
                 this->state == PATH_CUT_OFF);
}

static void
log_change(PathMonitor *this, const char *state, Micros since)
{
    count_change(this, state);
    if (!EventLog_Begin(this->log, LOG_LEVEL_WARN, "path")) {
        return;
    }
    EventLog_CStr(this->log, "state", state);
    EventLog_Int(this->log, "upstreams", (int64_t)this->target_count);
    EventLog_Int(this->log, "probed", (int64_t)this->probed_count);
    EventLog_Int(this->log, "failures", (int64_t)count_failures(this));
    EventLog_Int(this->log, "unconnected",
                 (int64_t)count_results(this, PATH_PROBE_TIMEOUT));
    EventLog_Int(this->log, "unanswered",
                 (int64_t)count_results(this, PATH_PROBE_SILENT));
    EventLog_Int(this->log, "took_ms",
                 (Clock_Now(this->clock) - since) / MICROS_PER_MS);
    EventLog_End(this->log);
}

static void
end_suspicion(PathMonitor *this)
{
    this->state = PATH_REACHABLE;
    this->round = ROUND_NONE;
    this->void_rounds = 0;
}

static void
declare_cut(PathMonitor *this)
{
    Micros now = Clock_Now(this->clock);

    this->state = PATH_CUT_OFF;
    this->cut_at = now;
    this->void_rounds = 0;
    log_change(this, "cut-off", this->since);
    schedule_round(this, ROUND_ALARM, now + CHECK_INTERVAL_US);
}

static void
declare_restored(PathMonitor *this)
{
    end_suspicion(this);
    log_change(this, "restored", this->cut_at);
}

static bool
spans_deployment(const PathMonitor *this)
{
    bool services = !this->many_services;
    bool domains = !this->many_domains;

    for (size_t i = 1; i < this->probed_count; i++) {
        const PathTarget *target = &this->probed[i].target;
        const PathTarget *first = &this->probed[0].target;

        services |= target->service != first->service;
        domains |= target->domain != first->domain;
    }
    return services && domains;
}

/* Whether the failures of the round can be due to a stall of this host, or to
 * upstreams that respond slowly or are full. */
static bool
is_doubtful(const PathMonitor *this)
{
    bool repeated = this->void_rounds >= VOID_ROUNDS_MAX;
    bool silent = count_results(this, PATH_PROBE_SILENT) > 0;
    bool stalled = this->stalled &&
                   (silent || count_results(this, PATH_PROBE_TIMEOUT) > 0);

    if (stalled && !repeated) {
        return true;
    }
    if (PathMonitor_IsSilent(this)) {
        return false;
    }
    return stalled || silent ||
           (count_results(this, PATH_PROBE_CLOSED) > 0 && !repeated);
}

static bool
is_failed(const PathMonitor *this)
{
    return this->target_count >= TARGETS_MIN &&
           count_failures(this) * 2 >= round_size(this) &&
           (this->round == ROUND_ALARM || spans_deployment(this)) &&
           !is_doubtful(this);
}

static void
repeat_round(PathMonitor *this)
{
    if (this->void_rounds++ >= VOID_ROUNDS_MAX) {
        end_suspicion(this);
        return;
    }
    schedule_round(
        this, this->round,
        MAX(Clock_Now(this->clock), this->round_at + REPEAT_DELAY_US));
}

static void
judge_suspicion(PathMonitor *this)
{
    if (!is_failed(this)) {
        repeat_round(this);
    }
    else if (this->round == ROUND_SAMPLE) {
        declare_cut(this);
    }
    else {
        this->void_rounds = 0;
        schedule_round(
            this, ROUND_SAMPLE,
            MAX(Clock_Now(this->clock), this->since + SAMPLE_DELAY_US));
    }
}

static void
judge_cut(PathMonitor *this)
{
    size_t responses = count_results(this, PATH_PROBE_ANSWERED);
    Micros now = Clock_Now(this->clock);

    if (this->round == ROUND_ALARM && responses > 0) {
        schedule_round(this, ROUND_SAMPLE, now);
    }
    else if (this->round == ROUND_SAMPLE && responses > 0) {
        declare_restored(this);
    }
    else if (is_complete(this)) {
        schedule_round(this, ROUND_ALARM,
                       MAX(now, this->round_at + CHECK_INTERVAL_US));
    }
}

static void
judge(PathMonitor *this)
{
    switch (this->state) {
    case PATH_REACHABLE:
    case PATH_DOUBTED:
        break;
    case PATH_SUSPECTED:
        if (is_open(this) && is_complete(this)) {
            judge_suspicion(this);
        }
        break;
    case PATH_CUT_OFF:
        if (is_open(this)) {
            judge_cut(this);
        }
        break;
    }
}

/* Notices stalls of this host by calls that come late. */
static void
note_call(PathMonitor *this)
{
    Micros now = Clock_Now(this->clock);

    if (is_open(this)) {
        this->stalled |= now - this->called_at > TICK_US + STALL_US;
        this->called_at = now;
    }
}

/* ---- events ---------------------------------------------------------- */

void
PathMonitor_OnConnectFailure(PathMonitor *this)
{
    Micros now = Clock_Now(this->clock);

    if (this->state == PATH_REACHABLE) {
        this->state = PATH_DOUBTED;
        this->since = now;
        schedule_round(this, ROUND_ALARM,
                       MAX(now, this->alarm_at + ALARM_INTERVAL_US));
    }
}

void
PathMonitor_OnNoResponse(PathMonitor *this, Micros sent)
{
    if (this->heard_at < sent) {
        PathMonitor_OnConnectFailure(this);
    }
}

void
PathMonitor_OnResponse(PathMonitor *this)
{
    this->heard_at = Clock_Now(this->clock);
}

static Probed *
find_probed(PathMonitor *this, uint32_t upstream)
{
    for (size_t i = 0; i < this->probed_count; i++) {
        if (this->probed[i].open &&
            this->probed[i].target.upstream == upstream) {
            return &this->probed[i];
        }
    }
    return NULL;
}

void
PathMonitor_OnProbeEnd(PathMonitor *this, uint32_t upstream, Micros sent,
                       PathProbeResult result)
{
    Probed *probed = find_probed(this, upstream);

    note_call(this);
    if (probed != NULL && sent >= this->round_at) {
        probed->open = false;
        probed->result = result;
    }
    if (result == PATH_PROBE_ANSWERED && sent >= this->since &&
        this->state != PATH_REACHABLE && this->state != PATH_CUT_OFF) {
        end_suspicion(this);
        return;
    }
    judge(this);
}

void
PathMonitor_OnTime(PathMonitor *this)
{
    note_call(this);
    if (this->state == PATH_DOUBTED && is_open(this)) {
        this->state = PATH_SUSPECTED;
        this->alarm_at = Clock_Now(this->clock);
        count_change(this, "suspected");
    }
    judge(this);
}

Micros
PathMonitor_NextTime(const PathMonitor *this)
{
    if (this->round == ROUND_NONE) {
        return -1;
    }
    return is_open(this) && this->state != PATH_DOUBTED
               ? this->called_at + TICK_US
               : this->round_at;
}

/* ---- choice of the sample -------------------------------------------- */

bool
PathMonitor_WantsProbes(const PathMonitor *this)
{
    return is_open(this) && this->state != PATH_DOUBTED &&
           (this->probed_count == 0 || this->probed_count < round_size(this));
}

static void
note_targets(PathMonitor *this, const PathTarget *targets, size_t count)
{
    size_t free_count = 0;

    this->target_count = count;
    this->many_services = false;
    this->many_domains = false;
    for (size_t i = 0; i < count; i++) {
        free_count += !targets[i].busy;
        this->many_services |= targets[i].service != targets[0].service;
        this->many_domains |= targets[i].domain != targets[0].domain;
    }
    if (this->probed_count == 0) {
        this->free_count = free_count;
    }
}

/* Returns how much of the sample is of the same service or domain, -1 if the
 * target is part of it. */
static int
overlap(const PathMonitor *this, const PathTarget *target)
{
    int n = 0;

    for (size_t i = 0; i < this->probed_count; i++) {
        const PathTarget *other = &this->probed[i].target;

        if (other->upstream == target->upstream) {
            return -1;
        }
        n += (other->service == target->service) +
             (other->domain == target->domain);
    }
    return n;
}

/* Whether a target was heard of later: it is less likely to have ended. While
 * cut off, this is a long time ago for all of them. */
static bool
is_later(const PathMonitor *this, const PathTarget *target,
         const PathTarget *other)
{
    return this->state != PATH_CUT_OFF && target->heard_at > other->heard_at;
}

/* Returns one of the targets that overlap least with the sample, the one heard
 * of last or, while cut off, a random one. */
static const PathTarget *
pick_target(PathMonitor *this, const PathTarget *targets, size_t count)
{
    const PathTarget *best = NULL;
    int least = 0;
    uint64_t ties = 0;

    for (size_t i = 0; i < count; i++) {
        int n = targets[i].busy ? -1 : overlap(this, &targets[i]);

        if (n < 0 || (best != NULL && n > least) ||
            (best != NULL && n == least &&
             is_later(this, best, &targets[i]))) {
            continue;
        }
        ties = best != NULL && n == least && !is_later(this, &targets[i], best)
                   ? ties + 1
                   : 1;
        least = n;
        if (Random_Below(this->random, ties) == 0) {
            best = &targets[i];
        }
    }
    return best;
}

size_t
PathMonitor_SelectProbes(PathMonitor *this, const PathTarget *targets,
                         size_t count, uint32_t *upstreams)
{
    size_t n = 0;

    note_targets(this, targets, count);
    while (PathMonitor_WantsProbes(this) &&
           this->probed_count < PATH_SAMPLE_MAX) {
        const PathTarget *target = pick_target(this, targets, count);

        if (target == NULL) {
            break;
        }
        this->probed[this->probed_count++] = (Probed){*target, 0, true};
        upstreams[n++] = target->upstream;
    }
    return n;
}

PathState
PathMonitor_State(const PathMonitor *this)
{
    return this->state;
}

bool
PathMonitor_DoubtedSince(const PathMonitor *this, Micros time)
{
    return this->state != PATH_REACHABLE || this->since > time;
}

bool
PathMonitor_HeardSince(const PathMonitor *this, Micros time)
{
    return this->heard_at >= time;
}

bool
PathMonitor_IsSilent(const PathMonitor *this)
{
    return !PathMonitor_HeardSince(this, this->since);
}
