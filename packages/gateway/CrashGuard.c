#include "CrashGuard.h"

/* The quarantine distinguishes product lines; the gateway's callers have no
 * shares, so all requests belong to one line. */
#define ONLY_LINE 0
/* A request that merely ran on two upstreams that failed is admitted again
 * after this time. */
#define REFUSE_TTL_US (3 * MICROS_PER_S)
/* A single other upstream may be lost to another crashing request. */
#define OTHER_LOSSES_COUNT 2
/* Each batch is a call to the store, whose rate all hosts share. */
#define BATCH_INTERVAL_US (500 * MICROS_PER_MS)
#define FINGERPRINT_BYTES 20
/* A crashed upstream is back after some seconds at the earliest; until then a
 * response disproves the loss. */
#define DISPROOF_TIME_US (1 * MICROS_PER_S)
/* After a longer time without a path, an upstream may have ended for any
 * reason. */
#define RENEWAL_MAX_US (5 * MICROS_PER_S)

struct CrashGuard_ {
    const UpstreamSet *upstreams;
    const Clock *clock;
    EventLog *log;
    Counters *counters;
    LossWatch *watch;
    Quarantine *quarantine;
    QuarantineExchange *exchange;
    GArray
        *alive_at; /* Micros by upstream: last response of its incarnation */
};

CrashGuard *
CrashGuard_Create(const UpstreamSet *upstreams, Str host, const Clock *clock,
                  Random *random, EventLog *log, Counters *counters)
{
    CrashGuard *this = g_new0(CrashGuard, 1);
    QuarantineOptions options = {
        .refuse_ttl = REFUSE_TTL_US,
        .host_salt = Str_Hash(host) | 1,
        .other_losses = OTHER_LOSSES_COUNT,
        .newest_only = true,
    };
    QuarantineExchangeOptions exchange = {
        .interval = BATCH_INTERVAL_US,
        .removes = true,
    };

    this->upstreams = upstreams;
    this->clock = clock;
    this->log = log;
    this->counters = counters;
    this->watch = LossWatch_Create(clock);
    this->quarantine = Quarantine_Create(&options, clock);
    this->exchange =
        QuarantineExchange_Create(this->quarantine, &exchange, clock, random);
    this->alive_at = g_array_new(FALSE, TRUE, sizeof(Micros));
    return this;
}

void
CrashGuard_Destroy(CrashGuard *this)
{
    if (this == NULL) {
        return;
    }
    QuarantineExchange_Destroy(this->exchange);
    Quarantine_Destroy(this->quarantine);
    LossWatch_Destroy(this->watch);
    g_array_free(this->alive_at, TRUE);
    g_free(this);
}

Fingerprint
CrashGuard_Fingerprint(Str method, Str path, const BodyBuffer *body)
{
    uint64_t digest = BodyBuffer_Hash(body);

    return Quarantine_Fingerprint(
        ONLY_LINE, method, path, (Str){(const char *)&digest, sizeof(digest)});
}

bool
CrashGuard_Refuses(CrashGuard *this, const Fingerprint *fingerprint)
{
    return Quarantine_Check(this->quarantine, fingerprint) ==
           QUARANTINE_REFUSE;
}

Micros
CrashGuard_RefusalTime(CrashGuard *this, const Fingerprint *fingerprint)
{
    return Quarantine_RefusedUntil(this->quarantine, fingerprint) -
           Clock_Now(this->clock);
}

uint32_t
CrashGuard_LossCount(CrashGuard *this, const Fingerprint *fingerprint)
{
    return Quarantine_LossCount(this->quarantine, fingerprint);
}

uint32_t
CrashGuard_Instance(const CrashGuard *this, uint32_t upstream)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);

    return record != NULL ? record->instance : 0;
}

/* ---- losses observed by this host ------------------------------------ */

static void
log_loss(CrashGuard *this, const Fingerprint *fingerprint, const char *source,
         Str upstream)
{
    CounterLabel label = {"source", Str_FromC(source)};
    char text[FINGERPRINT_BYTES];

    Counters_Add(this->counters, "agatecrank_request_losses_total", &label, 1,
                 1);
    if (!EventLog_Begin(this->log, LOG_LEVEL_INFO, "loss")) {
        return;
    }
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
               fingerprint->low);
    EventLog_CStr(this->log, "fingerprint", text);
    EventLog_CStr(this->log, "source", source);
    EventLog_Str(this->log, "upstream", upstream);
    EventLog_Int(this->log, "losses",
                 Quarantine_LossCount(this->quarantine, fingerprint));
    EventLog_Int(this->log, "refused_ms",
                 MAX(CrashGuard_RefusalTime(this, fingerprint), 0) /
                     MICROS_PER_MS);
    EventLog_End(this->log);
}

void
CrashGuard_OnSuccess(CrashGuard *this, const Fingerprint *fingerprint,
                     uint32_t upstream)
{
    Quarantine_OnResponse(this->quarantine, fingerprint, upstream);
}

void
CrashGuard_OnAlive(CrashGuard *this, uint32_t upstream, Micros sent)
{
    LossWatch_OnResponse(this->watch, upstream, sent);
    if (upstream >= this->alive_at->len) {
        g_array_set_size(this->alive_at, upstream + 1);
    }
    g_array_index(this->alive_at, Micros, upstream) = Clock_Now(this->clock);
}

void
CrashGuard_OnNoResponse(CrashGuard *this, const LostAttempt *attempt)
{
    LossWatch_Add(this->watch, attempt);
    CrashGuard_OnUpstreamsChanged(this);
}

void
CrashGuard_OnProbeFailure(CrashGuard *this, uint32_t upstream, Micros sent,
                          bool refused)
{
    LossWatch_OnProbeFailure(this->watch, upstream, sent, refused);
}

void
CrashGuard_OnProbeUnclear(CrashGuard *this, uint32_t upstream, Micros sent,
                          bool accepted)
{
    LossWatch_OnProbeUnclear(this->watch, upstream, sent, accepted);
}

void
CrashGuard_OnReachable(CrashGuard *this, Micros sent)
{
    LossWatch_OnReachable(this->watch, sent);
}

void
CrashGuard_OnPathLost(CrashGuard *this)
{
    LossWatch_OnPathLost(this->watch);
}

void
CrashGuard_OnPathRestored(CrashGuard *this, Micros duration)
{
    if (duration > RENEWAL_MAX_US) {
        LossWatch_Clear(this->watch);
        return;
    }
    LossWatch_Renew(this->watch);
}

Micros
CrashGuard_AliveAt(const CrashGuard *this, uint32_t upstream)
{
    return upstream < this->alive_at->len
               ? g_array_index(this->alive_at, Micros, upstream)
               : 0;
}

void
CrashGuard_OnUnreachable(CrashGuard *this, uint32_t upstream)
{
    LossWatch_OnUnreachable(this->watch, upstream);
}

void
CrashGuard_OnUpstreamsChanged(CrashGuard *this)
{
    uint32_t upstream;
    size_t i = 0;

    while (LossWatch_NextUpstream(this->watch, &i, &upstream)) {
        LossWatch_OnInstance(this->watch, upstream,
                             CrashGuard_Instance(this, upstream));
    }
}

bool
CrashGuard_NextProbe(const CrashGuard *this, size_t *i, uint32_t *upstream)
{
    while (LossWatch_NextUpstream(this->watch, i, upstream)) {
        if (LossWatch_NeedsProbe(this->watch, *upstream)) {
            return true;
        }
    }
    return false;
}

bool
CrashGuard_IsWatched(const CrashGuard *this, uint32_t upstream)
{
    return LossWatch_IsWatched(this->watch, upstream);
}

bool
CrashGuard_NeedsReference(const CrashGuard *this, uint32_t *upstream)
{
    return LossWatch_NeedsReference(this->watch, upstream);
}

void
CrashGuard_OnTime(CrashGuard *this, bool reachable)
{
    LostAttempt loss;

    while (reachable ? LossWatch_NextLoss(this->watch, &loss)
                     : LossWatch_NextProvenLoss(this->watch, &loss)) {
        const UpstreamRecord *record =
            UpstreamSet_Record(this->upstreams, loss.upstream);

        if (Quarantine_OnLoss(this->quarantine, &loss.fingerprint,
                              loss.instance, loss.ended)) {
            log_loss(this, &loss.fingerprint, "own",
                     record != NULL && record->instance == loss.instance
                         ? record->id
                         : STR("gone"));
        }
    }
}

Micros
CrashGuard_NextTime(const CrashGuard *this)
{
    return LossWatch_NextTime(this->watch);
}

/* ---- items of peers -------------------------------------------------- */

size_t
CrashGuard_NextBatch(CrashGuard *this, QuarantineItem *items)
{
    return QuarantineExchange_NextBatch(this->exchange, items);
}

Micros
CrashGuard_NextBatchTime(CrashGuard *this)
{
    return QuarantineExchange_NextTime(this->exchange);
}

void
CrashGuard_OnBatchEnd(CrashGuard *this, int code)
{
    CounterLabel label = {"result", code == 0 ? STR("done") : STR("failed")};

    Counters_Add(this->counters, "agatecrank_quarantine_batches_total", &label,
                 1, 1);
    QuarantineExchange_OnBatchEnd(this->exchange, code);
}

static bool
is_alive_since(const CrashGuard *this, uint32_t instance, Micros when)
{
    for (uint32_t i = 0; i < this->alive_at->len; i++) {
        if (CrashGuard_Instance(this, i) == instance) {
            return g_array_index(this->alive_at, Micros, i) > when;
        }
    }
    return false;
}

static void
drop_contradicted_losses(const CrashGuard *this, QuarantineItem *item)
{
    Micros when = Clock_Now(this->clock) - item->age;
    uint32_t n = 0;

    for (uint32_t i = 0; i < MIN(item->losses, QUARANTINE_LOSSES_MAX); i++) {
        if (!is_alive_since(this, item->upstreams[i], when)) {
            item->upstreams[n++] = item->upstreams[i];
        }
    }
    item->losses = n;
}

int
CrashGuard_OnPeerItem(CrashGuard *this, const QuarantineItem *item)
{
    QuarantineItem believed = *item;
    uint32_t before = CrashGuard_LossCount(this, &item->fingerprint);
    int code;

    if (item->losses > 0 && item->age < DISPROOF_TIME_US) {
        drop_contradicted_losses(this, &believed);
        if (believed.losses == 0) {
            return 0;
        }
    }
    code = item->fingerprint.line == ONLY_LINE
               ? QuarantineExchange_Receive(this->exchange, &believed)
               : ERR_INVALID;
    if (code < 0) {
        CounterLabel label = {"error", Str_FromC(Error_Name(code))};

        Counters_Add(this->counters, "agatecrank_quarantine_rejected_total",
                     &label, 1, 1);
    }
    else if (CrashGuard_LossCount(this, &item->fingerprint) > before) {
        log_loss(this, &item->fingerprint, "peer", STR("unknown"));
    }
    return code;
}

void
CrashGuard_OnPeerForgot(CrashGuard *this, const Fingerprint *fingerprint)
{
    Quarantine_OnPeerForgot(this->quarantine, fingerprint);
}

size_t
CrashGuard_List(CrashGuard *this, QuarantineItem *items, size_t max)
{
    return Quarantine_List(this->quarantine, items, max);
}

void
CrashGuard_SetPeersReachable(CrashGuard *this, bool reachable)
{
    Quarantine_SetPeersReachable(this->quarantine, reachable);
}
