#include "ClaimActions.h"

/* An action and the copies of its strings and claims. */
typedef struct QueuedAction_ {
    ClaimAction action;
    GStringChunk *text;
    Claim *claims;
} QueuedAction;

struct ClaimActions_ {
    GQueue queue; /* QueuedAction */
    QueuedAction *current;
};

ClaimActions *
ClaimActions_Create(void)
{
    ClaimActions *this = g_new0(ClaimActions, 1);

    g_queue_init(&this->queue);
    return this;
}

static void
free_queued(gpointer data)
{
    QueuedAction *queued = data;

    if (queued->text != NULL) {
        g_string_chunk_free(queued->text);
    }
    g_free(queued->claims);
    g_free(queued);
}

void
ClaimActions_Destroy(ClaimActions *this)
{
    g_queue_clear_full(&this->queue, free_queued);
    g_clear_pointer(&this->current, free_queued);
    g_free(this);
}

static void
copy_text(QueuedAction *queued, Str *text)
{
    if (text->length == 0) {
        return;
    }
    if (queued->text == NULL) {
        queued->text = g_string_chunk_new(64);
    }
    text->data = g_string_chunk_insert_len(queued->text, text->data,
                                           (gssize)text->length);
}

static void
copy_claims(QueuedAction *queued, ClaimSubmit *submit)
{
    queued->claims =
        g_memdup2(submit->claims, submit->n * sizeof(*submit->claims));
    for (size_t i = 0; i < submit->n; i++) {
        copy_text(queued, &queued->claims[i].host);
    }
    submit->claims = queued->claims;
}

void
ClaimActions_Add(ClaimActions *this, const ClaimAction *action)
{
    QueuedAction *queued = g_new0(QueuedAction, 1);

    queued->action = *action;
    copy_text(queued, &queued->action.host);
    switch (action->kind) {
    case CLAIM_APPEND:
        copy_text(queued, &queued->action.append.record);
        break;
    case CLAIM_SUBMIT:
        copy_claims(queued, &queued->action.submit);
        break;
    case CLAIM_DISPATCH:
        break;
    case CLAIM_ANSWER:
        copy_text(queued, &queued->action.answer.answer);
        break;
    case CLAIM_QUERY:
        copy_text(queued, &queued->action.query.from);
        break;
    case CLAIM_REPLY:
        copy_text(queued, &queued->action.reply.holder);
        copy_text(queued, &queued->action.reply.answer);
        break;
    }
    g_queue_push_tail(&this->queue, queued);
}

bool
ClaimActions_Next(ClaimActions *this, ClaimAction *action)
{
    g_clear_pointer(&this->current, free_queued);
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
