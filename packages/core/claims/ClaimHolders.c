#include "ClaimHolders.h"

#include <glib.h>

/* Memory of the name and the hash table slots of one holder. */
#define HOLDER_OVERHEAD_BYTES 128

typedef struct Holder_ {
    GString *host;
    uint64_t incarnation;
    uint32_t number;
    uint64_t references;
} Holder;

struct ClaimHolders_ {
    GPtrArray *holders; /* Holder by number; NULL if the number is free */
    GArray *free_numbers;
    GHashTable *index; /* set of Holder */
};

static guint
hash_holder(gconstpointer key)
{
    const Holder *holder = key;

    return (guint)Str_HashSeeded(Str_FromString(holder->host),
                                 holder->incarnation);
}

static gboolean
equal_holder(gconstpointer a, gconstpointer b)
{
    const Holder *x = a;
    const Holder *y = b;

    return x->incarnation == y->incarnation &&
           g_string_equal(x->host, y->host);
}

ClaimHolders *
ClaimHolders_Create(void)
{
    ClaimHolders *this = g_new0(ClaimHolders, 1);

    this->holders = g_ptr_array_new();
    this->free_numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    this->index = g_hash_table_new(hash_holder, equal_holder);
    return this;
}

static void
free_holder(Holder *holder)
{
    g_string_free(holder->host, TRUE);
    g_free(holder);
}

void
ClaimHolders_Destroy(ClaimHolders *this)
{
    g_hash_table_destroy(this->index);
    for (guint i = 0; i < this->holders->len; i++) {
        if (this->holders->pdata[i] != NULL) {
            free_holder(this->holders->pdata[i]);
        }
    }
    g_ptr_array_free(this->holders, TRUE);
    g_array_free(this->free_numbers, TRUE);
    g_free(this);
}

static uint32_t
allocate_number(ClaimHolders *this)
{
    GArray *numbers = this->free_numbers;

    if (numbers->len > 0) {
        uint32_t number = g_array_index(numbers, uint32_t, numbers->len - 1);

        g_array_set_size(numbers, numbers->len - 1);
        return number;
    }
    g_ptr_array_add(this->holders, NULL);
    return this->holders->len - 1;
}

uint32_t
ClaimHolders_Ref(ClaimHolders *this, Str host, uint64_t incarnation)
{
    GString *name = Str_ToString(host);
    Holder lookup = {.host = name, .incarnation = incarnation};
    Holder *holder = g_hash_table_lookup(this->index, &lookup);

    if (holder != NULL) {
        g_string_free(name, TRUE);
        holder->references++;
        return holder->number;
    }
    holder = g_new(Holder, 1);
    *holder = lookup;
    holder->references = 1;
    holder->number = allocate_number(this);
    this->holders->pdata[holder->number] = holder;
    g_hash_table_add(this->index, holder);
    return holder->number;
}

void
ClaimHolders_Unref(ClaimHolders *this, uint32_t number)
{
    Holder *holder = this->holders->pdata[number];

    holder->references--;
    if (holder->references > 0) {
        return;
    }
    g_hash_table_remove(this->index, holder);
    this->holders->pdata[number] = NULL;
    g_array_append_val(this->free_numbers, number);
    free_holder(holder);
}

Str
ClaimHolders_Host(const ClaimHolders *this, uint32_t number)
{
    const Holder *holder = this->holders->pdata[number];

    return Str_FromString(holder->host);
}

uint64_t
ClaimHolders_Incarnation(const ClaimHolders *this, uint32_t number)
{
    const Holder *holder = this->holders->pdata[number];

    return holder->incarnation;
}

size_t
ClaimHolders_Bytes(const ClaimHolders *this)
{
    size_t live = g_hash_table_size(this->index);

    return this->holders->len * sizeof(void *) +
           live * (sizeof(Holder) + sizeof(GString) + HOLDER_OVERHEAD_BYTES);
}
