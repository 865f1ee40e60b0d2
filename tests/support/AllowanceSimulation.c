#include "AllowanceSimulation.h"

#include <glib.h>

#define STEP_US (1 * MICROS_PER_MS)
#define ANSWER_TIMEOUT_US (200 * MICROS_PER_MS)
#define RELAYED_TIMEOUT_US (80 * MICROS_PER_MS)
#define CUSTOMER STR("amina")
#define SENT_MAX 200000

typedef struct Host_ {
    char id[16];
    AllowanceClient *client;
    AllowanceGrantor *grantor;
} Host;

/* A message under way, or the end of the wait for one. */
typedef struct Message_ {
    Micros at;
    size_t from, to;
    uint64_t number;
    unsigned life; /* of the host that asks */
    uint32_t wanted;
    AllowanceGrant grant;
    bool relayed;
    bool is_answer;
    bool failed;
} Message;

typedef struct Request_ {
    Micros arrived;
} Request;

typedef struct Simulation_ {
    const AllowanceRun *run;
    Clock *clock;
    Random *random;
    Host *hosts;
    AllowanceHost *list;
    GQueue messages;      /* Message, by time */
    GArray *sent;         /* Micros */
    GPtrArray *allocated; /* requests and questions, to the end of the run */
    AllowanceLimit limit;
    AllowanceResult result;
    double ideal; /* tokens of a single bucket */
    Micros began;
    size_t first; /* grantor */
    unsigned life;
} Simulation;

static Micros
now(const Simulation *s)
{
    return Clock_Now(s->clock) - s->began;
}

static void
start_host(Simulation *s, size_t i)
{
    size_t count = s->run->hosts;

    if (s->run->older_lists && i % 2 == 1) {
        count -= count / 10;
    }
    s->hosts[i].client =
        AllowanceClient_Create(s->list[i].id, s->clock, s->random);
    s->hosts[i].grantor = AllowanceGrantor_Create(s->clock);
    AllowanceClient_SetHosts(s->hosts[i].client, s->list, count);
}

static void
stop_host(Simulation *s, size_t i)
{
    AllowanceClient_Destroy(s->hosts[i].client);
    AllowanceGrantor_Destroy(s->hosts[i].grantor);
}

static void
create_hosts(Simulation *s)
{
    const AllowanceRun *run = s->run;

    s->hosts = g_new0(Host, run->hosts);
    s->list = g_new0(AllowanceHost, run->hosts);
    for (size_t i = 0; i < run->hosts; i++) {
        g_snprintf(s->hosts[i].id, sizeof(s->hosts[i].id), "host-%zu", i);
        s->list[i].id = Str_FromC(s->hosts[i].id);
        s->list[i].link_mbps =
            run->link_ratio > 0 && i % 10 == 0 ? 10 * run->link_ratio : 10;
    }
    for (size_t i = 0; i < run->hosts; i++) {
        start_host(s, i);
        if (AllowanceClient_IsGrantor(s->hosts[i].client, CUSTOMER)) {
            s->first = i;
        }
    }
}

static bool
is_down(const Simulation *s, size_t host)
{
    return host == s->first && s->run->grantor_down_at > 0 &&
           now(s) >= s->run->grantor_down_at && now(s) < s->run->grantor_up_at;
}

static bool
is_cut(const Simulation *s, size_t from, size_t to)
{
    return s->run->cut_at > 0 && now(s) >= s->run->cut_at &&
           (from % 2 == 1) != (to % 2 == 1) &&
           (from == s->first || to == s->first);
}

static gint
compare_messages(gconstpointer a, gconstpointer b, gpointer user)
{
    const Message *x = a, *y = b;

    return x->at < y->at ? -1 : x->at > y->at;
}

static void
post(Simulation *s, Message message, Micros delay)
{
    Message *copy = g_memdup2(&message, sizeof(message));

    copy->at = now(s) + delay;
    g_queue_insert_sorted(&s->messages, copy, compare_messages, NULL);
}

/* ---- requests -------------------------------------------------------- */

static void
refill_ideal(Simulation *s)
{
    double capacity = MAX(s->run->burst, 1);

    s->ideal += s->run->rate_per_s * STEP_US / MICROS_PER_S;
    s->ideal = MIN(s->ideal, capacity);
}

static void
settle(Simulation *s, Request *request, AllowanceDecision decision)
{
    Micros sent = now(s);

    s->result.wait_max = MAX(s->result.wait_max, sent - request->arrived);
    if (decision == ALLOWANCE_ADMIT) {
        s->result.sent++;
        g_array_append_val(s->sent, sent);
    }
    else {
        s->result.refused++;
        s->result.refused_within += s->ideal >= 1;
    }
    if (s->ideal >= 1) {
        s->ideal -= 1;
    }
}

/* Hosts that the others may not list do not answer. */
static bool
is_new(const Simulation *s, size_t host)
{
    return s->run->older_lists && host >= s->run->hosts - s->run->hosts / 10;
}

static AllowanceGrant
grant(Simulation *s, size_t i, uint32_t wanted)
{
    Host *host = &s->hosts[i];

    return AllowanceGrantor_Grant(
        host->grantor, &s->limit, wanted,
        !AllowanceClient_IsGrantor(host->client, CUSTOMER));
}

static void
answer(Simulation *s, const Message *question, const AllowanceGrant *given)
{
    Message message = *question;

    message.grant = *given;
    message.is_answer = true;
    post(s, message, s->run->delay);
}

static void
end_relayed(Simulation *s, size_t i)
{
    AllowanceRelayed relayed;

    while (AllowanceClient_NextRelayed(s->hosts[i].client, &relayed)) {
        Message *question = relayed.request;

        if (!relayed.answered) {
            relayed.grant = grant(s, i, question->wanted);
        }
        answer(s, question, &relayed.grant);
    }
}

static void
run_host(Simulation *s, size_t i)
{
    Host *host = &s->hosts[i];
    AllowanceVerdict verdict;
    AllowanceAsk ask;

    while (AllowanceClient_NextAsk(host->client, &ask)) {
        Message message = {.from = i,
                           .number = ask.number,
                           .life = s->life,
                           .wanted = ask.wanted,
                           .relayed = ask.relayed};
        AllowanceGrant given;

        if (ask.own && is_new(s, i)) {
            AllowanceClient_OnFailure(host->client, ask.number);
            continue;
        }
        if (ask.own) {
            given = grant(s, i, ask.wanted);
            AllowanceClient_OnAnswer(host->client, ask.number, &given);
            continue;
        }
        s->result.asks++;
        message.to = (size_t)g_ascii_strtoull(ask.host.data + 5, NULL, 10);
        if (is_down(s, message.to) || is_cut(s, i, message.to)) {
            message.failed = true;
            post(s, message,
                 ask.relayed ? RELAYED_TIMEOUT_US : ANSWER_TIMEOUT_US);
        }
        else {
            post(s, message, s->run->delay);
        }
    }
    end_relayed(s, i);
    while (AllowanceClient_NextVerdict(host->client, &verdict)) {
        settle(s, verdict.request, verdict.decision);
    }
}

static void
deliver(Simulation *s, const Message *message)
{
    Host *from = &s->hosts[message->from];
    AllowanceGrant given;
    Message *kept;

    if (message->life != s->life) {
        return;
    }
    if (message->failed) {
        AllowanceClient_OnFailure(from->client, message->number);
        run_host(s, message->from);
    }
    else if (message->is_answer) {
        AllowanceClient_OnAnswer(from->client, message->number,
                                 &message->grant);
        run_host(s, message->from);
    }
    else if (is_new(s, message->to)) {
        Message refusal = *message;

        refusal.failed = true;
        post(s, refusal, s->run->delay);
    }
    else {
        kept = g_memdup2(message, sizeof(*message));
        g_ptr_array_add(s->allocated, kept);
        if (!message->relayed &&
            AllowanceClient_Relay(s->hosts[message->to].client, &s->limit,
                                  message->wanted, kept)) {
            run_host(s, message->to);
            return;
        }
        given = grant(s, message->to, message->wanted);
        answer(s, message, &given);
    }
}

static void
arrive(Simulation *s)
{
    size_t i = Random_Below(s->random, s->run->entries);
    Request *request = g_new0(Request, 1);
    AllowanceVerdict verdict;

    g_ptr_array_add(s->allocated, request);

    /* Callers of a host without power use another one. */
    if (is_down(s, i)) {
        i = (i + 1) % s->run->hosts;
    }
    request->arrived = now(s);
    s->result.requests++;
    verdict = AllowanceClient_Take(s->hosts[i].client, &s->limit, request);
    if (verdict.decision != ALLOWANCE_WAIT) {
        settle(s, request, verdict.decision);
    }
    run_host(s, i);
}

/* ---- faults ---------------------------------------------------------- */

static void
restart_all(Simulation *s)
{
    s->life++;
    for (size_t i = 0; i < s->run->hosts; i++) {
        stop_host(s, i);
        start_host(s, i);
    }
}

static void
bring_faults(Simulation *s)
{
    if (s->run->restart_at > 0 && now(s) == s->run->restart_at) {
        restart_all(s);
    }
    if (s->run->grantor_up_at > 0 && now(s) == s->run->grantor_up_at &&
        !s->run->frozen) {
        AllowanceGrantor_Destroy(s->hosts[s->first].grantor);
        s->hosts[s->first].grantor = AllowanceGrantor_Create(s->clock);
    }
}

/* ---- result ---------------------------------------------------------- */

static double
worst_excess(const Simulation *s)
{
    double allowed = s->run->rate_per_s * ALLOWANCE_WINDOW_US / MICROS_PER_S +
                     s->run->burst;
    double worst = -allowed;

    for (guint first = 0, i = 0; i < s->sent->len; i++) {
        while (g_array_index(s->sent, Micros, i) -
                   g_array_index(s->sent, Micros, first) >=
               ALLOWANCE_WINDOW_US) {
            first++;
        }
        worst = MAX(worst, (double)(i - first + 1) - allowed);
    }
    return worst;
}

AllowanceResult
AllowanceSimulation_Run(const AllowanceRun *run)
{
    Simulation s = {
        .run = run,
        .clock = Clock_CreateManual(MICROS_PER_S, 0),
        .random = Random_Create(run->seed),
        .sent = g_array_new(FALSE, FALSE, sizeof(Micros)),
        .allocated = g_ptr_array_new_with_free_func(g_free),
        .limit = {CUSTOMER, run->rate_per_s, run->burst, run->tolerance},
        .ideal = MAX(run->burst, 1),
        .began = MICROS_PER_S,
    };
    double demand, due = 0;

    g_queue_init(&s.messages);
    create_hosts(&s);
    while (now(&s) < run->duration) {
        Message *message;

        bring_faults(&s);
        refill_ideal(&s);
        while ((message = g_queue_peek_head(&s.messages)) != NULL &&
               message->at <= now(&s)) {
            g_queue_pop_head(&s.messages);
            deliver(&s, message);
            g_free(message);
        }
        demand = now(&s) >= run->hot_at ? run->hot_demand : run->demand;
        due -= demand * run->rate_per_s * STEP_US / MICROS_PER_S;
        while (due < 0) {
            arrive(&s);
            due += Random_Exponential(s.random, 1);
        }
        Clock_Advance(s.clock, STEP_US);
    }
    s.result.worst_excess = worst_excess(&s);
    for (size_t i = 0; i < run->hosts; i++) {
        stop_host(&s, i);
    }
    g_queue_clear_full(&s.messages, g_free);
    g_array_free(s.sent, TRUE);
    g_ptr_array_free(s.allocated, TRUE);
    g_free(s.hosts);
    g_free(s.list);
    Random_Destroy(s.random);
    Clock_Destroy(s.clock);
    return s.result;
}
