#include "SlotLending.h"

#include <glib.h>

/* Longer than nearly all requests, so that a live loan seldom lapses. */
#define LOAN_TIME MICROS_PER_S
/* Borrows without an answer are forgotten after this time. */
#define BORROW_TIMEOUT (50 * MICROS_PER_MS)
/* Asked at the same time for one service; bounds messages in overload. */
#define BORROWS_MAX 2

/* A slot of this host that a peer uses until it is returned or due. */
typedef struct Loan_ {
    Micros due;
    uint64_t id;
    uint32_t upstream;
    bool open;
} Loan;

struct SlotLending_ {
    UpstreamTable *table;
    Random *random;
    GQueue out;    /* SlotMessage, to be sent */
    GQueue lent;   /* Loan, in order of due and id */
    GArray *taken; /* SlotMessage of each grant held by this host */
    uint64_t next_id;
};

SlotLending *
SlotLending_Create(UpstreamTable *table, Random *random)
{
    SlotLending *this = g_new0(SlotLending, 1);

    this->table = table;
    this->random = random;
    g_queue_init(&this->out);
    g_queue_init(&this->lent);
    this->taken = g_array_new(FALSE, FALSE, sizeof(SlotMessage));
    return this;
}

void
SlotLending_Destroy(SlotLending *this)
{
    g_queue_clear_full(&this->out, g_free);
    g_queue_clear_full(&this->lent, g_free);
    g_array_free(this->taken, TRUE);
    g_free(this);
}

uint32_t
SlotLending_Capacity(const Upstream *u)
{
    uint32_t total = (uint32_t)u->owned + u->borrowed;

    return total > u->lent ? total - u->lent : 0;
}

static void
put_message(SlotLending *this, const SlotMessage *message)
{
    g_queue_push_tail(&this->out, g_memdup2(message, sizeof(*message)));
}

static uint64_t
random_peer(const SlotLending *this)
{
    const UpstreamTable *t = this->table;
    uint32_t h = (uint32_t)Random_Below(this->random, t->host_count - 1);

    return t->host_keys[h >= t->host_own ? h + 1 : h];
}

void
SlotLending_Borrow(SlotLending *this, uint32_t service)
{
    ServiceState *s = UpstreamTable_Service(this->table, service);
    SlotMessage message = {.kind = SLOT_BORROW, .service = service};
    Micros now = Clock_Now(this->table->clock);

    if (now >= s->borrow_due) {
        s->borrows = 0;
    }
    if (this->table->host_count < 2 || s->borrows >= BORROWS_MAX) {
        return;
    }
    s->borrows++;
    s->borrow_due = now + BORROW_TIMEOUT;
    message.peer = random_peer(this);
    put_message(this, &message);
}

static bool
can_lend(const Upstream *u)
{
    return u->owned > u->lent && u->inflight < SlotLending_Capacity(u) &&
           (u->flags &
            (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) == 0 &&
           u->holds == 0;
}

static Upstream *
find_idle(SlotLending *this, const ServiceState *s)
{
    uint32_t first;

    if (s->subset_count == 0) {
        return NULL;
    }
    first = (uint32_t)Random_Below(this->random, s->subset_count);
    for (uint32_t i = 0; i < s->subset_count; i++) {
        uint32_t id = s->subset[(first + i) % s->subset_count];
        Upstream *u = &this->table->upstreams[id];

        if (can_lend(u)) {
            return u;
        }
    }
    return NULL;
}

static void
answer_borrow(SlotLending *this, const SlotMessage *message)
{
    ServiceState *s = UpstreamTable_Service(this->table, message->service);
    Upstream *u = s != NULL ? find_idle(this, s) : NULL;
    SlotMessage reply = *message;
    Loan loan = {.open = true};

    reply.kind = u != NULL ? SLOT_GRANT : SLOT_REFUSE;
    if (u != NULL) {
        u->lent++;
        loan.id = this->next_id++;
        loan.due = Clock_Now(this->table->clock) + LOAN_TIME;
        loan.upstream = (uint32_t)(u - this->table->upstreams);
        g_queue_push_tail(&this->lent, g_memdup2(&loan, sizeof(loan)));
        reply.upstream = loan.upstream;
        reply.id = loan.id;
    }
    put_message(this, &reply);
}

static bool
is_in_subset(const ServiceState *s, uint32_t upstream)
{
    for (uint32_t i = 0; i < s->subset_count; i++) {
        if (s->subset[i] == upstream) {
            return true;
        }
    }
    return false;
}

static void
give_back(SlotLending *this, const SlotMessage *grant)
{
    SlotMessage reply = *grant;

    reply.kind = SLOT_RETURN;
    put_message(this, &reply);
}

static bool
take_grant(SlotLending *this, const SlotMessage *message)
{
    ServiceState *s = UpstreamTable_Service(this->table, message->service);
    Upstream *u = UpstreamTable_Find(this->table, message->upstream);

    if (s == NULL || u == NULL || !is_in_subset(s, message->upstream)) {
        give_back(this, message);
        return false;
    }
    s->borrows -= s->borrows > 0;
    u->borrowed++;
    g_array_append_val(this->taken, *message);
    return true;
}

static void
end_loan(SlotLending *this, Loan *loan)
{
    Upstream *u = UpstreamTable_Find(this->table, loan->upstream);

    if (loan->open && u != NULL && u->lent > 0) {
        u->lent--;
    }
    loan->open = false;
}

static bool
take_return(SlotLending *this, uint64_t id)
{
    for (GList *l = this->lent.head; l != NULL; l = l->next) {
        Loan *loan = l->data;

        if (loan->id == id) {
            end_loan(this, loan);
            g_queue_delete_link(&this->lent, l);
            g_free(loan);
            return true;
        }
    }
    return false;
}

bool
SlotLending_OnMessage(SlotLending *this, const SlotMessage *message)
{
    ServiceState *s = UpstreamTable_Service(this->table, message->service);

    switch (message->kind) {
    case SLOT_BORROW:
        answer_borrow(this, message);
        return false;
    case SLOT_GRANT:
        return take_grant(this, message);
    case SLOT_REFUSE:
        if (s != NULL) {
            s->borrows -= s->borrows > 0;
        }
        /* Asked again only when a request comes or ends, not in a loop. */
        return false;
    case SLOT_RETURN:
        return take_return(this, message->id);
    }
    return false;
}

/* Gives back the first loan whose slot is not in use. */
static bool
return_idle(SlotLending *this, SlotMessage *message)
{
    for (guint i = 0; i < this->taken->len; i++) {
        SlotMessage *grant = &g_array_index(this->taken, SlotMessage, i);
        Upstream *u = UpstreamTable_Find(this->table, grant->upstream);

        if (u != NULL && u->inflight >= SlotLending_Capacity(u)) {
            continue;
        }
        *message = *grant;
        message->kind = SLOT_RETURN;
        if (u != NULL && u->borrowed > 0) {
            u->borrowed--;
        }
        g_array_remove_index_fast(this->taken, i);
        return true;
    }
    return false;
}

bool
SlotLending_Next(SlotLending *this, SlotMessage *message)
{
    SlotMessage *first = g_queue_pop_head(&this->out);

    if (first == NULL) {
        return return_idle(this, message);
    }
    *message = *first;
    g_free(first);
    return true;
}

void
SlotLending_Expire(SlotLending *this)
{
    Micros now = Clock_Now(this->table->clock);
    Loan *loan = g_queue_peek_head(&this->lent);

    while (loan != NULL && loan->due <= now) {
        end_loan(this, loan);
        g_free(g_queue_pop_head(&this->lent));
        loan = g_queue_peek_head(&this->lent);
    }
}
