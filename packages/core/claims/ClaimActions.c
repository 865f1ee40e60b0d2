#include "ClaimActions.h"

/* An action and the copies that it refers to. */
typedef struct Held_ {
    ClaimAction action;
    GStringChunk *text;
    Claim *claims;
} Held;

struct ClaimActions_ {
    GQueue queue; /* Held */
    Held *current;
};

ClaimActions *
ClaimActions_Create(void)
{
    ClaimActions *this = g_new0(ClaimActions, 1);

    g_queue_init(&this->queue);
    return this;
}

static void
free_held(gpointer data)
{
    Held *held = data;

    if (held->text != NULL) {
        g_string_chunk_free(held->text);
    }
    g_free(held->claims);
    g_free(held);
}

void
ClaimActions_Destroy(ClaimActions *this)
{
    g_queue_clear_full(&this->queue, free_held);
    g_clear_pointer(&this->current, free_held);
    g_free(this);
}

static void
keep(Held *held, Str *text)
{
    if (text->length == 0) {
        return;
    }
    if (held->text == NULL) {
        held->text = g_string_chunk_new(64);
    }
    text->data = g_string_chunk_insert_len(held->text, text->data,
                                           (gssize)text->length);
}

static void
keep_claims(Held *held, ClaimSubmit *submit)
{
    held->claims =
        g_memdup2(submit->claims, submit->n * sizeof(*submit->claims));
    for (size_t i = 0; i < submit->n; i++) {
        keep(held, &held->claims[i].host);
    }
    submit->claims = held->claims;
}

void
ClaimActions_Add(ClaimActions *this, const ClaimAction *action)
{
    Held *held = g_new0(Held, 1);

    held->action = *action;
    keep(held, &held->action.host);
    switch (action->kind) {
    case CLAIM_APPEND:
        keep(held, &held->action.append.record);
        break;
    case CLAIM_SUBMIT:
        keep_claims(held, &held->action.submit);
        break;
    case CLAIM_DISPATCH:
        break;
    case CLAIM_ANSWER:
        keep(held, &held->action.answer.answer);
        break;
    case CLAIM_QUERY:
        keep(held, &held->action.query.from);
        break;
    case CLAIM_REPLY:
        keep(held, &held->action.reply.holder);
        keep(held, &held->action.reply.answer);
        break;
    }
    g_queue_push_tail(&this->queue, held);
}

bool
ClaimActions_Next(ClaimActions *this, ClaimAction *action)
{
    g_clear_pointer(&this->current, free_held);
    this->current = g_queue_pop_head(&this->queue);
    if (this->current == NULL) {
        return false;
    }
    *action = this->current->action;
    return true;
}

size_t
ClaimActions_Count(const ClaimActions *this)
{
    return this->queue.length;
}
