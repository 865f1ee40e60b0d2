#include "AllowanceClient.h"

#include <glib.h>
#include <math.h>

/* Granted requests that were not sent in this time are dropped, so that what a
 * grantor has handed out reaches upstreams about then. */
#define GRANT_TIME_US (250 * MICROS_PER_MS)
/* A question is also for the requests that are expected in this time. */
#define EXPECTED_TIME_US (100 * MICROS_PER_MS)
#define EXPECTED_MAX 64
/* Time over which the rate of requests of a customer is averaged. */
#define RATE_TIME_US (1 * MICROS_PER_S)
/* Hosts that are asked for a customer, one after the other. */
#define GRANTORS 2
/* A host that has not answered is not asked for this time. It is short: while
 * some hosts ask the first grantor and some the second, both hand out. */
#define FAILED_TIME_US (1 * MICROS_PER_S)
/* Without an answer a host has one request, and its part of this time. */
#define PART_BURST_S 0.25
/* Rate of a host that knows no others, at most. */
#define ALONE_RATE_MAX_PER_S 1.0
/* Bounds of the wait that is told without an answer. */
#define PART_WAIT_MIN_US (200 * MICROS_PER_MS)
#define PART_WAIT_MAX_US (1 * MICROS_PER_S)

typedef struct Host_ {
    GString *id;
    uint32_t link_mbps;
    Micros failed_until;
} Host;

/* What this host has of the limit of a customer. */
typedef struct Share_ {
    GString *customer;
    AllowanceLimit limit;
    uint32_t tokens;      /* granted requests, until @expires_at */
    Micros expires_at;    /* by Clock_Boot() */
    Micros refused_until; /* the grantor has no more until then */
    double part_tokens;   /* without an answer */
    Micros part_at;
    double arrivals; /* requests in RATE_TIME_US */
    Micros arrivals_at;
    GQueue waiting;  /* requests */
    uint64_t asking; /* number of the open question; 0 for none */
    uint32_t wanted; /* of the open question */
    uint32_t tried;  /* grantors asked for it */
    uint64_t list;   /* number of the list of hosts for the next field */
    Host *grantors[GRANTORS];
} Share;

/* An open question, of this host or of another one. */
typedef struct Question_ {
    uint64_t number;
    Share *share;
    void *relayed; /* request of AllowanceClient_Relay(), or NULL */
    uint32_t wanted;
    uint32_t tried; /* index of the grantor that is asked */
} Question;

struct AllowanceClient_ {
    GString *host;
    const Clock *clock;
    Random *random;
    GPtrArray *hosts;   /* Host */
    uint64_t list;      /* number of the list of hosts */
    GHashTable *shares; /* Share by its customer */
    GHashTable *open;   /* Question by its number */
    GQueue *asks;       /* Question that was not taken yet */
    GArray *relayed;    /* AllowanceRelayed */
    GArray *verdicts;   /* AllowanceVerdict */
    uint64_t asked;     /* questions so far */
};

static void
destroy_host(gpointer data)
{
    Host *host = data;

    g_string_free(host->id, TRUE);
    g_free(host);
}

static void
destroy_share(gpointer data)
{
    Share *share = data;

    g_queue_clear(&share->waiting);
    g_string_free(share->customer, TRUE);
    g_free(share);
}

AllowanceClient *
AllowanceClient_Create(Str host, const Clock *clock, Random *random)
{
    AllowanceClient *this = g_new0(AllowanceClient, 1);

    this->host = Str_ToString(host);
    this->clock = clock;
    this->random = random;
    this->hosts = g_ptr_array_new_with_free_func(destroy_host);
    this->list = 1;
    this->shares =
        g_hash_table_new_full((GHashFunc)g_string_hash,
                              (GEqualFunc)g_string_equal, NULL, destroy_share);
    this->open = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    this->relayed = g_array_new(FALSE, FALSE, sizeof(AllowanceRelayed));
    this->asks = g_queue_new();
    this->verdicts = g_array_new(FALSE, FALSE, sizeof(AllowanceVerdict));
    return this;
}

void
AllowanceClient_Destroy(AllowanceClient *this)
{
    if (this == NULL) {
        return;
    }
    g_queue_free(this->asks);
    g_hash_table_destroy(this->open);
    g_hash_table_destroy(this->shares);
    g_ptr_array_free(this->hosts, TRUE);
    g_array_free(this->verdicts, TRUE);
    g_array_free(this->relayed, TRUE);
    g_string_free(this->host, TRUE);
    g_free(this);
}

/* ---- hosts ----------------------------------------------------------- */

static Host *
find_host(const AllowanceClient *this, Str id)
{
    for (guint i = 0; i < this->hosts->len; i++) {
        Host *host = g_ptr_array_index(this->hosts, i);

        if (Str_Equal(Str_FromString(host->id), id)) {
            return host;
        }
    }
    return NULL;
}

void
AllowanceClient_SetHosts(AllowanceClient *this, const AllowanceHost *hosts,
                         size_t count)
{
    GPtrArray *replaced = g_ptr_array_new_with_free_func(destroy_host);

    for (size_t i = 0; i < count; i++) {
        const Host *known = find_host(this, hosts[i].id);
        Host *host = g_new0(Host, 1);

        host->id = Str_ToString(hosts[i].id);
        host->link_mbps = hosts[i].link_mbps;
        host->failed_until = known != NULL ? known->failed_until : 0;
        g_ptr_array_add(replaced, host);
    }
    g_ptr_array_free(this->hosts, TRUE);
    this->hosts = replaced;
    this->list++;
}

/* Returns a number by which the hosts are ordered for a customer; the order of
 * two hosts does not depend on the others. With the square of the capacity, a
 * few hosts with 20 times that of the others get nearly all customers. */
static double
position_of(const Host *host, Str customer)
{
    uint64_t hash =
        Str_HashSeeded(Str_FromString(host->id), Str_Hash(customer));
    double unit = ((double)(hash >> 11) + 1) / (double)(1ULL << 53);
    double link = MAX(host->link_mbps, 1);

    return -log(unit) / (link * link);
}

static bool
precedes(const Host *a, const Host *b, Str customer)
{
    return b == NULL || position_of(a, customer) < position_of(b, customer);
}

static void
find_grantors(const AllowanceClient *this, Str customer, Host **grantors)
{
    for (size_t i = 0; i < GRANTORS; i++) {
        grantors[i] = NULL;
    }
    for (guint i = 0; i < this->hosts->len; i++) {
        Host *host = g_ptr_array_index(this->hosts, i);

        if (precedes(host, grantors[0], customer)) {
            grantors[1] = grantors[0];
            grantors[0] = host;
        }
        else if (precedes(host, grantors[1], customer)) {
            grantors[1] = host;
        }
    }
}

static bool
is_own(const AllowanceClient *this, const Host *host)
{
    return g_string_equal(host->id, this->host);
}

static Share *
find_share(const AllowanceClient *this, Str customer)
{
    GString *key = Str_ToString(customer);
    Share *share = g_hash_table_lookup(this->shares, key);

    g_string_free(key, TRUE);
    return share;
}

static Host *const *
grantors_of(const AllowanceClient *this, Share *share)
{
    if (share->list != this->list) {
        find_grantors(this, Str_FromString(share->customer), share->grantors);
        share->list = this->list;
    }
    return share->grantors;
}

bool
AllowanceClient_IsGrantor(AllowanceClient *this, Str customer)
{
    Share *share = find_share(this, customer);
    Host *grantors[GRANTORS];
    const Host *first;

    if (share != NULL) {
        first = grantors_of(this, share)[0];
    }
    else {
        find_grantors(this, customer, grantors);
        first = grantors[0];
    }
    return first != NULL && is_own(this, first);
}

/* ---- requests -------------------------------------------------------- */

static Share *
share_of(AllowanceClient *this, const AllowanceLimit *limit)
{
    Share *share = find_share(this, limit->customer);

    if (share == NULL) {
        share = g_new0(Share, 1);
        share->customer = Str_ToString(limit->customer);
        g_queue_init(&share->waiting);
        share->part_tokens = 1;
        share->part_at = Clock_Now(this->clock);
        share->arrivals_at = share->part_at;
        g_hash_table_insert(this->shares, share->customer, share);
    }
    share->limit = *limit;
    share->limit.customer = Str_FromString(share->customer);
    return share;
}

static void
count_arrival(AllowanceClient *this, Share *share)
{
    Micros now = Clock_Now(this->clock);
    double passed = (double)(now - share->arrivals_at) / RATE_TIME_US;

    share->arrivals *= passed < 1 ? 1 - passed : 0;
    share->arrivals += 1;
    share->arrivals_at = now;
}

static bool
take_token(AllowanceClient *this, Share *share)
{
    if (share->tokens == 0 || Clock_Boot(this->clock) >= share->expires_at) {
        share->tokens = 0;
        return false;
    }
    share->tokens--;
    return true;
}

/* Tells the rest of a wait and up to as much again, so that callers do not come
 * back at the same time. */
static Micros
spread(AllowanceClient *this, Micros wait)
{
    return wait + (Micros)Random_Below(this->random, (uint64_t)MAX(wait, 1));
}

static void
push_verdict(AllowanceClient *this, void *request, AllowanceDecision decision,
             Micros wait)
{
    AllowanceVerdict verdict = {request, decision, wait};

    g_array_append_val(this->verdicts, verdict);
}

/* ---- equal parts ----------------------------------------------------- */

static double
part_rate(const AllowanceClient *this, const Share *share)
{
    return this->hosts->len > 0
               ? share->limit.rate_per_s / this->hosts->len
               : MIN(share->limit.rate_per_s, ALONE_RATE_MAX_PER_S);
}

static void
refill_part(AllowanceClient *this, Share *share)
{
    Micros now = Clock_Now(this->clock);
    double rate = part_rate(this, share);

    share->part_tokens += rate * (double)(now - share->part_at) / MICROS_PER_S;
    share->part_tokens = MIN(share->part_tokens, 1 + rate * PART_BURST_S);
    share->part_at = now;
}

static void
use_part(AllowanceClient *this, Share *share)
{
    double wait;
    void *request;

    refill_part(this, share);
    while ((request = g_queue_pop_head(&share->waiting)) != NULL) {
        if (share->part_tokens >= 1) {
            share->part_tokens -= 1;
            push_verdict(this, request, ALLOWANCE_ADMIT, 0);
            continue;
        }
        wait = (1 - share->part_tokens) / part_rate(this, share);
        wait = MIN(wait * MICROS_PER_S, (double)PART_WAIT_MAX_US);
        push_verdict(this, request, ALLOWANCE_REFUSE,
                     spread(this, MAX((Micros)wait, PART_WAIT_MIN_US)));
    }
}

/* ---- questions ------------------------------------------------------- */

static uint32_t
expected_requests(const Share *share)
{
    double expected =
        share->arrivals * ((double)EXPECTED_TIME_US / RATE_TIME_US);

    return (uint32_t)MIN(expected, EXPECTED_MAX);
}

static uint64_t
open_question(AllowanceClient *this, Share *share, uint32_t wanted,
              uint32_t tried, void *relayed)
{
    Question *question = g_new0(Question, 1);

    *question = (Question){++this->asked, share, relayed, wanted, tried};
    g_hash_table_insert(this->open, GSIZE_TO_POINTER(question->number),
                        question);
    g_queue_push_tail(this->asks, question);
    return question->number;
}

static bool
may_answer(const AllowanceClient *this, const Host *host)
{
    return host != NULL && host->failed_until <= Clock_Now(this->clock);
}

/* Asks the next host that may answer, or decides without one. */
static void
ask(AllowanceClient *this, Share *share)
{
    Host *const *grantors = grantors_of(this, share);

    while (share->tried < GRANTORS &&
           !may_answer(this, grantors[share->tried])) {
        share->tried++;
    }
    if (share->tried == GRANTORS) {
        use_part(this, share);
        return;
    }
    share->wanted =
        g_queue_get_length(&share->waiting) + expected_requests(share);
    share->asking =
        open_question(this, share, share->wanted, share->tried, NULL);
}

static void
begin_asking(AllowanceClient *this, Share *share)
{
    share->tried = 0;
    ask(this, share);
}

AllowanceVerdict
AllowanceClient_Take(AllowanceClient *this, const AllowanceLimit *limit,
                     void *request)
{
    AllowanceVerdict verdict = {request, ALLOWANCE_ADMIT, 0};
    Micros now = Clock_Now(this->clock);
    Share *share;

    if (!(limit->rate_per_s > 0)) {
        return verdict;
    }
    share = share_of(this, limit);
    count_arrival(this, share);
    if (share->asking == 0 && take_token(this, share)) {
        return verdict;
    }
    if (share->asking == 0 && now < share->refused_until) {
        verdict.decision = ALLOWANCE_REFUSE;
        verdict.wait = spread(this, share->refused_until - now);
        return verdict;
    }
    verdict.decision = ALLOWANCE_WAIT;
    g_queue_push_tail(&share->waiting, request);
    if (share->asking == 0) {
        begin_asking(this, share);
    }
    return verdict;
}

void
AllowanceClient_Cancel(AllowanceClient *this, Str customer, void *request)
{
    Share *share = find_share(this, customer);

    if (share != NULL) {
        g_queue_remove(&share->waiting, request);
    }
    for (guint i = 0; i < this->verdicts->len; i++) {
        AllowanceVerdict *verdict =
            &g_array_index(this->verdicts, AllowanceVerdict, i);

        if (verdict->request == request) {
            g_array_remove_index(this->verdicts, i);
            return;
        }
    }
}

void
AllowanceClient_Return(AllowanceClient *this, Str customer)
{
    Share *share = find_share(this, customer);

    if (share != NULL && Clock_Boot(this->clock) < share->expires_at) {
        share->tokens++;
    }
}

bool
AllowanceClient_Relay(AllowanceClient *this, const AllowanceLimit *limit,
                      uint32_t wanted, void *request)
{
    Share *share = share_of(this, limit);
    const Host *first = grantors_of(this, share)[0];

    if (!may_answer(this, first) || is_own(this, first)) {
        return false;
    }
    open_question(this, share, wanted, 0, request);
    return true;
}

void
AllowanceClient_CancelRelay(AllowanceClient *this, void *request)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->open);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((Question *)value)->relayed == request) {
            g_queue_remove(this->asks, value);
            g_hash_table_iter_remove(&iter);
        }
    }
    for (guint i = 0; i < this->relayed->len; i++) {
        if (g_array_index(this->relayed, AllowanceRelayed, i).request ==
            request) {
            g_array_remove_index(this->relayed, i);
            return;
        }
    }
}

bool
AllowanceClient_NextRelayed(AllowanceClient *this, AllowanceRelayed *relayed)
{
    if (this->relayed->len == 0) {
        return false;
    }
    *relayed = g_array_index(this->relayed, AllowanceRelayed, 0);
    g_array_remove_index(this->relayed, 0);
    return true;
}

bool
AllowanceClient_NextAsk(AllowanceClient *this, AllowanceAsk *ask)
{
    const Question *question = g_queue_pop_head(this->asks);
    const Host *host;

    if (question == NULL) {
        return false;
    }
    /* The list may have changed since the question was put. */
    host = grantors_of(this, question->share)[question->tried];
    *ask = (AllowanceAsk){
        .number = question->number,
        .host = host != NULL ? Str_FromString(host->id) : STR(""),
        .customer = Str_FromString(question->share->customer),
        .wanted = question->wanted,
        .own = host != NULL && is_own(this, host),
        .relayed = question->relayed != NULL,
    };
    return true;
}

/* Returns false if the question is not open. */
static bool
close_question(AllowanceClient *this, uint64_t number, Question *closed)
{
    gpointer key = GSIZE_TO_POINTER(number);
    const Question *question = g_hash_table_lookup(this->open, key);

    if (question == NULL) {
        return false;
    }
    *closed = *question;
    g_hash_table_remove(this->open, key);
    if (closed->relayed == NULL) {
        closed->share->asking = 0;
    }
    return true;
}

static void
end_relay(AllowanceClient *this, const Question *question,
          const AllowanceGrant *grant)
{
    AllowanceRelayed relayed = {.request = question->relayed};

    if (grant != NULL) {
        relayed.answered = true;
        relayed.grant = *grant;
    }
    g_array_append_val(this->relayed, relayed);
}

static void
use_grant(AllowanceClient *this, Share *share, const AllowanceGrant *grant)
{
    void *request;

    share->tokens = MIN(grant->granted, share->wanted);
    share->expires_at = Clock_Boot(this->clock) + GRANT_TIME_US;
    while (share->tokens > 0 &&
           (request = g_queue_pop_head(&share->waiting)) != NULL) {
        share->tokens--;
        push_verdict(this, request, ALLOWANCE_ADMIT, 0);
    }
    if (grant->granted >= share->wanted) {
        if (!g_queue_is_empty(&share->waiting)) {
            begin_asking(this, share);
        }
        return;
    }
    share->refused_until = Clock_Now(this->clock) + grant->wait;
    while ((request = g_queue_pop_head(&share->waiting)) != NULL) {
        push_verdict(this, request, ALLOWANCE_REFUSE,
                     spread(this, grant->wait));
    }
}

void
AllowanceClient_OnAnswer(AllowanceClient *this, uint64_t number,
                         const AllowanceGrant *grant)
{
    Question question;

    if (!close_question(this, number, &question)) {
        return;
    }
    if (question.relayed != NULL) {
        end_relay(this, &question, grant);
    }
    else {
        use_grant(this, question.share, grant);
    }
}

void
AllowanceClient_OnFailure(AllowanceClient *this, uint64_t number)
{
    Question question;
    Host *host;

    if (!close_question(this, number, &question)) {
        return;
    }
    host = grantors_of(this, question.share)[question.tried];
    if (host != NULL) {
        host->failed_until = Clock_Now(this->clock) + FAILED_TIME_US;
    }
    if (question.relayed != NULL) {
        end_relay(this, &question, NULL);
        return;
    }
    question.share->tried++;
    ask(this, question.share);
}

bool
AllowanceClient_NextVerdict(AllowanceClient *this, AllowanceVerdict *verdict)
{
    if (this->verdicts->len == 0) {
        return false;
    }
    *verdict = g_array_index(this->verdicts, AllowanceVerdict, 0);
    g_array_remove_index(this->verdicts, 0);
    return true;
}
