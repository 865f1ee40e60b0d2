#include "ClaimPending.h"

struct PendingSet_ {
    GPtrArray *all;
    GHashTable *by_key;     /* KeyHash -> Pending; the key is in Pending */
    GHashTable *by_request; /* request id -> Pending */
};

static guint
hash_key(gconstpointer key)
{
    return (guint)((const KeyHash *)key)->word[0];
}

static gboolean
equal_key(gconstpointer a, gconstpointer b)
{
    return KeyHash_Equal(*(const KeyHash *)a, *(const KeyHash *)b);
}

PendingSet *
PendingSet_Create(void)
{
    PendingSet *this = g_new0(PendingSet, 1);

    this->all = g_ptr_array_new();
    this->by_key = g_hash_table_new(hash_key, equal_key);
    this->by_request =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return this;
}

static void
free_pending(Pending *pending)
{
    g_array_free(pending->waiters, TRUE);
    g_string_free(pending->holder, TRUE);
    g_free(pending);
}

void
PendingSet_Destroy(PendingSet *this)
{
    g_hash_table_destroy(this->by_request);
    g_hash_table_destroy(this->by_key);
    for (guint i = 0; i < this->all->len; i++) {
        free_pending(this->all->pdata[i]);
    }
    g_ptr_array_free(this->all, TRUE);
    g_free(this);
}

Pending *
PendingSet_Add(PendingSet *this, KeyHash key)
{
    Pending *pending = g_new0(Pending, 1);

    pending->key = key;
    pending->waiters = g_array_new(FALSE, FALSE, sizeof(Waiter));
    pending->holder = g_string_new(NULL);
    g_ptr_array_add(this->all, pending);
    g_hash_table_insert(this->by_key, &pending->key, pending);
    return pending;
}

void
PendingSet_Remove(PendingSet *this, Pending *pending)
{
    for (guint i = 0; i < pending->waiters->len; i++) {
        g_hash_table_remove(
            this->by_request,
            &g_array_index(pending->waiters, Waiter, i).request_id);
    }
    if (pending->state == PENDING_RUNNING) {
        g_hash_table_remove(this->by_request, &pending->runner.request_id);
    }
    g_hash_table_remove(this->by_key, &pending->key);
    g_ptr_array_remove_fast(this->all, pending);
    free_pending(pending);
}

Pending *
PendingSet_Find(const PendingSet *this, KeyHash key)
{
    return g_hash_table_lookup(this->by_key, &key);
}

static void
index_request(PendingSet *this, uint64_t request_id, Pending *pending)
{
    uint64_t *id = g_new(uint64_t, 1);

    *id = request_id;
    g_hash_table_replace(this->by_request, id, pending);
}

void
PendingSet_AddWaiter(PendingSet *this, Pending *pending, Waiter waiter)
{
    g_array_append_val(pending->waiters, waiter);
    index_request(this, waiter.request_id, pending);
}

Waiter
PendingSet_TakeWaiter(PendingSet *this, Pending *pending, guint i)
{
    Waiter waiter = g_array_index(pending->waiters, Waiter, i);

    g_array_remove_index(pending->waiters, i);
    g_hash_table_remove(this->by_request, &waiter.request_id);
    return waiter;
}

void
PendingSet_SetRunner(PendingSet *this, Pending *pending, Waiter runner)
{
    pending->state = PENDING_RUNNING;
    pending->runner = runner;
    index_request(this, runner.request_id, pending);
}

Pending *
PendingSet_FindRequest(const PendingSet *this, uint64_t request_id)
{
    return g_hash_table_lookup(this->by_request, &request_id);
}

guint
PendingSet_Count(const PendingSet *this)
{
    return this->all->len;
}

Pending *
PendingSet_Get(const PendingSet *this, guint i)
{
    return this->all->pdata[i];
}
