#include "PlatformCaller.h"

#include <glib.h>
#include <stdio.h>

#define TIMEOUT_DEFAULT_US (1500 * MICROS_PER_MS)
/* More than any complete response has; one that does not end is not kept. */
#define BODY_KEPT_BYTES_MAX 65536
#define UNSAFE_RATIO 0.35 /* calls of /once/, with a body */
#define BODY_BYTES 2000

struct PlatformCaller_ {
    HttpLoop *loop;
    const Clock *clock;
    Random *random;
    PlatformChecker *checker;
    HttpClient *reusing_client; /* keeps connections open for reuse */
    HttpClient *fresh_client;   /* opens a connection for each call */
    GHashTable *calls;          /* set of Call */
    Timer send_timer;
    Micros next_send;
    double rate;
    Micros timeout;         /* of a call */
    Micros print_threshold; /* 0: print no responses */
    uint64_t id_prefix;
    uint64_t call_count;
};

typedef struct Call_ {
    PlatformCaller *caller;
    ClientCall client;
    Timer timer;
    GString *head;
    GString *body;
    char *id;
    char *signature;
    Micros sent_at;
    int status;
    bool leaving; /* the response says that the upstream leaves */
} Call;

static void
destroy_call(Call *call)
{
    g_hash_table_remove(call->caller->calls, call);
    Timer_Stop(&call->timer);
    g_string_free(call->head, TRUE);
    g_string_free(call->body, TRUE);
    g_free(call->id);
    g_free(call->signature);
    g_free(call);
}

static void
on_head(void *user, int status, const HttpMessage *message)
{
    Call *call = user;
    Str signature =
        HttpMessage_Header(message, STR("agatecrank-response-signature"));

    call->status = status;
    call->leaving = Str_Equal(
        HttpMessage_Header(message, STR("server-leaving")), STR("1"));
    g_free(call->signature);
    call->signature = signature.length > 0
                          ? g_strndup(signature.data, signature.length)
                          : NULL;
}

static void
on_body(void *user, uint64_t offset, Str piece)
{
    Call *call = user;

    if (call->body->len < BODY_KEPT_BYTES_MAX) {
        Str_AppendTo(piece, call->body);
    }
}

/* The signature is "ID.UPSTREAM". */
static void
report_leaving(const Call *call)
{
    const char *upstream =
        call->signature != NULL ? strchr(call->signature, '.') : NULL;

    if (call->leaving && upstream != NULL) {
        NoticeCheck_OnLeavingRelayed(
            PlatformChecker_Notices(call->caller->checker), call->id,
            upstream + 1, Clock_Now(call->caller->clock));
    }
}

/* Prints a failed or slow call; its id is also in the event logs of the hosts.
 */
static void
print_slow_call(const Call *call)
{
    Micros latency = Clock_Now(call->caller->clock) - call->sent_at;

    if (call->caller->print_threshold > 0 &&
        (call->status >= 300 || latency > call->caller->print_threshold)) {
        printf("answer id=%s status=%d ms=%d\n", call->id, call->status,
               (int)(latency / MICROS_PER_MS));
        fflush(stdout);
    }
}

static void
report_end(const Call *call, ClientResult result)
{
    StopCheck *stops = PlatformChecker_Stops(call->caller->checker);
    Micros now = Clock_Now(call->caller->clock);

    if (stops == NULL) {
        return;
    }
    if (result != CLIENT_DONE) {
        StopCheck_OnCut(stops, call->id, now);
    }
    else if (call->signature == NULL) {
        StopCheck_OnHostResponse(stops, call->id, call->status, now);
    }
}

static void
on_done(void *user, ClientResult result)
{
    Call *call = user;

    report_end(call, result);
    if (result == CLIENT_DONE) {
        print_slow_call(call);
        report_leaving(call);
        PlatformChecker_OnResponse(call->caller->checker, call->id,
                                   call->status, call->signature,
                                   call->body->str);
    }
    else if (result == CLIENT_MALFORMED) {
        PlatformChecker_ReportViolation(call->caller->checker,
                                        "malformed id=%s", call->id);
    }
    destroy_call(call);
}

static void
on_timeout(Timer *timer)
{
    Call *call = TIMER_OWNER(timer, Call, timer);

    PlatformChecker_OnTimeout(call->caller->checker, call->id);
    HttpClient_Cancel(&call->client);
    destroy_call(call);
}

static void
fill_body(void *user, uint64_t offset, char *out, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        out[i] = (char)('a' + (offset + i) % 26);
    }
}

static Call *
create_call(PlatformCaller *this, bool unsafe, const char *path)
{
    Call *call = g_new0(Call, 1);
    uint64_t body_length = unsafe ? BODY_BYTES : 0;

    call->caller = this;
    call->sent_at = Clock_Now(this->clock);
    call->id = g_strdup_printf("%08x%08x", (unsigned)this->id_prefix,
                               (unsigned)++this->call_count);
    call->head = g_string_new(NULL);
    call->body = g_string_new(NULL);
    g_string_printf(call->head,
                    "%s /%s%s HTTP/1.1\r\nhost: gateway.example\r\n"
                    "agatecrank-attempt-id: %s\r\n"
                    "agatecrank-timeout-ms: %d\r\n%s",
                    unsafe ? "POST" : "GET", unsafe ? "once" : "safe", path,
                    call->id, (int)(call->caller->timeout / MICROS_PER_MS),
                    unsafe ? "connection: close\r\n" : "");
    if (unsafe) {
        g_string_append_printf(call->head, "content-length: %d\r\n",
                               BODY_BYTES);
    }
    g_string_append(call->head, "\r\n");
    call->client = (ClientCall){
        .head = Str_FromString(call->head),
        .body_length = body_length,
        .fill = fill_body,
        .user = call,
        .on_head = on_head,
        .on_body = on_body,
        .on_done = on_done,
    };
    return call;
}

static void
send_to_any(PlatformCaller *this, HttpClient *client, bool unsafe,
            const char *path)
{
    Call *call = create_call(this, unsafe, path);
    size_t target = Random_Below(this->random, HttpClient_TargetCount(client));

    g_hash_table_add(this->calls, call);
    PlatformChecker_OnSent(this->checker, call->id, unsafe, call->sent_at);
    PlatformChecker_OnTarget(this->checker, call->id, (unsigned)target);
    NoticeCheck_OnSent(PlatformChecker_Notices(this->checker), call->id,
                       (unsigned)target, call->sent_at);
    if (PlatformChecker_Stops(this->checker) != NULL) {
        StopCheck_OnSent(PlatformChecker_Stops(this->checker), call->id,
                         (unsigned)target, call->sent_at);
    }
    Timer_Start(&call->timer, this->loop->timers, this->timeout, on_timeout);
    HttpClient_Send(client, target, &call->client);
}

static void
send_call(PlatformCaller *this)
{
    bool unsafe = Random_Unit(this->random) < UNSAFE_RATIO;
    g_autofree char *path =
        g_strdup_printf("/%u", (unsigned)this->call_count + 1);

    send_to_any(this, unsafe ? this->fresh_client : this->reusing_client,
                unsafe, path);
}

void
PlatformCaller_SendCrashing(PlatformCaller *this, bool at_most_once)
{
    bool fresh = at_most_once || Random_Below(this->random, 2) == 0;

    send_to_any(this, fresh ? this->fresh_client : this->reusing_client,
                at_most_once, PLATFORM_CRASH_PATH);
}

static void
on_send_timer(Timer *timer)
{
    PlatformCaller *this = TIMER_OWNER(timer, PlatformCaller, send_timer);
    Micros now = Clock_Now(this->clock);

    while (this->next_send <= now) {
        this->next_send +=
            1 + (Micros)Random_Exponential(this->random,
                                           (double)MICROS_PER_S / this->rate);
        send_call(this);
    }
    Timer_Start(&this->send_timer, this->loop->timers, this->next_send - now,
                on_send_timer);
}

PlatformCaller *
PlatformCaller_Create(HttpLoop *loop, const Clock *clock, Random *random,
                      PlatformChecker *checker, const char *targets,
                      double rate)
{
    PlatformCaller *this = g_new0(PlatformCaller, 1);

    this->loop = loop;
    this->clock = clock;
    this->random = random;
    this->checker = checker;
    this->rate = rate;
    this->timeout = TIMEOUT_DEFAULT_US;
    this->id_prefix = Random_Next(random);
    this->calls = g_hash_table_new(NULL, NULL);
    this->reusing_client = HttpClient_Create(loop, targets, 0, true);
    this->fresh_client = HttpClient_Create(loop, targets, 0, false);
    if (this->reusing_client == NULL || this->fresh_client == NULL) {
        PlatformCaller_Destroy(this);
        return NULL;
    }
    return this;
}

void
PlatformCaller_Destroy(PlatformCaller *this)
{
    g_autoptr(GList) calls = g_hash_table_get_keys(this->calls);

    for (GList *link = calls; link != NULL; link = link->next) {
        destroy_call(link->data);
    }
    g_hash_table_destroy(this->calls);
    if (this->reusing_client != NULL) {
        HttpClient_Destroy(this->reusing_client);
    }
    if (this->fresh_client != NULL) {
        HttpClient_Destroy(this->fresh_client);
    }
    g_free(this);
}

void
PlatformCaller_SetTimeout(PlatformCaller *this, Micros timeout)
{
    this->timeout = timeout;
}

void
PlatformCaller_PrintSlowCalls(PlatformCaller *this, Micros min_latency)
{
    this->print_threshold = min_latency;
}

void
PlatformCaller_Start(PlatformCaller *this)
{
    this->next_send = Clock_Now(this->clock);
    Timer_Start(&this->send_timer, this->loop->timers, 1, on_send_timer);
}

void
PlatformCaller_Stop(PlatformCaller *this)
{
    Timer_Stop(&this->send_timer);
}
