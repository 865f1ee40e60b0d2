#include "SlotLending.h"

#include <glib.h>

/* Longer than nearly all requests, so that a loan in use rarely expires. */
#define LOAN_DURATION_US MICROS_PER_S
/* Age at which borrow requests without a reply stop counting as pending. */
#define BORROW_TIMEOUT_US (50 * MICROS_PER_MS)
/* Concurrent borrow requests for one service; bounds messages in overload. */
#define PENDING_BORROWS_MAX 2

/*
 * Slot of this host that a peer uses until it returns it or until @deadline.
 */
typedef struct Loan_ {
    Micros deadline;
    uint64_t id;
    uint32_t upstream;
    bool active;
} Loan;

struct SlotLending_ {
    UpstreamTable *table;
    Random *random;
    GQueue outbox;  /* SlotMessage, to be sent */
    GQueue loans;   /* Loan, ordered by deadline and id */
    GArray *grants; /* SlotMessage of each grant that this host holds */
    uint64_t next_id;
};

SlotLending *
SlotLending_Create(UpstreamTable *table, Random *random)
{
    SlotLending *this = g_new0(SlotLending, 1);

    this->table = table;
    this->random = random;
    g_queue_init(&this->outbox);
    g_queue_init(&this->loans);
    this->grants = g_array_new(FALSE, FALSE, sizeof(SlotMessage));
    return this;
}

void
SlotLending_Destroy(SlotLending *this)
{
    g_queue_clear_full(&this->outbox, g_free);
    g_queue_clear_full(&this->loans, g_free);
    g_array_free(this->grants, TRUE);
    g_free(this);
}

uint32_t
SlotLending_Capacity(const Upstream *u)
{
    uint32_t total = (uint32_t)u->slots_owned + u->slots_borrowed;

    return total > u->slots_lent ? total - u->slots_lent : 0;
}

static void
queue_message(SlotLending *this, const SlotMessage *message)
{
    g_queue_push_tail(&this->outbox, g_memdup2(message, sizeof(*message)));
}

static uint64_t
random_peer(const SlotLending *this)
{
    const UpstreamTable *t = this->table;
    uint32_t h = (uint32_t)Random_Below(this->random, t->host_count - 1);

    return t->host_keys[h >= t->own_host ? h + 1 : h];
}

void
SlotLending_Borrow(SlotLending *this, uint32_t service)
{
    ServiceState *s = UpstreamTable_Service(this->table, service);
    SlotMessage message = {.kind = SLOT_BORROW, .service = service};
    Micros now = Clock_Now(this->table->clock);

    if (now >= s->borrow_deadline) {
        s->pending_borrows = 0;
    }
    if (this->table->host_count < 2 ||
        s->pending_borrows >= PENDING_BORROWS_MAX) {
        return;
    }
    s->pending_borrows++;
    s->borrow_deadline = now + BORROW_TIMEOUT_US;
    message.peer = random_peer(this);
    queue_message(this, &message);
}

static bool
can_lend(const Upstream *u)
{
    return u->slots_owned > u->slots_lent &&
           u->inflight < SlotLending_Capacity(u) &&
           (u->flags &
            (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) == 0 &&
           u->ejections == 0;
}

static Upstream *
find_lendable(SlotLending *this, const ServiceState *s)
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
reply_to_borrow(SlotLending *this, const SlotMessage *message)
{
    ServiceState *s = UpstreamTable_Service(this->table, message->service);
    Upstream *u = s != NULL ? find_lendable(this, s) : NULL;
    SlotMessage reply = *message;
    Loan loan = {.active = true};

    reply.kind = u != NULL ? SLOT_GRANT : SLOT_REFUSE;
    if (u != NULL) {
        u->slots_lent++;
        loan.id = this->next_id++;
        loan.deadline = Clock_Now(this->table->clock) + LOAN_DURATION_US;
        loan.upstream = (uint32_t)(u - this->table->upstreams);
        g_queue_push_tail(&this->loans, g_memdup2(&loan, sizeof(loan)));
        reply.upstream = loan.upstream;
        reply.id = loan.id;
    }
    queue_message(this, &reply);
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
return_grant(SlotLending *this, const SlotMessage *grant)
{
    SlotMessage reply = *grant;

    reply.kind = SLOT_RETURN;
    queue_message(this, &reply);
}

static bool
accept_grant(SlotLending *this, const SlotMessage *message)
{
    ServiceState *s = UpstreamTable_Service(this->table, message->service);
    Upstream *u = UpstreamTable_Find(this->table, message->upstream);

    if (s == NULL || u == NULL || !is_in_subset(s, message->upstream)) {
        return_grant(this, message);
        return false;
    }
    s->pending_borrows -= s->pending_borrows > 0;
    u->slots_borrowed++;
    g_array_append_val(this->grants, *message);
    return true;
}

static void
end_loan(SlotLending *this, Loan *loan)
{
    Upstream *u = UpstreamTable_Find(this->table, loan->upstream);

    if (loan->active && u != NULL && u->slots_lent > 0) {
        u->slots_lent--;
    }
    loan->active = false;
}

static bool
accept_return(SlotLending *this, uint64_t id)
{
    for (GList *l = this->loans.head; l != NULL; l = l->next) {
        Loan *loan = l->data;

        if (loan->id == id) {
            end_loan(this, loan);
            g_queue_delete_link(&this->loans, l);
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
        reply_to_borrow(this, message);
        return false;
    case SLOT_GRANT:
        return accept_grant(this, message);
    case SLOT_REFUSE:
        if (s != NULL) {
            s->pending_borrows -= s->pending_borrows > 0;
        }
        /*
         * The next request that arrives or ends borrows again; retrying here
         * would loop.
         */
        return false;
    case SLOT_RETURN:
        return accept_return(this, message->id);
    }
    return false;
}

/* Returns the first borrowed slot that is not in use. */
static bool
return_idle_grant(SlotLending *this, SlotMessage *message)
{
    for (guint i = 0; i < this->grants->len; i++) {
        SlotMessage *grant = &g_array_index(this->grants, SlotMessage, i);
        Upstream *u = UpstreamTable_Find(this->table, grant->upstream);

        if (u != NULL && u->inflight >= SlotLending_Capacity(u)) {
            continue;
        }
        *message = *grant;
        message->kind = SLOT_RETURN;
        if (u != NULL && u->slots_borrowed > 0) {
            u->slots_borrowed--;
        }
        g_array_remove_index_fast(this->grants, i);
        return true;
    }
    return false;
}

bool
SlotLending_Next(SlotLending *this, SlotMessage *message)
{
    SlotMessage *first = g_queue_pop_head(&this->outbox);

    if (first == NULL) {
        return return_idle_grant(this, message);
    }
    *message = *first;
    g_free(first);
    return true;
}

void
SlotLending_Expire(SlotLending *this)
{
    Micros now = Clock_Now(this->table->clock);
    Loan *loan = g_queue_peek_head(&this->loans);

    while (loan != NULL && loan->deadline <= now) {
        end_loan(this, loan);
        g_free(g_queue_pop_head(&this->loans));
        loan = g_queue_peek_head(&this->loans);
    }
}
