#include "Admission.h"

#include <glib.h>
#include <math.h>

#include "Error.h"
#include "LevelControl.h"
#include "LineShare.h"

/* Shares are computed anew after this time. */
#define REFRESH_TIME (10 * MICROS_PER_MS)

/* A queue bridges bursts only: twice a service time of 10 ms and a bit. */
#define MAX_WAIT (25 * MICROS_PER_MS)
#define MAX_QUEUED 64

/* With less than this part of the expected time left a response would come
 * too late more often than not. */
#define LEAST_TIME_LEFT 0.5

/* A refused caller is sent away for this long times the overload. */
#define RETRY_AFTER (100 * MICROS_PER_MS)
#define MAX_RETRY_AFTER (2 * MICROS_PER_S)

#define MAX_SERVICES 65536
#define MAX_HOSTS 4096

typedef struct Queued_ {
    uint64_t request_id;
    uint64_t caller;
    Micros deadline;
    Micros charge;
} Queued;

typedef struct Line_ {
    uint32_t id;
    double weight;
    double total; /* slots demanded on all hosts */
    LineShare *share;
    GQueue queue;         /* of Queued, owned */
    Micros queued_charge; /* sum over the queue */
    uint64_t admitted;
    uint64_t refused;
} Line;

typedef struct Service_ {
    uint32_t id;
    double weights; /* sum over the lines */
    LevelControl *control;
    GHashTable *by_id; /* line id -> Line, owned */
    GPtrArray *lines;  /* the same lines */
    Micros refreshed_at;
    Micros *heard; /* by host: last level item; NULL while none came */
    uint32_t heard_slots;
    uint32_t unknown; /* live hosts not heard of late */
    uint32_t queued;
    uint32_t send_cursor;
} Service;

struct Admission_ {
    AdmissionOptions options;
    const Clock *clock;
    Random *random;
    GPtrArray *services; /* by id, NULL for unknown ones */
    uint32_t send_cursor;
};

static void
free_line(gpointer data)
{
    Line *line = data;

    LineShare_Destroy(line->share);
    g_queue_clear_full(&line->queue, g_free);
    g_free(line);
}

static void
free_service(gpointer data)
{
    Service *service = data;

    if (service == NULL) {
        return;
    }
    LevelControl_Destroy(service->control);
    g_hash_table_destroy(service->by_id);
    g_ptr_array_free(service->lines, TRUE);
    g_free(service->heard);
    g_free(service);
}

Admission *
Admission_Create(const AdmissionOptions *options, const Clock *clock,
                 Random *random)
{
    Admission *this = g_new0(Admission, 1);

    this->options = *options;
    this->options.hosts = MAX(options->hosts, 1);
    this->clock = clock;
    this->random = random;
    this->services = g_ptr_array_new_with_free_func(free_service);
    return this;
}

void
Admission_Destroy(Admission *this)
{
    g_ptr_array_free(this->services, TRUE);
    g_free(this);
}

static Service *
find_service(const Admission *this, uint32_t id)
{
    return id < this->services->len ? g_ptr_array_index(this->services, id)
                                    : NULL;
}

static Line *
find_line(const Service *service, uint32_t id)
{
    return service == NULL
               ? NULL
               : g_hash_table_lookup(service->by_id, GUINT_TO_POINTER(id));
}

static Service *
add_service(Admission *this, uint32_t id)
{
    Service *service = g_new0(Service, 1);

    service->id = id;
    service->control = LevelControl_Create();
    service->by_id =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_line);
    service->lines = g_ptr_array_new();
    service->refreshed_at = Clock_Now(this->clock) - REFRESH_TIME;
    service->unknown = this->options.hosts - 1;
    if (id >= this->services->len) {
        g_ptr_array_set_size(this->services, (gint)id + 1);
    }
    g_ptr_array_index(this->services, id) = service;
    return service;
}

static Line *
add_line(Admission *this, Service *service, uint32_t id)
{
    Line *line = g_new0(Line, 1);

    line->id = id;
    line->share =
        LineShare_Create(this->options.hosts, Random_Next(this->random),
                         Clock_Now(this->clock));
    g_queue_init(&line->queue);
    g_hash_table_insert(service->by_id, GUINT_TO_POINTER(id), line);
    g_ptr_array_add(service->lines, line);
    return line;
}

static double
static_allowance(const Admission *this, const Service *service,
                 const Line *line)
{
    return this->options.static_slots * line->weight / service->weights /
           this->options.hosts;
}

static void
set_static_allowances(Admission *this, Service *service)
{
    if (this->options.mode != ADMISSION_STATIC_SPLIT) {
        return;
    }
    for (guint i = 0; i < service->lines->len; i++) {
        Line *line = g_ptr_array_index(service->lines, i);

        LineShare_SetAllowance(line->share,
                               static_allowance(this, service, line));
    }
}

int
Admission_SetLine(Admission *this, uint32_t service_id, uint32_t line_id,
                  double weight)
{
    Service *service = find_service(this, service_id);
    Line *line = find_line(service, line_id);

    if (!(weight > 0) || !isfinite(weight) || service_id >= MAX_SERVICES ||
        line_id == ADMISSION_LEVEL_LINE) {
        return ERR_INVALID;
    }
    if (service == NULL) {
        service = add_service(this, service_id);
    }
    if (line == NULL) {
        line = add_line(this, service, line_id);
    }
    service->weights += weight - line->weight;
    line->weight = weight;
    set_static_allowances(this, service);
    return 0;
}

void
Admission_RemoveLine(Admission *this, uint32_t service_id, uint32_t line_id)
{
    Service *service = find_service(this, service_id);
    Line *line = find_line(service, line_id);

    if (line == NULL) {
        return;
    }
    service->weights -= line->weight;
    service->queued -= line->queue.length;
    g_ptr_array_remove_fast(service->lines, line);
    g_hash_table_remove(service->by_id, GUINT_TO_POINTER(line_id));
    set_static_allowances(this, service);
}

void
Admission_SetHosts(Admission *this, uint32_t hosts)
{
    this->options.hosts = MAX(hosts, 1);
    for (guint i = 0; i < this->services->len; i++) {
        Service *service = g_ptr_array_index(this->services, i);

        if (service == NULL) {
            continue;
        }
        for (guint j = 0; j < service->lines->len; j++) {
            Line *line = g_ptr_array_index(service->lines, j);

            LineShare_SetHosts(line->share, this->options.hosts);
        }
        set_static_allowances(this, service);
    }
}

static bool
is_adaptive(const Admission *this)
{
    return this->options.mode == ADMISSION_LOCAL ||
           this->options.mode == ADMISSION_SHARED;
}

static void
count_unknown(const Admission *this, Service *service, Micros now)
{
    uint32_t known = 0;

    for (uint32_t i = 0; i < service->heard_slots; i++) {
        known += service->heard[i] >= 0 &&
                 now - service->heard[i] <= ADMISSION_ITEM_MAX_AGE;
    }
    known = MIN(known, this->options.hosts - 1);
    service->unknown = this->options.hosts - 1 - known;
}

static double
share_of(const Service *service, const Line *line)
{
    return line->weight / service->weights;
}

/* The level at which the lines' demands, each up to its share of the level,
 * sum up to @capacity; infinite if there is enough for all. Each round takes
 * out the lines that need less than the level of the round before. */
static double
fill_level(const Service *service, double capacity)
{
    double level = 0;

    for (;;) {
        double rest = capacity;
        double shares = 0;

        for (guint i = 0; i < service->lines->len; i++) {
            const Line *line = g_ptr_array_index(service->lines, i);
            double share = share_of(service, line);

            if (line->total > level * share) {
                shares += share;
            }
            else {
                rest -= line->total;
            }
        }
        if (shares <= 0) {
            return INFINITY;
        }
        if (rest / shares <= level * 1.001) {
            return level;
        }
        level = rest / shares;
    }
}

static void
measure_demand(Service *service, Micros now)
{
    double highest = 0;
    double sum = 0;

    for (guint i = 0; i < service->lines->len; i++) {
        Line *line = g_ptr_array_index(service->lines, i);

        line->total = LineShare_Total(line->share, service->unknown, now);
        highest = fmax(highest, line->total / share_of(service, line));
        sum += line->total;
    }
    LevelControl_SetDemand(service->control, sum, highest, now);
}

static void
prepare_start(const Service *service)
{
    double capacity = LevelControl_Capacity(service->control);

    if (capacity > 0) {
        LevelControl_SetStart(service->control, fill_level(service, capacity));
    }
}

/* A line that demands less than its share is never limited, so that the
 * randomness of its arrivals at one host doesn't cost it anything. */
static void
allot(Service *service, Micros now)
{
    double level = LevelControl_Level(service->control);

    for (guint i = 0; i < service->lines->len; i++) {
        Line *line = g_ptr_array_index(service->lines, i);
        double entitled = level * share_of(service, line);

        if (line->total <= entitled) {
            entitled = INFINITY;
        }
        LineShare_Allow(line->share, entitled, service->unknown, now);
    }
}

static void
refresh(const Admission *this, Service *service, Micros now)
{
    Micros passed;

    if (!is_adaptive(this) || now - service->refreshed_at < REFRESH_TIME) {
        return;
    }
    passed = MIN(now - service->refreshed_at, 2 * REFRESH_TIME);
    service->refreshed_at = now;
    count_unknown(this, service, now);
    measure_demand(service, now);
    prepare_start(service);
    LevelControl_OnTime(service->control, passed, now);
    allot(service, now);
}

/* Callers come back the later the more the line asks for above its share;
 * the random part keeps them from coming back all at once. */
static Micros
retry_after(const Admission *this, const Service *service, const Line *line,
            Micros wait)
{
    double level = LevelControl_Level(service->control);
    double overload = 1.0;
    double after;

    if (isfinite(level) && level > 0) {
        overload = fmax(1.0, line->total / (level * share_of(service, line)));
    }
    after = (double)wait + (double)RETRY_AFTER * overload *
                               (0.75 + 0.5 * Random_Unit(this->random));
    return (Micros)fmin(after, (double)MAX_RETRY_AFTER);
}

static AdmissionVerdict
refuse(const Admission *this, const Service *service, Line *line,
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
admit(Line *line, uint64_t request_id, Micros charge, Micros now)
{
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
is_too_late(Micros deadline, Micros wait, Micros charge, Micros now)
{
    return now + wait + (Micros)(LEAST_TIME_LEFT * (double)charge) >= deadline;
}

static AdmissionVerdict
enqueue(Service *service, Line *line, const AdmissionRequest *request,
        Micros charge, Micros wait)
{
    Queued *queued = g_new(Queued, 1);

    *queued = (Queued){
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
decide(Admission *this, Service *service, Line *line,
       const AdmissionRequest *request, Micros charge, Micros now)
{
    bool within = LineShare_IsWithin(line->share, request->caller, now);
    Micros wait =
        LineShare_Wait(line->share, within, line->queued_charge, now);
    uint64_t id = request->request_id;

    if (is_too_late(request->deadline, MIN(wait, MAX_WAIT), charge, now)) {
        LineShare_Doubt(line->share);
        return refuse(this, service, line, id, wait, "deadline");
    }
    if (wait == 0 && line->queue.length == 0) {
        LineShare_ChargeCaller(line->share, request->caller, charge, now);
        return admit(line, id, charge, now);
    }
    if (!within) {
        return refuse(this, service, line, id, 0, "caller-share");
    }
    if (wait > MAX_WAIT) {
        return refuse(this, service, line, id, wait, "share");
    }
    if (line->queue.length >= MAX_QUEUED) {
        return refuse(this, service, line, id, wait, "queue-full");
    }
    LineShare_ChargeCaller(line->share, request->caller, charge, now);
    return enqueue(service, line, request, charge, wait);
}

AdmissionVerdict
Admission_Offer(Admission *this, const AdmissionRequest *request)
{
    Service *service = find_service(this, request->service);
    Line *line = find_line(service, request->line);
    Micros now = Clock_Now(this->clock);
    Micros charge;

    if (line == NULL) {
        return (AdmissionVerdict){
            .decision = ADMISSION_REFUSE,
            .request_id = request->request_id,
            .retry_after = MAX_RETRY_AFTER,
            .reason = "unknown-line",
        };
    }
    charge = LineShare_Estimate(line->share,
                                request->cost > 0 ? request->cost : 1.0);
    LineShare_OnOffer(line->share, request->caller, charge, now);
    if (this->options.mode == ADMISSION_OFF) {
        return admit(line, request->request_id, charge, now);
    }
    refresh(this, service, now);
    return decide(this, service, line, request, charge, now);
}

static Queued *
pop_queued(Service *service, Line *line)
{
    Queued *queued = g_queue_pop_head(&line->queue);

    line->queued_charge -= queued->charge;
    service->queued--;
    return queued;
}

static bool
next_of_line(const Admission *this, Service *service, Line *line,
             AdmissionVerdict *verdict, Micros now)
{
    Queued *queued = g_queue_peek_head(&line->queue);
    bool late = is_too_late(queued->deadline, 0, queued->charge, now);

    if (!late && LineShare_Wait(line->share, true, 0, now) > 0) {
        return false;
    }
    queued = pop_queued(service, line);
    if (late) {
        LineShare_ChargeCaller(line->share, queued->caller, -queued->charge,
                               now);
        *verdict =
            refuse(this, service, line, queued->request_id, 0, "expired");
    }
    else {
        *verdict = admit(line, queued->request_id, queued->charge, now);
    }
    g_free(queued);
    return true;
}

bool
Admission_Next(Admission *this, uint32_t service_id, AdmissionVerdict *verdict)
{
    Service *service = find_service(this, service_id);
    Micros now = Clock_Now(this->clock);

    if (service == NULL || service->queued == 0) {
        return false;
    }
    refresh(this, service, now);
    for (guint i = 0; i < service->lines->len; i++) {
        Line *line = g_ptr_array_index(service->lines, i);

        if (line->queue.length > 0 &&
            next_of_line(this, service, line, verdict, now)) {
            return true;
        }
    }
    return false;
}

Micros
Admission_NextTime(Admission *this, uint32_t service_id)
{
    const Service *service = find_service(this, service_id);
    Micros now = Clock_Now(this->clock);
    Micros next = -1;

    if (service == NULL || service->queued == 0) {
        return -1;
    }
    for (guint i = 0; i < service->lines->len; i++) {
        Line *line = g_ptr_array_index(service->lines, i);
        Micros due;

        if (line->queue.length == 0) {
            continue;
        }
        /* The rate changes with each refresh, so don't look further. */
        due =
            now + MIN(LineShare_Wait(line->share, true, 0, now), REFRESH_TIME);
        next = next < 0 ? due : MIN(next, due);
    }
    return next;
}

bool
Admission_Cancel(Admission *this, uint32_t service_id, uint32_t line_id,
                 uint64_t caller, uint64_t request_id)
{
    Service *service = find_service(this, service_id);
    Line *line = find_line(service, line_id);

    if (line == NULL) {
        return false;
    }
    for (GList *link = line->queue.head; link != NULL; link = link->next) {
        Queued *queued = link->data;

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
observe(Service *service, Line *line, const AdmissionResult *result,
        Micros now)
{
    double latency =
        (double)result->busy / (result->cost > 0 ? result->cost : 1.0);

    if (result->outcome == ADMISSION_SHED) {
        LevelControl_OnShed(service->control, now);
    }
    /* A deadline that passed says at least that latency was so high; quick
     * failures say nothing. */
    if (result->outcome == ADMISSION_FAILED && result->busy > result->charge) {
        LevelControl_OnLatency(service->control, latency, now);
    }
    if (result->outcome == ADMISSION_SERVED) {
        LevelControl_OnLatency(service->control, latency, now);
        LineShare_Learn(line->share, latency);
    }
}

void
Admission_OnFinish(Admission *this, const AdmissionResult *result)
{
    Service *service = find_service(this, result->service);
    Line *line = find_line(service, result->line);
    Micros now = Clock_Now(this->clock);
    Micros busy = result->outcome == ADMISSION_NOT_SENT ? 0 : result->busy;

    if (line == NULL) {
        return;
    }
    LineShare_Charge(line->share, busy - result->charge, now);
    LineShare_ChargeCaller(line->share, result->caller, busy - result->charge,
                           now);
    observe(service, line, result, now);
}

void
Admission_OnLoad(Admission *this, uint32_t service_id, uint32_t held,
                 uint32_t slots)
{
    Service *service = find_service(this, service_id);

    if (service != NULL && slots > 0) {
        LevelControl_OnLoad(service->control, held, slots,
                            Clock_Now(this->clock));
    }
}

static void
hear_host(Service *service, uint32_t host, Micros when)
{
    uint32_t old = service->heard_slots;

    if (host >= MAX_HOSTS) {
        return;
    }
    if (host >= old) {
        service->heard_slots = host + 1;
        service->heard = g_renew(Micros, service->heard, service->heard_slots);
        for (uint32_t i = old; i <= host; i++) {
            service->heard[i] = -1;
        }
    }
    service->heard[host] = MAX(service->heard[host], when);
}

void
Admission_OnPeerUsage(Admission *this, const UsageItem *item)
{
    Service *service = find_service(this, item->service);
    Line *line = find_line(service, item->line);
    Micros now = Clock_Now(this->clock);
    Micros when = MAX(now - MAX(item->age, 0), 0);

    if (service == NULL || this->options.mode != ADMISSION_SHARED ||
        item->host == this->options.host ||
        item->age > ADMISSION_ITEM_MAX_AGE) {
        return;
    }
    if (item->line == ADMISSION_LEVEL_LINE) {
        hear_host(service, item->host, when);
        LevelControl_OnPeer(service->control, item->usage, now);
    }
    else if (line != NULL) {
        LineShare_OnPeer(line->share, item->host, item->usage, item->effective,
                         item->caller_level, when, now);
    }
}

static size_t
level_item(const Admission *this, const Service *service, UsageItem *items)
{
    double level = LevelControl_Level(service->control);

    items[0] = (UsageItem){
        .service = service->id,
        .line = ADMISSION_LEVEL_LINE,
        .host = this->options.host,
        .usage = isinf(level) ? 0.0f : (float)level,
    };
    return 1;
}

/* Takes the lines in turn when there is no room for all. */
static size_t
line_items(const Admission *this, Service *service, UsageItem *items,
           size_t max, Micros now)
{
    size_t n = 0;

    for (guint i = 0; i < service->lines->len && n < max; i++) {
        guint at = service->send_cursor++ % service->lines->len;
        const Line *line = g_ptr_array_index(service->lines, at);

        items[n++] = (UsageItem){
            .service = service->id,
            .line = line->id,
            .host = this->options.host,
            .usage = (float)LineShare_Demand(line->share, now),
            .effective = (float)LineShare_Effective(line->share, now),
            .caller_level = (float)LineShare_CallerLevel(line->share),
        };
    }
    return n;
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
        guint at = this->send_cursor++ % services;
        Service *service = g_ptr_array_index(this->services, at);

        if (service == NULL || !LevelControl_IsWarm(service->control)) {
            continue;
        }
        n += level_item(this, service, items + n);
        n += line_items(this, service, items + n, max - n, now);
    }
    return n;
}

bool
Admission_View(Admission *this, uint32_t service_id, uint32_t line_id,
               AdmissionView *view)
{
    Service *service = find_service(this, service_id);
    Line *line = find_line(service, line_id);
    Micros now = Clock_Now(this->clock);

    if (line == NULL) {
        return false;
    }
    *view = (AdmissionView){
        .short_of_capacity = LevelControl_IsShort(service->control),
        .limited = isfinite(LineShare_Allowance(line->share)),
        .level = LevelControl_Level(service->control),
        .demand = line->total,
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
        const Service *service = g_ptr_array_index(this->services, i);

        if (service == NULL) {
            continue;
        }
        bytes += sizeof(*service) + LevelControl_Bytes() +
                 service->heard_slots * sizeof(Micros);
        for (guint j = 0; j < service->lines->len; j++) {
            const Line *line = g_ptr_array_index(service->lines, j);

            bytes += sizeof(*line) + LineShare_Bytes(line->share) +
                     line->queue.length * sizeof(Queued) + 32;
        }
    }
    return bytes;
}
