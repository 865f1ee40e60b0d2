#include "LineShare.h"

#include <glib.h>
#include <math.h>

#include "Admission.h"

/* Averaging window of the demand. For a line with 600 requests/s the sum over
 * all hosts is then accurate to 6%. */
#define DEMAND_WINDOW_US (200 * MICROS_PER_MS)

/* Typical age of the items of other hosts on arrival. This host's demand is
 * delayed by the same time before the two are compared. Otherwise, if the
 * demand of a line rises on all hosts at once, each host would see the
 * increase in its own part only. */
#define EXCHANGE_DELAY_US (300 * MICROS_PER_MS)

/* A surge appears first in a short average. It is accepted when that average
 * exceeds the long one by this many of its own standard deviations. */
#define FAST_DEMAND_WINDOW_US (25 * MICROS_PER_MS)
#define SURGE_SIGMA_FACTOR 3.0

/* The other hosts are expected to see the same growth if the line already had
 * this fraction of the increased demand on this host. A line that has just
 * started may send all its requests through this host. */
#define ESTABLISHED_DEMAND_RATIO 0.02

/* Weight of an even split over the hosts, as a fraction of the entitlement of
 * the line; it dominates while there is almost no demand. */
#define EVEN_SPLIT_RATIO 0.01

/* Interval at which items of peers are checked for expiry. */
#define EXPIRY_INTERVAL_US (100 * MICROS_PER_MS)

/* A limited line accumulates at most the allowance of BURST_US plus two
 * requests. Requests of callers within their share may run until its debt
 * reaches the allowance of DEBT_US plus DEBT_REQUEST_COUNT requests. */
#define BURST_US (20 * MICROS_PER_MS)
#define DEBT_US (80 * MICROS_PER_MS)
#define DEBT_REQUEST_COUNT 3

/* Callers above their share may run while the debt is below this fraction of
 * that limit. */
#define OVER_SHARE_DEBT_RATIO 0.2

/* Factor on the allowance of a host while all its callers are below the common
 * level. Their demand then equals their average allowance; without the slack,
 * random variation would cause refusals of these callers because of a caller
 * that floods another host. */
#define WITHIN_SHARE_SLACK_FACTOR 1.3

/* All callers count as below the common level if capping their demand at it
 * leaves at least this fraction. */
#define WITHIN_SHARE_DEMAND_RATIO 0.98

/* Estimated slot time of a request before the first measurement. */
#define INITIAL_SLOT_TIME_US (5 * MICROS_PER_MS)

/* The slot time estimate is averaged over this time and at least this many
 * requests. The number of requests alone is not sufficient: on a host with
 * 3000 requests/s the average of 64 fluctuates by half, and the charges with
 * it. */
#define SLOT_TIME_WINDOW_US (500 * MICROS_PER_MS)
#define SLOT_TIME_SAMPLES_MIN 64
#define SLOT_TIME_REDUCTION_FACTOR 0.98

/* Bounds the memory that peer messages can cause to be allocated. */
#define HOSTS_MAX 4096

typedef struct Peer_ {
    float demand;
    float capped_demand;
    float caller_level;
    Micros measured_at; /* -1 if missing or expired */
} Peer;

struct LineShare_ {
    uint32_t hosts;
    uint32_t peer_capacity;
    uint64_t seed;
    double unit_slot_time; /* slot time per unit of cost, in microseconds */
    double demand; /* slots on this host, decays by e per DEMAND_WINDOW_US */
    double fast_demand;           /* the same over FAST_DEMAND_WINDOW_US */
    double delayed_demand;        /* demand as old as the items of the peers */
    double delayed_capped_demand; /* the same with callers capped */
    double allowance;
    double untrimmed_allowance; /* allowance before the trim factor */
    double balance;             /* slot time in microseconds */
    uint32_t slot_time_samples;
    Micros slot_time_at;
    Micros demand_at;
    Micros delayed_at;
    Micros balance_at;
    Micros last_expiry_at;
    Peer *peers; /* by host, NULL before the first item */
    double peer_demand_sum;
    double peer_capped_demand_sum;
    double peer_level_sum; /* caller levels weighted by capped demand */
    double peer_level_weight;
    CallerShares *callers; /* NULL while the line is not limited */
};

LineShare *
LineShare_Create(uint32_t hosts, uint64_t seed, Micros now)
{
    LineShare *this = g_new0(LineShare, 1);

    this->hosts = hosts;
    this->seed = seed;
    this->unit_slot_time = (double)INITIAL_SLOT_TIME_US;
    this->allowance = INFINITY;
    this->demand_at = now;
    this->delayed_at = now;
    this->balance_at = now;
    return this;
}

void
LineShare_Destroy(LineShare *this)
{
    if (this->callers != NULL) {
        CallerShares_Destroy(this->callers);
    }
    g_free(this->peers);
    g_free(this);
}

void
LineShare_SetHosts(LineShare *this, uint32_t hosts)
{
    this->hosts = hosts;
}

Micros
LineShare_EstimateSlotTime(const LineShare *this, double cost)
{
    return (Micros)fmax(1.0, this->unit_slot_time * cost);
}

void
LineShare_AddSlotTimeSample(LineShare *this, double slot_time, Micros now)
{
    double elapsed =
        (double)(now - this->slot_time_at) / (double)SLOT_TIME_WINDOW_US;
    double weight = fmin(1.0 - exp(-elapsed), 1.0 / SLOT_TIME_SAMPLES_MIN);

    this->slot_time_at = now;
    this->slot_time_samples++;
    weight = fmax(weight, 1.0 / (double)MIN(this->slot_time_samples, 1 << 20));
    /* A single request that hangs must not raise the estimate so far that
     * later requests are refused. */
    this->unit_slot_time +=
        weight *
        (fmin(slot_time, 16 * this->unit_slot_time) - this->unit_slot_time);
    this->unit_slot_time = fmax(this->unit_slot_time, 1.0);
}

void
LineShare_LowerSlotTimeEstimate(LineShare *this)
{
    this->unit_slot_time =
        fmax(this->unit_slot_time * SLOT_TIME_REDUCTION_FACTOR, 1.0);
}

double
LineShare_Demand(LineShare *this, Micros now)
{
    double elapsed = (double)(now - this->demand_at);

    if (now > this->demand_at) {
        this->demand *= exp(-elapsed / (double)DEMAND_WINDOW_US);
        this->fast_demand *= exp(-elapsed / (double)FAST_DEMAND_WINDOW_US);
        this->demand_at = now;
    }
    return this->demand;
}

void
LineShare_OnOffer(LineShare *this, uint64_t caller, Micros slot_time,
                  Micros now)
{
    this->demand = LineShare_Demand(this, now) +
                   (double)slot_time / (double)DEMAND_WINDOW_US;
    this->fast_demand += (double)slot_time / (double)FAST_DEMAND_WINDOW_US;
    if (this->callers != NULL) {
        CallerShares_OnOffer(this->callers, caller, slot_time,
                             this->untrimmed_allowance, now);
    }
}

static void
add_to_peer_sums(LineShare *this, const Peer *peer, double sign)
{
    this->peer_demand_sum += sign * peer->demand;
    this->peer_capped_demand_sum += sign * peer->capped_demand;
    if (peer->caller_level > 0) {
        this->peer_level_sum +=
            sign * peer->caller_level * peer->capped_demand;
        this->peer_level_weight += sign * peer->capped_demand;
    }
}

static void
grow_peers(LineShare *this, uint32_t host)
{
    uint32_t old = this->peer_capacity;

    if (host < old) {
        return;
    }
    this->peer_capacity = MAX(host + 1, this->hosts);
    this->peers = g_renew(Peer, this->peers, this->peer_capacity);
    for (uint32_t i = old; i < this->peer_capacity; i++) {
        this->peers[i] = (Peer){.measured_at = -1};
    }
}

void
LineShare_OnPeer(LineShare *this, uint32_t host, double demand,
                 double capped_demand, double caller_level, Micros measured_at,
                 Micros now)
{
    Peer *peer;

    if (host >= HOSTS_MAX || !(demand >= 0) || !(capped_demand >= 0) ||
        !(caller_level >= 0) ||
        now - measured_at > ADMISSION_ITEM_MAX_AGE_US) {
        return;
    }
    grow_peers(this, host);
    peer = &this->peers[host];
    if (peer->measured_at > measured_at) {
        return;
    }
    if (peer->measured_at >= 0) {
        add_to_peer_sums(this, peer, -1);
    }
    *peer = (Peer){(float)demand, (float)capped_demand, (float)caller_level,
                   measured_at};
    add_to_peer_sums(this, peer, 1);
}

/* Recomputes the sums, which also removes accumulated rounding errors. */
static void
expire_peers(LineShare *this, Micros now)
{
    if (this->peers == NULL ||
        now - this->last_expiry_at < EXPIRY_INTERVAL_US) {
        return;
    }
    this->last_expiry_at = now;
    this->peer_demand_sum = 0;
    this->peer_capped_demand_sum = 0;
    this->peer_level_sum = 0;
    this->peer_level_weight = 0;
    for (uint32_t i = 0; i < this->peer_capacity; i++) {
        Peer *peer = &this->peers[i];

        if (now - peer->measured_at > ADMISSION_ITEM_MAX_AGE_US) {
            peer->measured_at = -1;
        }
        if (peer->measured_at >= 0) {
            add_to_peer_sums(this, peer, 1);
        }
    }
}

/* The level that all hosts would give a caller if they had the same
 * information. */
static double
common_caller_level(const LineShare *this)
{
    double own = LineShare_CallerLevel(this);
    double sum = this->peer_level_sum;
    double weight = this->peer_level_weight;

    if (own > 0) {
        sum += own * this->delayed_capped_demand;
        weight += this->delayed_capped_demand;
    }
    return weight > 0 && sum > 0 ? sum / weight : INFINITY;
}

double
LineShare_CappedDemand(LineShare *this, Micros now)
{
    double demand = LineShare_Demand(this, now);
    double level;

    if (this->callers == NULL) {
        return demand;
    }
    level = common_caller_level(this);
    if (isinf(level)) {
        return demand;
    }
    return fmin(demand, CallerShares_CappedDemand(this->callers, level, now));
}

static void
update_delayed_demand(LineShare *this, Micros now)
{
    double weight = 1.0 - exp(-(double)(now - this->delayed_at) /
                              (double)EXCHANGE_DELAY_US);

    this->delayed_demand +=
        weight * (LineShare_Demand(this, now) - this->delayed_demand);
    this->delayed_capped_demand +=
        weight *
        (LineShare_CappedDemand(this, now) - this->delayed_capped_demand);
    this->delayed_at = now;
}

static bool
is_surging(const LineShare *this)
{
    double min_demand = this->unit_slot_time / (double)DEMAND_WINDOW_US;
    double variance = fmax(this->demand, min_demand) * this->unit_slot_time /
                      (2 * (double)FAST_DEMAND_WINDOW_US);

    return this->fast_demand >
           this->demand + SURGE_SIGMA_FACTOR * sqrt(variance);
}

/* Hosts that sent no items are assumed to see the average demand of the known
 * hosts. At first that is this host alone, soon after nearly all hosts. */
static double
expected_unreported_demand(const LineShare *this, double known_demand,
                           uint32_t unreported_hosts)
{
    unreported_hosts = MIN(unreported_hosts, this->hosts - 1);
    return known_demand * unreported_hosts / (this->hosts - unreported_hosts);
}

double
LineShare_TotalDemand(LineShare *this, uint32_t unreported_hosts, Micros now)
{
    double demand = LineShare_Demand(this, now);
    double peer_demand;

    expire_peers(this, now);
    update_delayed_demand(this, now);
    peer_demand = fmax(0, this->peer_demand_sum);
    peer_demand += expected_unreported_demand(
        this, this->delayed_demand + peer_demand, unreported_hosts);
    if (!is_surging(this)) {
        return demand + peer_demand;
    }
    if (this->delayed_demand > ESTABLISHED_DEMAND_RATIO * this->fast_demand) {
        peer_demand *=
            this->fast_demand / fmin(this->delayed_demand, this->fast_demand);
    }
    return this->fast_demand + peer_demand;
}

/* To be called before the allowance changes, since the balance grows at the
 * rate of the allowance. */
static void
refill(LineShare *this, Micros now)
{
    double elapsed = (double)(now - this->balance_at);
    double balance_max = 2 * this->unit_slot_time;
    double debt_max = 6 * this->unit_slot_time;

    if (isinf(this->allowance)) {
        this->balance = balance_max;
    }
    else {
        balance_max += this->allowance * (double)BURST_US;
        debt_max += 2 * this->allowance * (double)DEBT_US;
        this->balance += this->allowance * elapsed;
        this->balance = fmax(fmin(this->balance, balance_max), -debt_max);
    }
    this->balance_at = now;
}

static bool
are_callers_within_share(LineShare *this, Micros now)
{
    double level = common_caller_level(this);

    return isfinite(level) &&
           CallerShares_CappedDemand(this->callers, level, now) >=
               WITHIN_SHARE_DEMAND_RATIO *
                   CallerShares_CappedDemand(this->callers, INFINITY, now);
}

static void
start_limiting(LineShare *this, Micros now)
{
    if (this->callers == NULL) {
        this->callers = CallerShares_Create(this->seed, now);
    }
}

static void
stop_limiting(LineShare *this)
{
    if (this->callers != NULL) {
        CallerShares_Destroy(this->callers);
        this->callers = NULL;
    }
}

void
LineShare_SetLimit(LineShare *this, double entitlement, double trim,
                   uint32_t unreported_hosts, Micros now)
{
    double even_split = EVEN_SPLIT_RATIO * entitlement / this->hosts;
    double own_demand = this->delayed_capped_demand + even_split;
    double all_demand =
        this->delayed_capped_demand + fmax(0, this->peer_capped_demand_sum);

    all_demand +=
        expected_unreported_demand(this, all_demand, unreported_hosts) +
        this->hosts * even_split;

    refill(this, now);
    if (isinf(entitlement)) {
        this->allowance = INFINITY;
        stop_limiting(this);
        return;
    }
    start_limiting(this, now);
    this->untrimmed_allowance = entitlement * own_demand / all_demand;
    if (are_callers_within_share(this, now)) {
        this->untrimmed_allowance *= WITHIN_SHARE_SLACK_FACTOR;
    }
    this->allowance = this->untrimmed_allowance * trim;
}

void
LineShare_SetAllowance(LineShare *this, double allowance)
{
    this->allowance = allowance;
}

double
LineShare_Allowance(const LineShare *this)
{
    return this->allowance;
}

double
LineShare_CallerLevel(const LineShare *this)
{
    double level;

    if (this->callers == NULL) {
        return 0;
    }
    level = CallerShares_Level(this->callers);
    return isinf(level) ? 0 : level;
}

bool
LineShare_IsCallerWithinShare(LineShare *this, uint64_t caller, Micros now)
{
    return this->callers == NULL ||
           CallerShares_IsWithinShare(this->callers, caller, now);
}

Micros
LineShare_WaitTime(LineShare *this, bool within_share, Micros queued_ahead,
                   Micros now)
{
    double limit;
    double deficit;

    if (isinf(this->allowance)) {
        return 0;
    }
    refill(this, now);
    limit = -(DEBT_REQUEST_COUNT * this->unit_slot_time +
              this->allowance * (double)DEBT_US);
    if (!within_share) {
        limit *= OVER_SHARE_DEBT_RATIO;
    }
    deficit = limit + (double)queued_ahead - this->balance;
    if (deficit <= 0) {
        return 0;
    }
    /* Bounds the wait for an allowance of zero. */
    return (Micros)fmin(deficit / fmax(this->allowance, 1e-6), 3.6e9) + 1;
}

void
LineShare_Charge(LineShare *this, Micros amount, Micros now)
{
    refill(this, now);
    this->balance -= (double)amount;
}

void
LineShare_ChargeCaller(LineShare *this, uint64_t caller, Micros amount,
                       Micros now)
{
    if (this->callers != NULL) {
        CallerShares_Charge(this->callers, caller, amount, now);
    }
}

size_t
LineShare_Bytes(const LineShare *this)
{
    size_t bytes = sizeof(*this) + this->peer_capacity * sizeof(Peer);

    return this->callers != NULL ? bytes + CallerShares_Bytes() : bytes;
}
