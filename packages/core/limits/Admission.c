#include "Admission.h"

#include <glib.h>
#include <math.h>

#include "Error.h"
#include "ServiceShares.h"

/* Longest interval between checks of a queue, since shares change. */
#define REFRESH_INTERVAL_US (10 * MICROS_PER_MS)

/* A queue only absorbs bursts, so the wait is bounded to slightly more than
 * twice a service time of 10 ms. */
#define QUEUE_WAIT_MAX_US (25 * MICROS_PER_MS)
#define QUEUE_LENGTH_MAX 64

/* With less than this fraction of the expected time left, a response would
 * more often than not miss its deadline. */
#define MIN_TIME_LEFT_RATIO 0.5

/* A refused caller is told to retry after this time, multiplied by the
 * overload factor. */
#define RETRY_AFTER_BASE_US (100 * MICROS_PER_MS)
#define RETRY_AFTER_MAX_US (2 * MICROS_PER_S)

#define SERVICES_MAX 65536

typedef struct QueuedRequest_ {
    uint64_t request_id;
    uint64_t caller;
    Micros deadline;
    Micros charge;
} QueuedRequest;

struct Admission_ {
    AdmissionOptions options;
    const Clock *clock;
    Random *random;
    GPtrArray *services; /* by id, NULL for an unknown id */
    uint32_t send_cursor;
};

Admission *
Admission_Create(const AdmissionOptions *options, const Clock *clock,
                 Random *random)
{
    Admission *this = g_new0(Admission, 1);

    this->options = *options;
    this->options.hosts = MAX(options->hosts, 1);
    this->clock = clock;
    this->random = random;
    this->services =
        g_ptr_array_new_with_free_func((GDestroyNotify)ServiceShares_Destroy);
    return this;
}

void
Admission_Destroy(Admission *this)
{
    g_ptr_array_free(this->services, TRUE);
    g_free(this);
}

static ServiceShares *
find_service(const Admission *this, uint32_t id)
{
    return id < this->services->len ? g_ptr_array_index(this->services, id)
                                    : NULL;
}

static ServiceLine *
find_line(const ServiceShares *service, uint32_t id)
{
    return service == NULL ? NULL : ServiceShares_FindLine(service, id);
}

static void
apply_static_split(const Admission *this, ServiceShares *service)
{
    if (this->options.mode == ADMISSION_STATIC_SPLIT) {
        ServiceShares_SplitEvenly(service, this->options.static_slots);
    }
}

static ServiceShares *
add_service(Admission *this, uint32_t id)
{
    ServiceShares *service =
        ServiceShares_Create(id, this->options.hosts, Clock_Now(this->clock));

    if (id >= this->services->len) {
        g_ptr_array_set_size(this->services, (gint)id + 1);
    }
    g_ptr_array_index(this->services, id) = service;
    return service;
}

int
Admission_SetLine(Admission *this, uint32_t service_id, uint32_t line,
                  double weight)
{
    ServiceShares *service = find_service(this, service_id);

    if (!(weight > 0) || !isfinite(weight) || service_id >= SERVICES_MAX ||
        line == ADMISSION_LEVEL_LINE) {
        return ERR_INVALID;
    }
    if (service == NULL) {
        service = add_service(this, service_id);
    }
    ServiceShares_SetLine(service, line, weight, Random_Next(this->random),
                          Clock_Now(this->clock));
    apply_static_split(this, service);
    return 0;
}

void
Admission_RemoveLine(Admission *this, uint32_t service_id, uint32_t line_id)
{
    ServiceShares *service = find_service(this, service_id);
    ServiceLine *line = find_line(service, line_id);

    if (line != NULL) {
        ServiceShares_RemoveLine(service, line);
        apply_static_split(this, service);
    }
}

void
Admission_SetHosts(Admission *this, uint32_t hosts)
{
    this->options.hosts = MAX(hosts, 1);
    for (guint i = 0; i < this->services->len; i++) {
        ServiceShares *service = g_ptr_array_index(this->services, i);

        if (service != NULL) {
            ServiceShares_SetHosts(service, this->options.hosts);
            apply_static_split(this, service);
        }
    }
}

static bool
is_adaptive(const Admission *this)
{
    return this->options.mode == ADMISSION_LOCAL ||
           this->options.mode == ADMISSION_SHARED;
}

static void
refresh_shares(const Admission *this, ServiceShares *service,
               ServiceLine *line, Micros now)
{
    if (is_adaptive(this)) {
        ServiceShares_Refresh(service, line, now);
    }
}

/* The retry time grows with the ratio of the demand of the line to its share.
 * It is randomized so that callers don't all retry at the same moment. */
static Micros
retry_after(const Admission *this, const ServiceShares *service,
            const ServiceLine *line, Micros wait)
{
    double level = LevelControl_Level(service->level_control);
    double overload = 1.0;
    double after;

    if (isfinite(level) && level > 0) {
        overload =
            fmax(1.0, line->total_demand /
                          (level * ServiceShares_WeightRatio(service, line)));
    }
    after = (double)wait + (double)RETRY_AFTER_BASE_US * overload *
                               (0.75 + 0.5 * Random_Unit(this->random));
    return (Micros)fmin(after, (double)RETRY_AFTER_MAX_US);
}

static AdmissionVerdict
refuse(const Admission *this, const ServiceShares *service, ServiceLine *line,
       uint64_t request_id, Micros wait, const char *reason)
{
    line->refused++;
    return (AdmissionVerdict){
        .decision = ADMISSION_REFUSE,
        .request_id = request_id,
        .retry_after = retry_after(this, service, line, wait),
        .reason = reason,
    };
}

static AdmissionVerdict
admit(ServiceShares *service, ServiceLine *line, uint64_t request_id,
      Micros charge, Micros now)
{
    service->in_flight++;
    LineShare_Charge(line->share, charge, now);
    line->admitted++;
    return (AdmissionVerdict){
        .decision = ADMISSION_ADMIT,
        .request_id = request_id,
        .charge = charge,
        .reason = "",
    };
}

static bool
would_miss_deadline(Micros deadline, Micros wait, Micros charge, Micros now)
{
    return now + wait + (Micros)(MIN_TIME_LEFT_RATIO * (double)charge) >=
           deadline;
}

static AdmissionVerdict
enqueue(ServiceShares *service, ServiceLine *line,
        const AdmissionRequest *request, Micros charge, Micros wait)
{
    QueuedRequest *queued = g_new(QueuedRequest, 1);

    *queued = (QueuedRequest){
        .request_id = request->request_id,
        .caller = request->caller,
        .deadline = request->deadline,
        .charge = charge,
    };
    g_queue_push_tail(&line->queue, queued);
    line->queued_charge += charge;
    service->queued++;
    return (AdmissionVerdict){
        .decision = ADMISSION_QUEUE,
        .request_id = request->request_id,
        .wait = wait,
        .reason = "",
    };
}

static AdmissionVerdict
decide(Admission *this, ServiceShares *service, ServiceLine *line,
       const AdmissionRequest *request, Micros charge, Micros now)
{
    bool within_share =
        LineShare_IsCallerWithinShare(line->share, request->caller, now);
    Micros wait = LineShare_WaitTime(line->share, within_share,
                                     line->queued_charge, now);
    uint64_t id = request->request_id;

    if (would_miss_deadline(request->deadline, MIN(wait, QUEUE_WAIT_MAX_US),
                            charge, now)) {
        LineShare_LowerSlotTimeEstimate(line->share);
        return refuse(this, service, line, id, wait, "deadline");
    }
    if (wait == 0 && line->queue.length == 0) {
        LineShare_ChargeCaller(line->share, request->caller, charge, now);
        return admit(service, line, id, charge, now);
    }
    if (!within_share) {
        return refuse(this, service, line, id, 0, "caller-share");
    }
    if (wait > QUEUE_WAIT_MAX_US) {
        return refuse(this, service, line, id, wait, "share");
    }
    if (line->queue.length >= QUEUE_LENGTH_MAX) {
        return refuse(this, service, line, id, wait, "queue-full");
    }
    LineShare_ChargeCaller(line->share, request->caller, charge, now);
    return enqueue(service, line, request, charge, wait);
}

AdmissionVerdict
Admission_Offer(Admission *this, const AdmissionRequest *request)
{
    ServiceShares *service = find_service(this, request->service);
    ServiceLine *line = find_line(service, request->line);
    Micros now = Clock_Now(this->clock);
    Micros charge;

    if (line == NULL) {
        return (AdmissionVerdict){
            .decision = ADMISSION_REFUSE,
            .request_id = request->request_id,
            .retry_after = RETRY_AFTER_MAX_US,
            .reason = "unknown-line",
        };
    }
    charge = LineShare_EstimateSlotTime(
        line->share, request->cost > 0 ? request->cost : 1.0);
    LineShare_OnOffer(line->share, request->caller, charge, now);
    if (this->options.mode == ADMISSION_OFF) {
        return admit(service, line, request->request_id, charge, now);
    }
    refresh_shares(this, service, line, now);
    return decide(this, service, line, request, charge, now);
}

static QueuedRequest *
pop_queued(ServiceShares *service, ServiceLine *line)
{
    QueuedRequest *queued = g_queue_pop_head(&line->queue);

    line->queued_charge -= queued->charge;
    service->queued--;
    return queued;
}

static bool
next_verdict_of_line(const Admission *this, ServiceShares *service,
                     ServiceLine *line, AdmissionVerdict *verdict, Micros now)
{
    QueuedRequest *queued = g_queue_peek_head(&line->queue);
    bool expired =
        would_miss_deadline(queued->deadline, 0, queued->charge, now);

    if (!expired && LineShare_WaitTime(line->share, true, 0, now) > 0) {
        return false;
    }
    queued = pop_queued(service, line);
    if (expired) {
        LineShare_ChargeCaller(line->share, queued->caller, -queued->charge,
                               now);
        *verdict =
            refuse(this, service, line, queued->request_id, 0, "expired");
    }
    else {
        *verdict =
            admit(service, line, queued->request_id, queued->charge, now);
    }
    g_free(queued);
    return true;
}

bool
Admission_Next(Admission *this, uint32_t service_id, AdmissionVerdict *verdict)
{
    ServiceShares *service = find_service(this, service_id);
    Micros now = Clock_Now(this->clock);

    if (service == NULL || service->queued == 0) {
        return false;
    }
    refresh_shares(this, service, NULL, now);
    for (guint i = 0; i < service->lines->len; i++) {
        ServiceLine *line = g_ptr_array_index(service->lines, i);

        if (line->queue.length > 0 &&
            next_verdict_of_line(this, service, line, verdict, now)) {
            return true;
        }
    }
    return false;
}

Micros
Admission_NextTime(Admission *this, uint32_t service_id)
{
    const ServiceShares *service = find_service(this, service_id);
    Micros now = Clock_Now(this->clock);
    Micros next = -1;

    if (service == NULL || service->queued == 0) {
        return -1;
    }
    for (guint i = 0; i < service->lines->len; i++) {
        ServiceLine *line = g_ptr_array_index(service->lines, i);
        Micros due;

        if (line->queue.length == 0) {
            continue;
        }
        due = now + MIN(LineShare_WaitTime(line->share, true, 0, now),
                        REFRESH_INTERVAL_US);
        next = next < 0 ? due : MIN(next, due);
    }
    return next;
}

bool
Admission_Cancel(Admission *this, uint32_t service_id, uint32_t line_id,
                 uint64_t caller, uint64_t request_id)
{
    ServiceShares *service = find_service(this, service_id);
    ServiceLine *line = find_line(service, line_id);

    if (line == NULL) {
        return false;
    }
    for (GList *link = line->queue.head; link != NULL; link = link->next) {
        QueuedRequest *queued = link->data;

        if (queued->request_id != request_id) {
            continue;
        }
        g_queue_delete_link(&line->queue, link);
        line->queued_charge -= queued->charge;
        service->queued--;
        LineShare_ChargeCaller(line->share, caller, -queued->charge,
                               Clock_Now(this->clock));
        g_free(queued);
        return true;
    }
    return false;
}

static void
update_estimates(ServiceShares *service, ServiceLine *line,
                 const AdmissionResult *result, Micros slot_time, Micros now)
{
    double cost = result->cost > 0 ? result->cost : 1.0;

    if (result->outcome == ADMISSION_SHED) {
        LevelControl_OnShed(service->level_control, now);
    }
    /* An exceeded deadline is a lower bound of the latency; a failure before
     * the expected time carries no information about it. */
    if (result->outcome == ADMISSION_SERVED ||
        (result->outcome == ADMISSION_FAILED &&
         result->in_flight_time > result->charge)) {
        LevelControl_OnLatency(service->level_control,
                               (double)result->in_flight_time / cost, now);
    }
    if (result->outcome == ADMISSION_SERVED) {
        LineShare_AddSlotTimeSample(line->share, (double)slot_time / cost,
                                    now);
    }
}

static Micros
measured_slot_time(ServiceShares *service, const AdmissionResult *result,
                   Micros now)
{
    if (result->outcome == ADMISSION_NOT_SENT) {
        return 0;
    }
    if (result->outcome == ADMISSION_SHED) {
        return result->in_flight_time;
    }
    return LevelControl_SlotTime(service->level_control,
                                 result->in_flight_time, now);
}

void
Admission_OnFinished(Admission *this, const AdmissionResult *result)
{
    ServiceShares *service = find_service(this, result->service);
    ServiceLine *line = find_line(service, result->line);
    Micros now = Clock_Now(this->clock);
    Micros slot_time;

    if (line == NULL) {
        return;
    }
    if (result->charge != 0) {
        service->in_flight -= MIN(service->in_flight, 1);
    }
    slot_time = measured_slot_time(service, result, now);
    LineShare_Charge(line->share, slot_time - result->charge, now);
    LineShare_ChargeCaller(line->share, result->caller,
                           slot_time - result->charge, now);
    update_estimates(service, line, result, slot_time, now);
}

void
Admission_OnLoad(Admission *this, uint32_t service_id, uint32_t outstanding,
                 uint32_t slots)
{
    ServiceShares *service = find_service(this, service_id);

    if (service != NULL && slots > 0) {
        LevelControl_OnLoad(service->level_control, outstanding, slots,
                            Clock_Now(this->clock));
    }
}

void
Admission_OnPeerUsage(Admission *this, const UsageItem *item)
{
    ServiceShares *service = find_service(this, item->service);
    ServiceLine *line = find_line(service, item->line);
    Micros now = Clock_Now(this->clock);
    Micros measured_at = MAX(now - MAX(item->age, 0), 0);

    if (service == NULL || this->options.mode != ADMISSION_SHARED ||
        item->host == this->options.host ||
        item->age > ADMISSION_ITEM_MAX_AGE_US) {
        return;
    }
    if (item->line == ADMISSION_LEVEL_LINE) {
        ServiceShares_OnLevel(service, item->host, item->usage, measured_at,
                              now);
    }
    else if (line != NULL) {
        LineShare_OnPeer(line->share, item->host, item->usage, item->effective,
                         item->caller_level, measured_at, now);
    }
}

size_t
Admission_LocalUsage(Admission *this, UsageItem *items, size_t max)
{
    Micros now = Clock_Now(this->clock);
    guint services = this->services->len;
    size_t n = 0;

    if (this->options.mode != ADMISSION_SHARED) {
        return 0;
    }
    for (guint i = 0; i < services && n < max; i++) {
        guint index = this->send_cursor++ % services;
        ServiceShares *service = g_ptr_array_index(this->services, index);

        if (service != NULL) {
            n += ServiceShares_UsageItems(service, this->options.host,
                                          items + n, max - n, now);
        }
    }
    return n;
}

bool
Admission_View(Admission *this, uint32_t service_id, uint32_t line_id,
               AdmissionView *view)
{
    ServiceShares *service = find_service(this, service_id);
    ServiceLine *line = find_line(service, line_id);
    Micros now = Clock_Now(this->clock);

    if (line == NULL) {
        return false;
    }
    *view = (AdmissionView){
        .saturated = LevelControl_IsSaturated(service->level_control),
        .limited = isfinite(LineShare_Allowance(line->share)),
        .level = LevelControl_Level(service->level_control),
        .demand = line->total_demand,
        .local_demand = LineShare_Demand(line->share, now),
        .allowance = LineShare_Allowance(line->share),
        .queued = line->queue.length,
        .admitted = line->admitted,
        .refused = line->refused,
    };
    return true;
}

size_t
Admission_Bytes(const Admission *this)
{
    size_t bytes = sizeof(*this) + this->services->len * sizeof(void *);

    for (guint i = 0; i < this->services->len; i++) {
        const ServiceShares *service = g_ptr_array_index(this->services, i);

        if (service != NULL) {
            bytes += ServiceShares_Bytes(service) +
                     service->queued * sizeof(QueuedRequest);
        }
    }
    return bytes;
}
