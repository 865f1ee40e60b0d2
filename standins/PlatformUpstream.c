#include "PlatformUpstream.h"

#include <string.h>

#define SLOTS 6
#define WAITING_MAX 12
#define ID_BYTES 32
#define CORRECT_DELAY (500 * MICROS_PER_MS)

struct PlatformUpstream_ {
    PlatformContext world;
    HttpServer *server;
    int port; /* of the link that hosts use */
    char id[ID_BYTES];
    char *service;
    char *domain;
    int64_t born_ms;
    char *older_record; /* before the newest one; NULL if none */
    char *record;
    Timer correct;
    unsigned sequence;
    unsigned running;
    Micros draining_since; /* -1 while it is not leaving */
    bool crashed;
};

/* A request that runs. */
typedef struct Run_ {
    PlatformUpstream *upstream;
    char *attempt;
} Run;

static void
tell(PlatformUpstream *this)
{
    g_free(this->older_record);
    this->older_record = this->record;
    this->record = g_strdup_printf(
        "{\"address\":\"127.0.0.1:%d\",\"born\":%" G_GINT64_FORMAT
        ",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
        "\"slots\":%d},\"status\":{\"state\":\"%s\",\"seqNo\":%u,"
        "\"warmupLeftS\":0}}",
        this->port, this->born_ms, this->service, this->domain, SLOTS,
        this->draining_since >= 0 ? "draining" : "ready", ++this->sequence);

    PlatformStore_Put(this->world.store, "keyed.servers", this->id,
                      this->record);
}

static char *
common_headers(const PlatformUpstream *this, const char *attempt)
{
    unsigned running = MIN(this->running, SLOTS);

    return g_strdup_printf("agatecrank-instance-id: %s\r\n"
                           "agatecrank-server-load: %u,%u,%d,100\r\n"
                           "%s%s%s",
                           this->id, running, this->running - running, SLOTS,
                           attempt != NULL ? "agatecrank-attempt-id: " : "",
                           attempt != NULL ? attempt : "",
                           attempt != NULL ? "\r\n" : "");
}

static void
refuse(const PlatformUpstream *this, HttpRequest *request, int status)
{
    g_autofree char *attempt =
        HttpRequest_Header(request, "agatecrank-attempt-id");
    g_autofree char *common = common_headers(this, attempt);
    g_autofree char *headers =
        g_strconcat(common, "agatecrank-not-executed: 1\r\n", NULL);

    HttpRequest_Respond(request, status, headers, STR(""));
}

static void
fill_with_nothing(void *user, uint64_t offset, char *out, size_t length)
{
    memset(out, 'x', length);
}

static void
end_run(void *user, HttpRequest *request)
{
    Run *run = HttpRequest_Data(request);
    PlatformUpstream *this = run->upstream;
    g_autofree char *common = common_headers(this, run->attempt);
    g_autofree char *headers =
        g_strdup_printf("%sagatecrank-response-signature: %s.%s\r\n", common,
                        run->attempt, this->id);
    g_autofree char *body = g_strdup_printf("answer to %s", run->attempt);
    double lot = Random_Unit(this->world.random);

    if (lot < this->world.lost_share) {
        HttpRequest_Abort(request);
    }
    else if (lot < this->world.lost_share + this->world.cut_share) {
        HttpRequest_RespondStream(request, 200, headers, strlen(body), 3,
                                  fill_with_nothing, NULL);
    }
    else {
        HttpRequest_Respond(request, 200, headers, Str_FromC(body));
    }
}

/* A host can not know of a drain that the store took while it did not answer,
 * or while its link to the store was disturbed; the bound starts anew with the
 * return of both. */
static void
check_drain(const PlatformUpstream *this, const char *attempt)
{
    Micros late = Clock_Now(this->world.clock) - this->draining_since -
                  this->world.drain_time;

    if (this->draining_since >= 0 && late > 0 &&
        PlatformStore_IsUp(this->world.store) &&
        LinkFaults_IsClear(this->world.links, LINKS_TO_STORE)) {
        PlatformChecker_ReportViolation(
            this->world.truth, "drain id=%s upstream=%s late_ms=%d", attempt,
            this->id, (int)(late / MICROS_PER_MS));
    }
}

static void
start_run(PlatformUpstream *this, HttpRequest *request, char *attempt)
{
    Run *run = g_new0(Run, 1);
    Micros work =
        this->world.work / 2 +
        (Micros)Random_Below(this->world.random, (uint64_t)this->world.work);

    run->upstream = this;
    run->attempt = attempt;
    this->running++;
    HttpRequest_SetData(request, run);
    PlatformChecker_OnExecution(this->world.truth, attempt, this->id);
    HttpRequest_StartTimer(request, work, end_run);
}

static void
on_begin(void *user, HttpRequest *request)
{
}

static void
on_complete(void *user, HttpRequest *request)
{
    PlatformUpstream *this = user;
    g_autofree char *instance =
        HttpRequest_Header(request, "agatecrank-target-instance");
    char *attempt = HttpRequest_Header(request, "agatecrank-attempt-id");

    if (Str_Equal(HttpRequest_Path(request), STR("/health"))) {
        g_autofree char *headers = common_headers(this, NULL);

        HttpRequest_Respond(request, 200, headers, STR(""));
    }
    else if (attempt == NULL) {
        HttpRequest_Respond(request, 400, "agatecrank-not-executed: 1\r\n",
                            STR(""));
    }
    else if (instance != NULL && strcmp(instance, this->id) != 0) {
        refuse(this, request, 421);
    }
    else if (this->running >= SLOTS + WAITING_MAX) {
        refuse(this, request, 503);
    }
    else {
        check_drain(this, attempt);
        start_run(this, request, g_steal_pointer(&attempt));
    }
    g_free(attempt);
}

static void
on_gone(void *user, HttpRequest *request, bool answered)
{
    Run *run = HttpRequest_Data(request);

    if (run != NULL) {
        run->upstream->running--;
        g_free(run->attempt);
        g_free(run);
    }
}

static int
add_link(const PlatformUpstream *this)
{
    g_autofree char *target =
        g_strdup_printf("127.0.0.1:%d", HttpServer_Port(this->server));

    return LinkFaults_Add(this->world.links, LINKS_TO_UPSTREAMS, target);
}

PlatformUpstream *
PlatformUpstream_Create(const PlatformContext *world, const char *service,
                        const char *domain, unsigned number)
{
    static const HttpHandlers handlers = {on_begin, NULL, on_complete,
                                          on_gone};
    PlatformUpstream *this = g_new0(PlatformUpstream, 1);

    this->world = *world;
    this->service = g_strdup(service);
    this->domain = g_strdup(domain);
    this->born_ms = Clock_Wall(world->clock) / MICROS_PER_MS;
    this->draining_since = -1;
    g_snprintf(this->id, sizeof(this->id), "i-%04u", number);
    this->server = HttpServer_Create(world->loop, 0, &handlers, this);
    this->port = this->server != NULL ? add_link(this) : ERR_UNAVAILABLE;
    if (this->port < 0) {
        PlatformUpstream_Destroy(this);
        return NULL;
    }
    tell(this);
    return this;
}

void
PlatformUpstream_Destroy(PlatformUpstream *this)
{
    if (this->server != NULL) {
        HttpServer_Destroy(this->server);
    }
    Timer_Stop(&this->correct);
    g_free(this->older_record);
    g_free(this->record);
    g_free(this->service);
    g_free(this->domain);
    g_free(this);
}

void
PlatformUpstream_Drain(PlatformUpstream *this)
{
    this->draining_since = Clock_Now(this->world.clock);
    tell(this);
}

/* A host that starts before this finds the older record only, so the bound on
 * a drain starts anew. */
static void
on_correct(Timer *timer)
{
    PlatformUpstream *this = TIMER_OWNER(timer, PlatformUpstream, correct);

    tell(this);
    PlatformUpstream_ExtendDrainLimit(this);
}

void
PlatformUpstream_WriteStaleRecord(PlatformUpstream *this)
{
    if (this->older_record == NULL) {
        return;
    }
    PlatformStore_Put(this->world.store, "keyed.servers", this->id,
                      this->older_record);
    Timer_Start(&this->correct, this->world.loop->timers, CORRECT_DELAY,
                on_correct);
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
    this->born_ms =
        MAX(Clock_Wall(this->world.clock) / MICROS_PER_MS, this->born_ms + 1);
    this->sequence = 0;
    tell(this);
}

void
PlatformUpstream_MuteConnections(PlatformUpstream *this)
{
    HttpServer_StallOpenConnections(this->server);
}

bool
PlatformUpstream_IsUp(const PlatformUpstream *this)
{
    return !this->crashed && this->draining_since < 0;
}

void
PlatformUpstream_ExtendDrainLimit(PlatformUpstream *this)
{
    if (this->draining_since >= 0) {
        this->draining_since = Clock_Now(this->world.clock);
    }
}
