#include "LineShare.h"

#include <glib.h>
#include <math.h>

#include "Admission.h"

/* Time over which demand is averaged. At 600 requests/s of a line its sum
 * over all hosts is then known to 6%. */
#define DEMAND_TIME (200 * MICROS_PER_MS)

/* What the other hosts say is about this old when it arrives. The own demand
 * is delayed by as much before the two are compared: otherwise a line that
 * surges through all hosts at once would look to each of them as if only its
 * own part had grown. */
#define EXCHANGE_TIME (300 * MICROS_PER_MS)

/* A surge shows first in a short average. It is believed when it exceeds the
 * long one by this many standard deviations of its own randomness. */
#define QUICK_TIME (25 * MICROS_PER_MS)
#define SURGE_SIGMAS 3.0

/* The other hosts are expected to see the same growth if the line had this
 * part of the grown demand here before; a line that starts may well enter
 * through this host only. */
#define KNOWN_PART 0.02

/* Weight of an even split over the hosts, as a part of what the line is
 * entitled to; it decides while there is next to no demand. */
#define EVEN_PRIOR 0.01

/* Items of peers are checked for their age this often. */
#define EXPIRY_TIME (100 * MICROS_PER_MS)

/* Time of its allowance that a limited line may use at once, and may be in
 * debt for requests of callers that are within their share. */
#define BURST_TIME (20 * MICROS_PER_MS)
#define DEBT_TIME (80 * MICROS_PER_MS)
#define DEBT_COSTS 3

/* Callers above their share run while the debt is below this part of what
 * others may make. */
#define HEAVY_PART 0.2

/* What a host may hold in relation to its part when all its callers are below
 * the common level. Their demand is then what they get on average; without
 * the slack the randomness of it would have them refused for a caller that
 * floods another host. */
#define LIGHT_SLACK 1.3
#define LIGHT_PART 0.98

/* First guess of a request's slot time, until one has been seen. */
#define FIRST_COST (5 * MICROS_PER_MS)

/* The expected cost is averaged over this time and at least so many requests.
 * Over 64 requests alone it swung by a half on a host with 3000 a second, and
 * the charges with it. */
#define COST_TIME (500 * MICROS_PER_MS)
#define COST_SAMPLES 64
#define DOUBT 0.98

/* Bounds the memory that a peer message can claim. */
#define MAX_HOSTS 4096

typedef struct Peer_ {
    float usage;
    float effective;
    float caller_level;
    Micros when; /* -1 if it does not count */
} Peer;

struct LineShare_ {
    uint32_t hosts;
    uint32_t peer_slots;
    uint64_t seed;
    double cost;    /* slot time of a request of cost 1 */
    double demand;  /* slots on this host, decays by e in DEMAND_TIME */
    double quick;   /* the same over QUICK_TIME */
    double lagged;  /* demand as old as what the peers said */
    double delayed; /* the same with callers capped */
    double allowance;
    double untrimmed; /* allowance without the trim of the moment */
    double balance;   /* slot time in microseconds */
    uint32_t learnt;  /* requests */
    Micros learnt_at;
    Micros demand_at;
    Micros delayed_at;
    Micros balance_at;
    Micros expiry_at;
    Peer *peers; /* by host, NULL while nothing was heard */
    double peer_usage;
    double peer_effective;
    double peer_levels; /* caller levels weighted by effective demand */
    double peer_level_weight;
    CallerShares *callers; /* NULL while the line is not limited */
};

LineShare *
LineShare_Create(uint32_t hosts, uint64_t seed, Micros now)
{
    LineShare *this = g_new0(LineShare, 1);

    this->hosts = hosts;
    this->seed = seed;
    this->cost = (double)FIRST_COST;
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
LineShare_Estimate(const LineShare *this, double cost)
{
    return (Micros)fmax(1.0, this->cost * cost);
}

void
LineShare_Learn(LineShare *this, double latency, Micros now)
{
    double passed = (double)(now - this->learnt_at) / (double)COST_TIME;
    double weight = fmin(1.0 - exp(-passed), 1.0 / COST_SAMPLES);

    this->learnt_at = now;
    this->learnt++;
    weight = fmax(weight, 1.0 / (double)MIN(this->learnt, 1 << 20));
    /* One request that hangs must not price out the ones that follow. */
    this->cost += weight * (fmin(latency, 16 * this->cost) - this->cost);
    this->cost = fmax(this->cost, 1.0);
}

void
LineShare_Doubt(LineShare *this)
{
    this->cost = fmax(this->cost * DOUBT, 1.0);
}

double
LineShare_Demand(LineShare *this, Micros now)
{
    double passed = (double)(now - this->demand_at);

    if (now > this->demand_at) {
        this->demand *= exp(-passed / (double)DEMAND_TIME);
        this->quick *= exp(-passed / (double)QUICK_TIME);
        this->demand_at = now;
    }
    return this->demand;
}

void
LineShare_OnOffer(LineShare *this, uint64_t caller, Micros cost, Micros now)
{
    this->demand =
        LineShare_Demand(this, now) + (double)cost / (double)DEMAND_TIME;
    this->quick += (double)cost / (double)QUICK_TIME;
    if (this->callers != NULL) {
        CallerShares_OnOffer(this->callers, caller, cost, this->untrimmed,
                             now);
    }
}

static void
count_peer(LineShare *this, const Peer *peer, double sign)
{
    this->peer_usage += sign * peer->usage;
    this->peer_effective += sign * peer->effective;
    if (peer->caller_level > 0) {
        this->peer_levels += sign * peer->caller_level * peer->effective;
        this->peer_level_weight += sign * peer->effective;
    }
}

static void
grow_peers(LineShare *this, uint32_t host)
{
    uint32_t old = this->peer_slots;

    if (host < old) {
        return;
    }
    this->peer_slots = MAX(host + 1, this->hosts);
    this->peers = g_renew(Peer, this->peers, this->peer_slots);
    for (uint32_t i = old; i < this->peer_slots; i++) {
        this->peers[i] = (Peer){.when = -1};
    }
}

void
LineShare_OnPeer(LineShare *this, uint32_t host, double usage,
                 double effective, double caller_level, Micros when,
                 Micros now)
{
    Peer *peer;

    if (host >= MAX_HOSTS || !(usage >= 0) || !(effective >= 0) ||
        !(caller_level >= 0) || now - when > ADMISSION_ITEM_MAX_AGE_US) {
        return;
    }
    grow_peers(this, host);
    peer = &this->peers[host];
    if (peer->when > when) {
        return;
    }
    if (peer->when >= 0) {
        count_peer(this, peer, -1);
    }
    *peer = (Peer){(float)usage, (float)effective, (float)caller_level, when};
    count_peer(this, peer, 1);
}

/* The sums are built anew, which also clears rounding errors. */
static void
expire_peers(LineShare *this, Micros now)
{
    if (this->peers == NULL || now - this->expiry_at < EXPIRY_TIME) {
        return;
    }
    this->expiry_at = now;
    this->peer_usage = 0;
    this->peer_effective = 0;
    this->peer_levels = 0;
    this->peer_level_weight = 0;
    for (uint32_t i = 0; i < this->peer_slots; i++) {
        Peer *peer = &this->peers[i];

        if (now - peer->when > ADMISSION_ITEM_MAX_AGE_US) {
            peer->when = -1;
        }
        if (peer->when >= 0) {
            count_peer(this, peer, 1);
        }
    }
}

/* The level that all hosts would give a caller if they agreed. */
static double
common_caller_level(const LineShare *this)
{
    double own = LineShare_CallerLevel(this);
    double sum = this->peer_levels;
    double weight = this->peer_level_weight;

    if (own > 0) {
        sum += own * this->delayed;
        weight += this->delayed;
    }
    return weight > 0 && sum > 0 ? sum / weight : INFINITY;
}

double
LineShare_Effective(LineShare *this, Micros now)
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
    return fmin(demand, CallerShares_Capped(this->callers, level, now));
}

static void
delay_demand(LineShare *this, Micros now)
{
    double weight =
        1.0 - exp(-(double)(now - this->delayed_at) / (double)EXCHANGE_TIME);

    this->lagged += weight * (LineShare_Demand(this, now) - this->lagged);
    this->delayed += weight * (LineShare_Effective(this, now) - this->delayed);
    this->delayed_at = now;
}

static bool
is_surging(const LineShare *this)
{
    double least = this->cost / (double)DEMAND_TIME;
    double variance =
        fmax(this->demand, least) * this->cost / (2 * (double)QUICK_TIME);

    return this->quick > this->demand + SURGE_SIGMAS * sqrt(variance);
}

/* Hosts that were not heard are expected to see what the others see on
 * average: this host alone at first, nearly all of them soon after. */
static double
expected_elsewhere(const LineShare *this, double known, uint32_t unknown)
{
    unknown = MIN(unknown, this->hosts - 1);
    return known * unknown / (this->hosts - unknown);
}

double
LineShare_Total(LineShare *this, uint32_t unknown, Micros now)
{
    double demand = LineShare_Demand(this, now);
    double others;

    expire_peers(this, now);
    delay_demand(this, now);
    others = fmax(0, this->peer_usage);
    others += expected_elsewhere(this, this->lagged + others, unknown);
    if (!is_surging(this)) {
        return demand + others;
    }
    if (this->lagged > KNOWN_PART * this->quick) {
        others *= this->quick / fmin(this->lagged, this->quick);
    }
    return this->quick + others;
}

/* Time at the old rate is accounted before the rate changes. */
static void
refill(LineShare *this, Micros now)
{
    double passed = (double)(now - this->balance_at);
    double depth = 2 * this->cost;
    double debt = 6 * this->cost;

    if (isinf(this->allowance)) {
        this->balance = depth;
    }
    else {
        depth += this->allowance * (double)BURST_TIME;
        debt += 2 * this->allowance * (double)DEBT_TIME;
        this->balance += this->allowance * passed;
        this->balance = fmax(fmin(this->balance, depth), -debt);
    }
    this->balance_at = now;
}

static bool
has_light_callers(LineShare *this, Micros now)
{
    double level = common_caller_level(this);

    return isfinite(level) &&
           CallerShares_Capped(this->callers, level, now) >=
               LIGHT_PART * CallerShares_Capped(this->callers, INFINITY, now);
}

static void
begin_limit(LineShare *this, Micros now)
{
    if (this->callers == NULL) {
        this->callers = CallerShares_Create(this->seed, now);
    }
}

static void
end_limit(LineShare *this)
{
    if (this->callers != NULL) {
        CallerShares_Destroy(this->callers);
        this->callers = NULL;
    }
}

void
LineShare_Allow(LineShare *this, double entitled, double trim,
                uint32_t unknown, Micros now)
{
    double prior = EVEN_PRIOR * entitled / this->hosts;
    double own = this->delayed + prior;
    double all = this->delayed + fmax(0, this->peer_effective);

    all += expected_elsewhere(this, all, unknown) + this->hosts * prior;

    refill(this, now);
    if (isinf(entitled)) {
        this->allowance = INFINITY;
        end_limit(this);
        return;
    }
    begin_limit(this, now);
    this->untrimmed = entitled * own / all;
    if (has_light_callers(this, now)) {
        this->untrimmed *= LIGHT_SLACK;
    }
    this->allowance = this->untrimmed * trim;
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
LineShare_IsWithin(LineShare *this, uint64_t caller, Micros now)
{
    return this->callers == NULL ||
           CallerShares_MayRun(this->callers, caller, now);
}

Micros
LineShare_Wait(LineShare *this, bool within, Micros ahead, Micros now)
{
    double limit;
    double missing;

    if (isinf(this->allowance)) {
        return 0;
    }
    refill(this, now);
    limit = -(DEBT_COSTS * this->cost + this->allowance * (double)DEBT_TIME);
    if (!within) {
        limit *= HEAVY_PART;
    }
    missing = limit + (double)ahead - this->balance;
    if (missing <= 0) {
        return 0;
    }
    /* An allowance of nothing would wait forever. */
    return (Micros)fmin(missing / fmax(this->allowance, 1e-6), 3.6e9) + 1;
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
    size_t bytes = sizeof(*this) + this->peer_slots * sizeof(Peer);

    return this->callers != NULL ? bytes + CallerShares_Bytes() : bytes;
}
