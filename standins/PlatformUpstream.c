#include "PlatformUpstream.h"

#include <string.h>

#define SLOT_COUNT 6
#define QUEUED_MAX 12 /* requests beyond the slots */
#define ID_BYTES 32
/* Length of a response that does not end within the deadline of any request. */
#define ENDLESS_BYTES ((uint64_t)1 << 50)
#define CORRECTION_DELAY_US (500 * MICROS_PER_MS)
#define CRASH_DELAY_US (10 * MICROS_PER_MS)
#define CRASH_DOWN_MIN_US (2 * MICROS_PER_S)
#define CRASH_DOWN_SPREAD_US (2 * MICROS_PER_S)
/* Hosts are in touch if the store has been sound for this time. */
#define STABLE_TIME_US (3 * MICROS_PER_S)

#define LEAVING_MIN_US (3 * MICROS_PER_S)
#define LEAVING_SPREAD_US (2 * MICROS_PER_S)
#define PAUSE_MIN_MS 600
#define PAUSE_SPREAD_MS 2400

#define LIMIT_WINDOW_US (4 * MICROS_PER_S)
#define LIMIT_NOTICE_US (3 * MICROS_PER_S)
#define LIMIT_FACTOR 1.5
#define LIMIT_EXTRA 5

struct PlatformUpstream_ {
    PlatformContext context;
    HttpServer *server;
    int port; /* of the link that hosts connect to */
    char id[ID_BYTES];
    char *service;
    char *domain;
    int64_t born_ms;
    char *previous_record; /* NULL if there is none */
    char *record;
    Timer correction_timer;
    Timer crash_timer;
    Timer restart_timer;
    Timer leaving_timer;
    char *crashing; /* path of the request that ends it, or NULL */
    unsigned sequence;
    unsigned inflight;     /* requests in progress */
    Micros draining_since; /* -1 if not draining */
    double limit_per_s;    /* negative if it names none */
    Micros limit_since;    /* since then no higher limit was named */
    GArray *arrivals;      /* Micros: requests since limit_since */
    Micros pressed_until;  /* requests are turned away until then */
    bool leaving;
    bool malformed;
    bool crashed;
};

/* A request in progress. */
typedef struct Execution_ {
    PlatformUpstream *upstream;
    char *attempt_id;
    bool ended; /* by the upstream */
} Execution;

static char *
record_text(const PlatformUpstream *this, int64_t born_ms, unsigned sequence)
{
    return g_strdup_printf(
        "{\"address\":\"127.0.0.1:%d\",\"born\":%" G_GINT64_FORMAT
        ",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
        "\"slots\":%d},\"status\":{\"state\":\"%s\",\"seqNo\":%u,"
        "\"warmupLeftS\":0}}",
        this->port, born_ms, this->service, this->domain, SLOT_COUNT,
        this->draining_since >= 0 ? "draining" : "ready", sequence);
}

static void
publish_record(PlatformUpstream *this)
{
    g_free(this->previous_record);
    this->previous_record = this->record;
    this->record = record_text(this, this->born_ms, ++this->sequence);
    PlatformStore_Put(this->context.store, "keyed.servers", this->id,
                      this->record);
}

static const char *
leaving_header(const PlatformUpstream *this)
{
    if (this->leaving) {
        return "server-leaving: 1\r\n";
    }
    return this->malformed ? "server-leaving: 1, 1\r\n" : "";
}

static char *
common_headers(const PlatformUpstream *this, const char *attempt_id)
{
    unsigned running = MIN(this->inflight, SLOT_COUNT);
    g_autofree char *limit =
        this->limit_per_s >= 0
            ? g_strdup_printf("server-limit: %.1f\r\n", this->limit_per_s)
            : g_strdup("");

    return g_strdup_printf("agatecrank-instance-id: %s\r\n"
                           "agatecrank-server-load: %u,%u,%d,100\r\n"
                           "%s%s%s%s%s",
                           this->id, running, this->inflight - running,
                           SLOT_COUNT, limit, leaving_header(this),
                           attempt_id != NULL ? "agatecrank-attempt-id: " : "",
                           attempt_id != NULL ? attempt_id : "",
                           attempt_id != NULL ? "\r\n" : "");
}

static void
draw_repetition(const PlatformUpstream *this, HttpRequest *request)
{
    double ratio = this->context.repeated_refusal_ratio;

    /* Draws nothing more for other faults. */
    if (ratio > 0 && Random_Unit(this->context.random) < ratio) {
        HttpRequest_RepeatResponse(request);
    }
}

static void
reject(const PlatformUpstream *this, HttpRequest *request, int status)
{
    g_autofree char *attempt_id =
        HttpRequest_Header(request, "agatecrank-attempt-id");
    g_autofree char *common = common_headers(this, attempt_id);
    g_autofree char *headers =
        g_strconcat(common, "agatecrank-not-executed: 1\r\n", NULL);

    draw_repetition(this, request);
    HttpRequest_Respond(request, status, headers, STR(""));
}

/* Returns the pause of a request that is turned away, in milliseconds. */
static Micros
draw_pause_ms(const PlatformUpstream *this)
{
    return PAUSE_MIN_MS +
           (Micros)Random_Below(this->context.random, PAUSE_SPREAD_MS);
}

/* Returns the host that has sent the request. */
static int
sender_of(const PlatformUpstream *this, const HttpRequest *request)
{
    struct sockaddr_in peer = HttpRequest_Peer(request);
    const GArray *hosts = this->context.hosts;

    for (guint i = 0; i < hosts->len; i++) {
        if (g_array_index(hosts, in_addr_t, i) == peer.sin_addr.s_addr) {
            return (int)i;
        }
    }
    return NOTICE_HOST_UNKNOWN;
}

static bool
reaches_host(const PlatformUpstream *this, const HttpRequest *request)
{
    return LinkFaults_Delivers(this->context.links, this->port,
                               ntohs(HttpRequest_Peer(request).sin_port));
}

static void
turn_away(const PlatformUpstream *this, HttpRequest *request,
          const char *attempt_id)
{
    Micros pause_ms = draw_pause_ms(this);
    g_autofree char *common = common_headers(this, attempt_id);
    g_autofree char *pause =
        this->malformed ? g_strdup("Fri, 04 Dec 2026 10:00:00 GMT")
                        : g_strdup_printf("%.3f", (double)pause_ms / 1000);
    g_autofree char *headers = g_strconcat(
        common, "agatecrank-not-executed: 1\r\nretry-after: ", pause, "\r\n",
        NULL);

    if (attempt_id != NULL && !this->malformed &&
        reaches_host(this, request)) {
        NoticeCheck_OnPause(PlatformChecker_Notices(this->context.checker),
                            attempt_id, sender_of(this, request), this->id,
                            Clock_Now(this->context.clock),
                            pause_ms * MICROS_PER_MS);
    }
    HttpRequest_Respond(request, 503, headers, STR(""));
}

static bool
is_pressed(const PlatformUpstream *this)
{
    return Clock_Now(this->context.clock) < this->pressed_until;
}

static void
check_notices(const PlatformUpstream *this, const HttpRequest *request,
              const char *attempt_id)
{
    NoticeCheck *notices = PlatformChecker_Notices(this->context.checker);
    int sender = sender_of(this, request);

    if (NoticeCheck_IsLate(notices, attempt_id, sender, this->id)) {
        PlatformChecker_ReportViolation(this->context.checker,
                                        "leaving id=%s host=%d upstream=%s",
                                        attempt_id, sender, this->id);
    }
    if (NoticeCheck_IsEarly(notices, attempt_id, sender, this->id,
                            Clock_Now(this->context.clock))) {
        PlatformChecker_ReportViolation(this->context.checker,
                                        "pause id=%s host=%d upstream=%s",
                                        attempt_id, sender, this->id);
    }
}

static void
fill_placeholder(void *user, uint64_t offset, char *out, size_t length)
{
    memset(out, 'x', length);
}

static void
respond_endless(PlatformUpstream *this, HttpRequest *request,
                const char *common, const char *signed_headers)
{
    bool has_signature = Random_Below(this->context.random, 2) == 0;

    HttpRequest_RespondStream(
        request, 200, has_signature ? signed_headers : common, ENDLESS_BYTES,
        ENDLESS_BYTES, fill_placeholder, NULL);
}

static void
finish_execution(void *user, HttpRequest *request)
{
    Execution *execution = HttpRequest_Data(request);
    PlatformUpstream *this = execution->upstream;
    g_autofree char *common = common_headers(this, execution->attempt_id);
    g_autofree char *headers =
        g_strdup_printf("%sagatecrank-response-signature: %s.%s\r\n", common,
                        execution->attempt_id, this->id);
    g_autofree char *body =
        g_strdup_printf("answer to %s", execution->attempt_id);
    StopCheck *stops = PlatformChecker_Stops(this->context.checker);
    double draw = Random_Unit(this->context.random);
    double truncated = *this->context.lost_response_ratio +
                       this->context.truncated_response_ratio;

    execution->ended = true;
    if (stops != NULL && draw < truncated) {
        StopCheck_OnUpstreamEnd(stops, execution->attempt_id);
    }
    if (draw < *this->context.lost_response_ratio) {
        HttpRequest_Abort(request);
    }
    else if (draw >= truncated &&
             draw < truncated + this->context.endless_response_ratio) {
        respond_endless(this, request, common, headers);
    }
    else if (draw < truncated) {
        HttpRequest_RespondStream(request, 200, headers, strlen(body), 3,
                                  fill_placeholder, NULL);
    }
    else {
        HttpRequest_Respond(request, 200, headers, Str_FromC(body));
    }
}

/* A host cannot learn of a drain while the store does not respond or while its
 * link to the store has a fault. The limit restarts when both have recovered.
 */
static void
check_drain(const PlatformUpstream *this, const char *attempt_id)
{
    Micros excess = Clock_Now(this->context.clock) - this->draining_since -
                    this->context.drain_limit;

    if (this->draining_since >= 0 && excess > 0 &&
        PlatformStore_IsUp(this->context.store) &&
        LinkFaults_IsClear(this->context.links, LINKS_TO_STORE)) {
        PlatformChecker_ReportViolation(
            this->context.checker, "drain id=%s upstream=%s late_ms=%d",
            attempt_id, this->id, (int)(excess / MICROS_PER_MS));
    }
}

static void
check_limit(PlatformUpstream *this, const char *attempt_id)
{
    Micros now = Clock_Now(this->context.clock);
    double allowed =
        LIMIT_FACTOR * this->limit_per_s * LIMIT_WINDOW_US / MICROS_PER_S +
        LIMIT_EXTRA;
    unsigned count = 0;

    if (this->limit_per_s < 0 || now < this->limit_since + LIMIT_NOTICE_US) {
        return;
    }
    g_array_append_val(this->arrivals, now);
    for (guint i = 0; i < this->arrivals->len; i++) {
        count +=
            now - g_array_index(this->arrivals, Micros, i) <= LIMIT_WINDOW_US;
    }
    if (count > allowed) {
        PlatformChecker_ReportViolation(
            this->context.checker,
            "limit id=%s upstream=%s arrivals=%u allowed=%.1f", attempt_id,
            this->id, count, allowed);
    }
}

void
PlatformUpstream_SetLimit(PlatformUpstream *this, double per_s)
{
    if (this->limit_per_s < 0 || per_s < this->limit_per_s) {
        this->limit_since = Clock_Now(this->context.clock);
        g_array_set_size(this->arrivals, 0);
    }
    this->limit_per_s = per_s;
}

double
PlatformUpstream_Limit(const PlatformUpstream *this)
{
    return this->limit_per_s;
}

static void
on_restart_timer(Timer *timer)
{
    PlatformUpstream *this =
        TIMER_OWNER(timer, PlatformUpstream, restart_timer);

    if (this->crashed) {
        PlatformUpstream_Restart(this);
    }
}

static void
on_crash_timer(Timer *timer)
{
    PlatformUpstream *this = TIMER_OWNER(timer, PlatformUpstream, crash_timer);

    PlatformChecker_OnCrash(this->context.checker, this->crashing,
                            Clock_Now(this->context.clock));
    g_clear_pointer(&this->crashing, g_free);
    if (!this->crashed) {
        PlatformUpstream_Crash(this);
    }
    Timer_Start(&this->restart_timer, this->context.loop->timers,
                CRASH_DOWN_MIN_US + (Micros)Random_Below(this->context.random,
                                                         CRASH_DOWN_SPREAD_US),
                on_restart_timer);
}

static bool
is_store_sound(const PlatformUpstream *this)
{
    return PlatformStore_IsUp(this->context.store) &&
           LinkFaults_IsClear(this->context.links, LINKS_TO_STORE) &&
           Clock_Now(this->context.clock) - *this->context.store_sound_since >=
               STABLE_TIME_US;
}

static bool
is_crashing(Str path)
{
    return g_strstr_len(path.data, (gssize)path.length, PLATFORM_CRASH_PATH) !=
           NULL;
}

static void
start_crash(PlatformUpstream *this, Str path)
{
    g_autofree char *request = g_strndup(path.data, path.length);

    PlatformChecker_OnCrashingExecution(this->context.checker, request,
                                        Clock_Now(this->context.clock),
                                        is_store_sound(this));
    if (this->crashing == NULL) {
        this->crashing = g_steal_pointer(&request);
        Timer_Start(&this->crash_timer, this->context.loop->timers,
                    CRASH_DELAY_US, on_crash_timer);
    }
}

static void
start_execution(PlatformUpstream *this, HttpRequest *request, char *attempt_id)
{
    Execution *execution = g_new0(Execution, 1);
    Micros service_time =
        this->context.mean_service_time / 2 +
        (Micros)Random_Below(this->context.random,
                             (uint64_t)this->context.mean_service_time);

    execution->upstream = this;
    execution->attempt_id = attempt_id;
    this->inflight++;
    HttpRequest_SetData(request, execution);
    PlatformChecker_OnExecution(this->context.checker, attempt_id, this->id);
    if (PlatformChecker_Stops(this->context.checker) != NULL) {
        StopCheck_OnExecution(PlatformChecker_Stops(this->context.checker),
                              attempt_id);
    }
    HttpRequest_StartTimer(request, service_time, finish_execution);
}

static void
on_begin(void *user, HttpRequest *request)
{
    PlatformUpstream *this = user;
    g_autofree char *attempt_id =
        HttpRequest_Header(request, "agatecrank-attempt-id");

    if (attempt_id != NULL) {
        PlatformChecker_OnArrival(this->context.checker, attempt_id,
                                  Clock_Now(this->context.clock));
    }
}

static void
on_complete(void *user, HttpRequest *request)
{
    PlatformUpstream *this = user;
    g_autofree char *instance =
        HttpRequest_Header(request, "agatecrank-target-instance");
    char *attempt_id = HttpRequest_Header(request, "agatecrank-attempt-id");

    if (Str_Equal(HttpRequest_Path(request), STR("/health"))) {
        g_autofree char *headers = common_headers(this, NULL);

        if (is_pressed(this)) {
            turn_away(this, request, NULL);
        }
        else {
            HttpRequest_Respond(request, 200, headers, STR(""));
        }
    }
    else if (attempt_id == NULL) {
        HttpRequest_Respond(request, 400, "agatecrank-not-executed: 1\r\n",
                            STR(""));
    }
    else if (instance != NULL && strcmp(instance, this->id) != 0) {
        reject(this, request, 421);
    }
    else if (is_pressed(this)) {
        check_notices(this, request, attempt_id);
        turn_away(this, request, attempt_id);
    }
    else if (this->inflight >= SLOT_COUNT + QUEUED_MAX) {
        reject(this, request, 503);
    }
    else {
        check_drain(this, attempt_id);
        check_limit(this, attempt_id);
        check_notices(this, request, attempt_id);
        if (is_crashing(HttpRequest_Path(request))) {
            start_crash(this, HttpRequest_Path(request));
        }
        start_execution(this, request, g_steal_pointer(&attempt_id));
    }
    g_free(attempt_id);
}

/* The connection of a request that is processed has ended. */
static void
report_broken_off(const Execution *execution, const HttpRequest *request)
{
    const PlatformUpstream *this = execution->upstream;
    StopCheck *stops = PlatformChecker_Stops(this->context.checker);

    if (stops == NULL || execution->ended) {
        return;
    }
    if (this->crashed) {
        StopCheck_OnUpstreamEnd(stops, execution->attempt_id);
        return;
    }
    StopCheck_OnBrokenOff(stops, execution->attempt_id,
                          sender_of(this, request),
                          Clock_Now(this->context.clock));
}

static void
on_released(void *user, HttpRequest *request, bool response_sent)
{
    Execution *execution = HttpRequest_Data(request);

    if (execution != NULL) {
        report_broken_off(execution, request);
        execution->upstream->inflight--;
        g_free(execution->attempt_id);
        g_free(execution);
    }
}

static int
add_link(const PlatformUpstream *this)
{
    g_autofree char *target =
        g_strdup_printf("127.0.0.1:%d", HttpServer_Port(this->server));

    return LinkFaults_Add(this->context.links, LINKS_TO_UPSTREAMS, target);
}

PlatformUpstream *
PlatformUpstream_Create(const PlatformContext *context, const char *service,
                        const char *domain, unsigned number)
{
    static const HttpHandlers handlers = {on_begin, NULL, on_complete,
                                          on_released};
    PlatformUpstream *this = g_new0(PlatformUpstream, 1);

    this->context = *context;
    this->service = g_strdup(service);
    this->domain = g_strdup(domain);
    this->born_ms = Clock_Wall(context->clock) / MICROS_PER_MS;
    this->draining_since = -1;
    this->limit_per_s = -1;
    this->arrivals = g_array_new(FALSE, FALSE, sizeof(Micros));
    g_snprintf(this->id, sizeof(this->id), "i-%04u", number);
    this->server = HttpServer_Create(context->loop, 0, &handlers, this);
    this->port = this->server != NULL ? add_link(this) : ERR_UNAVAILABLE;
    if (this->port < 0) {
        PlatformUpstream_Destroy(this);
        return NULL;
    }
    publish_record(this);
    return this;
}

void
PlatformUpstream_Destroy(PlatformUpstream *this)
{
    if (this->server != NULL) {
        HttpServer_Destroy(this->server);
    }
    Timer_Stop(&this->correction_timer);
    Timer_Stop(&this->crash_timer);
    Timer_Stop(&this->restart_timer);
    Timer_Stop(&this->leaving_timer);
    g_array_free(this->arrivals, TRUE);
    g_free(this->crashing);
    g_free(this->previous_record);
    g_free(this->record);
    g_free(this->service);
    g_free(this->domain);
    g_free(this);
}

void
PlatformUpstream_Describe(PlatformUpstream *this)
{
    if (!this->crashed) {
        publish_record(this);
    }
}

void
PlatformUpstream_ListOutdated(PlatformUpstream *this)
{
    g_autofree char *id = g_strconcat(this->id, "-ended", NULL);
    g_autofree char *record =
        record_text(this, Clock_Wall(this->context.clock) / MICROS_PER_MS, 1);

    PlatformStore_Put(this->context.store, "keyed.servers", id, record);
}

void
PlatformUpstream_Drain(PlatformUpstream *this)
{
    this->draining_since = Clock_Now(this->context.clock);
    publish_record(this);
}

/* A host that started between the stale write and this one could read the
 * stale record only, so the drain limit restarts. */
static void
on_correction_timer(Timer *timer)
{
    PlatformUpstream *this =
        TIMER_OWNER(timer, PlatformUpstream, correction_timer);

    publish_record(this);
    PlatformUpstream_ExtendDrainLimit(this);
}

void
PlatformUpstream_WriteStaleRecord(PlatformUpstream *this)
{
    if (this->previous_record == NULL) {
        return;
    }
    PlatformStore_Put(this->context.store, "keyed.servers", this->id,
                      this->previous_record);
    Timer_Start(&this->correction_timer, this->context.loop->timers,
                CORRECTION_DELAY_US, on_correction_timer);
}

void
PlatformUpstream_Crash(PlatformUpstream *this)
{
    this->crashed = true;
    HttpServer_Pause(this->server);
}

void
PlatformUpstream_Restart(PlatformUpstream *this)
{
    if (this->crashed) {
        HttpServer_Resume(this->server);
    }
    this->crashed = false;
    this->draining_since = -1;
    this->limit_per_s = -1;
    this->pressed_until = 0;
    this->leaving = false;
    Timer_Stop(&this->leaving_timer);
    NoticeCheck_OnRestart(PlatformChecker_Notices(this->context.checker),
                          this->id, Clock_Now(this->context.clock));
    this->born_ms = MAX(Clock_Wall(this->context.clock) / MICROS_PER_MS,
                        this->born_ms + 1);
    this->sequence = 0;
    publish_record(this);
}

static void
on_leaving_timer(Timer *timer)
{
    PlatformUpstream_Restart(
        TIMER_OWNER(timer, PlatformUpstream, leaving_timer));
}

void
PlatformUpstream_Leave(PlatformUpstream *this)
{
    this->leaving = true;
    Timer_Start(&this->leaving_timer, this->context.loop->timers,
                LEAVING_MIN_US + (Micros)Random_Below(this->context.random,
                                                      LEAVING_SPREAD_US),
                on_leaving_timer);
}

void
PlatformUpstream_Press(PlatformUpstream *this, Micros time)
{
    this->pressed_until = Clock_Now(this->context.clock) + time;
}

void
PlatformUpstream_SetMalformed(PlatformUpstream *this, bool malformed)
{
    this->malformed = malformed;
}

void
PlatformUpstream_StallConnections(PlatformUpstream *this)
{
    HttpServer_StallOpenConnections(this->server);
}

bool
PlatformUpstream_IsUp(const PlatformUpstream *this)
{
    return !this->crashed && !this->leaving && this->draining_since < 0;
}

void
PlatformUpstream_ExtendDrainLimit(PlatformUpstream *this)
{
    if (this->draining_since >= 0) {
        this->draining_since = Clock_Now(this->context.clock);
    }
}
