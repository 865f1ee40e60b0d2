#include "LossWatch.h"

#include <glib.h>

/* A crashed upstream is back after some seconds at the earliest; later
 * responses may be those of its next incarnation. */
#define DECISION_TIME_US (1 * MICROS_PER_S)
/* A single failure may be due to a lost packet or to a full upstream. */
#define PROBE_FAILURES_COUNT 2
/* Pause before the next probe of an upstream that may be full. */
#define PROBE_PAUSE_US (150 * MICROS_PER_MS)
#define WATCHED_MAX 256
#define UPSTREAM_NONE UINT32_MAX

typedef struct Watched_ {
    LostAttempt attempt;
    uint32_t probe_failures;
    Micros probe_at;        /* earliest time of the next probe */
    bool reachable_network; /* the upstream's address responded */
    Micros failed_at;       /* end of the last failed probe */
    bool path_worked;       /* after the upstream had failed */
} Watched;

/* The last response of an upstream. */
typedef struct Alive_ {
    uint32_t upstream;
    Micros time;
} Alive;

struct LossWatch_ {
    const Clock *clock;
    GArray *watched; /* Watched, oldest first */
    Alive alive[2];  /* of two upstreams, the latest first */
    bool cut_off;    /* this host, from all upstreams */
};

LossWatch *
LossWatch_Create(const Clock *clock)
{
    LossWatch *this = g_new0(LossWatch, 1);

    this->clock = clock;
    this->watched = g_array_new(FALSE, FALSE, sizeof(Watched));
    this->alive[0] = this->alive[1] = (Alive){UPSTREAM_NONE, -1};
    return this;
}

void
LossWatch_Destroy(LossWatch *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->watched, TRUE);
    g_free(this);
}

static Watched *
watched_at(const LossWatch *this, size_t i)
{
    return &g_array_index(this->watched, Watched, i);
}

void
LossWatch_Add(LossWatch *this, const LostAttempt *attempt)
{
    Watched watched = {.attempt = *attempt};

    if (this->watched->len >= WATCHED_MAX) {
        g_array_remove_index(this->watched, 0);
    }
    g_array_append_val(this->watched, watched);
}

void
LossWatch_OnPathLost(LossWatch *this)
{
    this->cut_off = true;
}

void
LossWatch_Clear(LossWatch *this)
{
    this->cut_off = false;
    g_array_set_size(this->watched, 0);
}

/* Whether the upstream had failed by that time, unless the path had. */
static bool
has_failed(const Watched *watched, Micros time)
{
    if (watched->attempt.kind == LOST_ATTEMPT_BROKEN) {
        return time >= watched->attempt.ended;
    }
    return watched->probe_failures >= PROBE_FAILURES_COUNT &&
           time >= watched->failed_at;
}

void
LossWatch_Renew(LossWatch *this)
{
    this->cut_off = false;
    for (guint i = 0; i < this->watched->len; i++) {
        Watched *watched = watched_at(this, i);

        watched->attempt.sent = Clock_Now(this->clock);
        watched->attempt.ended = watched->attempt.sent;
        watched->probe_failures = 0;
        watched->probe_at = 0;
        watched->reachable_network = false;
        watched->path_worked = false;
    }
}

static void
note_alive(LossWatch *this, uint32_t upstream)
{
    if (this->alive[0].upstream != upstream) {
        this->alive[1] = this->alive[0];
    }
    this->alive[0] = (Alive){upstream, Clock_Now(this->clock)};
}

void
LossWatch_OnResponse(LossWatch *this, uint32_t upstream, Micros sent)
{
    note_alive(this, upstream);
    for (guint i = this->watched->len; i > 0; i--) {
        const LostAttempt *attempt = &watched_at(this, i - 1)->attempt;

        if (attempt->upstream == upstream && sent >= attempt->ended) {
            g_array_remove_index(this->watched, i - 1);
        }
    }
}

void
LossWatch_OnReachable(LossWatch *this, Micros sent)
{
    for (guint i = 0; i < this->watched->len && !this->cut_off; i++) {
        Watched *watched = watched_at(this, i);

        watched->path_worked |= has_failed(watched, sent);
    }
}

void
LossWatch_OnProbeFailure(LossWatch *this, uint32_t upstream, Micros sent,
                         bool refused)
{
    for (guint i = 0; i < this->watched->len; i++) {
        Watched *watched = watched_at(this, i);

        if (watched->attempt.upstream == upstream &&
            sent >= watched->attempt.ended) {
            watched->probe_failures++;
            watched->failed_at = Clock_Now(this->clock);
            watched->reachable_network |= refused;
        }
    }
}

void
LossWatch_OnProbeUnclear(LossWatch *this, uint32_t upstream, Micros sent,
                         bool accepted)
{
    for (guint i = 0; i < this->watched->len; i++) {
        Watched *watched = watched_at(this, i);

        if (watched->attempt.upstream == upstream &&
            sent >= watched->attempt.ended) {
            watched->reachable_network |= accepted;
            watched->probe_at = Clock_Now(this->clock) + PROBE_PAUSE_US;
        }
    }
}

void
LossWatch_OnUnreachable(LossWatch *this, uint32_t upstream)
{
    for (guint i = 0; i < this->watched->len; i++) {
        Watched *watched = watched_at(this, i);

        if (watched->attempt.upstream == upstream) {
            watched->probe_failures = PROBE_FAILURES_COUNT;
            watched->failed_at = Clock_Now(this->clock);
        }
    }
}

void
LossWatch_OnInstance(LossWatch *this, uint32_t upstream, uint32_t instance)
{
    for (guint i = this->watched->len; i > 0; i--) {
        const LostAttempt *attempt = &watched_at(this, i - 1)->attempt;

        if (attempt->upstream == upstream && attempt->instance != instance) {
            g_array_remove_index(this->watched, i - 1);
        }
    }
}

bool
LossWatch_NextUpstream(const LossWatch *this, size_t *i, uint32_t *upstream)
{
    if (*i >= this->watched->len) {
        return false;
    }
    *upstream = watched_at(this, (*i)++)->attempt.upstream;
    return true;
}

bool
LossWatch_IsWatched(const LossWatch *this, uint32_t upstream)
{
    for (guint i = 0; i < this->watched->len; i++) {
        if (watched_at(this, i)->attempt.upstream == upstream) {
            return true;
        }
    }
    return false;
}

bool
LossWatch_NeedsProbe(const LossWatch *this, uint32_t upstream)
{
    for (guint i = 0; i < this->watched->len; i++) {
        const Watched *watched = watched_at(this, i);

        if (watched->attempt.upstream == upstream &&
            watched->attempt.kind != LOST_ATTEMPT_CANCELLED &&
            watched->probe_at <= Clock_Now(this->clock) &&
            watched->probe_failures < PROBE_FAILURES_COUNT) {
            return true;
        }
    }
    return false;
}

static bool
is_cut_off(const LossWatch *this, const Watched *watched)
{
    const Alive *other = this->alive[0].upstream == watched->attempt.upstream
                             ? &this->alive[1]
                             : &this->alive[0];

    return !watched->reachable_network && other->time < watched->attempt.sent;
}

bool
LossWatch_NeedsReference(const LossWatch *this, uint32_t *upstream)
{
    for (guint i = 0; i < this->watched->len; i++) {
        const Watched *watched = watched_at(this, i);

        if (watched->probe_failures >= PROBE_FAILURES_COUNT &&
            is_cut_off(this, watched)) {
            *upstream = watched->attempt.upstream;
            return true;
        }
    }
    return false;
}

static bool
is_due(const LossWatch *this, const Watched *watched)
{
    return Clock_Now(this->clock) - watched->attempt.ended >= DECISION_TIME_US;
}

static bool
is_lost(const LossWatch *this, const Watched *watched)
{
    if (is_cut_off(this, watched)) {
        return false;
    }
    return watched->probe_failures >= PROBE_FAILURES_COUNT ||
           (is_due(this, watched) &&
            watched->attempt.kind != LOST_ATTEMPT_CANCELLED);
}

bool
LossWatch_NextProvenLoss(LossWatch *this, LostAttempt *loss)
{
    for (guint i = 0; i < this->watched->len; i++) {
        const Watched *watched = watched_at(this, i);

        if (watched->path_worked && is_lost(this, watched)) {
            *loss = watched->attempt;
            g_array_remove_index(this->watched, i);
            return true;
        }
    }
    return false;
}

bool
LossWatch_NextLoss(LossWatch *this, LostAttempt *loss)
{
    guint i = 0;

    while (i < this->watched->len) {
        const Watched *watched = watched_at(this, i);

        if (is_lost(this, watched)) {
            *loss = watched->attempt;
            g_array_remove_index(this->watched, i);
            return true;
        }
        if (is_due(this, watched)) {
            g_array_remove_index(this->watched, i);
        }
        else {
            i++;
        }
    }
    return false;
}

Micros
LossWatch_NextTime(const LossWatch *this)
{
    Micros next = -1;

    for (guint i = 0; i < this->watched->len; i++) {
        const Watched *watched = watched_at(this, i);
        Micros due = watched->attempt.ended + DECISION_TIME_US;

        if (watched->probe_at > Clock_Now(this->clock)) {
            due = MIN(due, watched->probe_at);
        }
        next = next < 0 ? due : MIN(next, due);
    }
    return next;
}
