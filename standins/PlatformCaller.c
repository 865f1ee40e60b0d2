#include "PlatformCaller.h"

#include <glib.h>
#include <stdio.h>

#define TIMEOUT (1500 * MICROS_PER_MS)
#define ONCE_SHARE 0.35
#define BODY_BYTES 2000

struct PlatformCaller_ {
    HttpLoop *loop;
    const Clock *clock;
    Random *random;
    PlatformChecker *truth;
    HttpClient *kept;  /* keeps its connections */
    HttpClient *fresh; /* opens one for each call */
    GHashTable *calls; /* set of Call */
    Timer timer;
    Micros next;
    double rate;
    Micros show_late; /* 0: show no answers */
    uint64_t prefix;
    uint64_t number;
};

typedef struct Call_ {
    PlatformCaller *caller;
    ClientCall client;
    Timer timer;
    GString *head;
    GString *body;
    char *id;
    char *signature;
    Micros sent;
    int status;
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
    g_free(call->signature);
    call->signature = signature.length > 0
                          ? g_strndup(signature.data, signature.length)
                          : NULL;
}

static void
on_body(void *user, uint64_t offset, Str piece)
{
    Call *call = user;

    Str_AppendTo(piece, call->body);
}

/* For walks through the logs of hosts: calls that were not served, or late. */
static void
report_answer(const Call *call)
{
    Micros took = Clock_Now(call->caller->clock) - call->sent;

    if (call->caller->show_late > 0 &&
        (call->status >= 300 || took > call->caller->show_late)) {
        printf("answer id=%s status=%d ms=%d\n", call->id, call->status,
               (int)(took / MICROS_PER_MS));
        fflush(stdout);
    }
}

static void
on_done(void *user, ClientResult result)
{
    Call *call = user;

    if (result == CLIENT_DONE) {
        report_answer(call);
        PlatformChecker_OnAnswer(call->caller->truth, call->id, call->status,
                                 call->signature, call->body->str);
    }
    else if (result == CLIENT_MALFORMED) {
        PlatformChecker_ReportViolation(call->caller->truth, "malformed id=%s",
                                        call->id);
    }
    destroy_call(call);
}

static void
on_timeout(Timer *timer)
{
    Call *call = TIMER_OWNER(timer, Call, timer);

    PlatformChecker_OnTimeout(call->caller->truth, call->id);
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
create_call(PlatformCaller *this, bool once)
{
    Call *call = g_new0(Call, 1);
    uint64_t bytes = once ? BODY_BYTES : 0;

    call->caller = this;
    call->sent = Clock_Now(this->clock);
    call->id = g_strdup_printf("%08x%08x", (unsigned)this->prefix,
                               (unsigned)++this->number);
    call->head = g_string_new(NULL);
    call->body = g_string_new(NULL);
    g_string_printf(call->head,
                    "%s /%s/%u HTTP/1.1\r\nhost: gateway.example\r\n"
                    "agatecrank-attempt-id: %s\r\n"
                    "agatecrank-timeout-ms: %d\r\n%s",
                    once ? "POST" : "GET", once ? "once" : "safe",
                    (unsigned)this->number, call->id,
                    (int)(TIMEOUT / MICROS_PER_MS),
                    once ? "connection: close\r\n" : "");
    if (once) {
        g_string_append_printf(call->head, "content-length: %d\r\n",
                               BODY_BYTES);
    }
    g_string_append(call->head, "\r\n");
    call->client = (ClientCall){
        .head = Str_FromString(call->head),
        .body_length = bytes,
        .fill = fill_body,
        .user = call,
        .on_head = on_head,
        .on_body = on_body,
        .on_done = on_done,
    };
    return call;
}

static void
send_call(PlatformCaller *this)
{
    bool once = Random_Unit(this->random) < ONCE_SHARE;
    HttpClient *client = once ? this->fresh : this->kept;
    Call *call = create_call(this, once);
    size_t target = Random_Below(this->random, HttpClient_TargetCount(client));

    g_hash_table_add(this->calls, call);
    PlatformChecker_OnSent(this->truth, call->id, once);
    Timer_Start(&call->timer, this->loop->timers, TIMEOUT, on_timeout);
    HttpClient_Send(client, target, &call->client);
}

static void
on_next(Timer *timer)
{
    PlatformCaller *this = TIMER_OWNER(timer, PlatformCaller, timer);
    Micros now = Clock_Now(this->clock);

    while (this->next <= now) {
        this->next += 1 + (Micros)Random_Exponential(
                              this->random, (double)MICROS_PER_S / this->rate);
        send_call(this);
    }
    Timer_Start(&this->timer, this->loop->timers, this->next - now, on_next);
}

PlatformCaller *
PlatformCaller_Create(HttpLoop *loop, const Clock *clock, Random *random,
                      PlatformChecker *truth, const char *targets, double rate)
{
    PlatformCaller *this = g_new0(PlatformCaller, 1);

    this->loop = loop;
    this->clock = clock;
    this->random = random;
    this->truth = truth;
    this->rate = rate;
    this->prefix = Random_Next(random);
    this->calls = g_hash_table_new(NULL, NULL);
    this->kept = HttpClient_Create(loop, targets, 0, true);
    this->fresh = HttpClient_Create(loop, targets, 0, false);
    if (this->kept == NULL || this->fresh == NULL) {
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
    if (this->kept != NULL) {
        HttpClient_Destroy(this->kept);
    }
    if (this->fresh != NULL) {
        HttpClient_Destroy(this->fresh);
    }
    g_free(this);
}

void
PlatformCaller_PrintSlowCalls(PlatformCaller *this, Micros late)
{
    this->show_late = late;
}

void
PlatformCaller_Start(PlatformCaller *this)
{
    this->next = Clock_Now(this->clock);
    Timer_Start(&this->timer, this->loop->timers, 1, on_next);
}

void
PlatformCaller_Stop(PlatformCaller *this)
{
    Timer_Stop(&this->timer);
}
