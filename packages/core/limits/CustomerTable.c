#include "CustomerTable.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "Arena.h"

#define DIGEST_BYTES 32

typedef struct Digest_ {
    uint8_t bytes[DIGEST_BYTES];
} Digest;

struct CustomerTable_ {
    Arena *arena;
    GHashTable *by_name;   /* Customer by its name */
    GHashTable *by_digest; /* Customer by the Digest of a key */
};

static guint
hash_digest(gconstpointer data)
{
    guint hash;

    memcpy(&hash, data, sizeof(hash));
    return hash;
}

static gboolean
equal_digests(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, DIGEST_BYTES) == 0;
}

static Digest
digest_of(Str key)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize length = DIGEST_BYTES;
    Digest digest;

    g_checksum_update(checksum, (const guchar *)key.data, (gssize)key.length);
    g_checksum_get_digest(checksum, digest.bytes, &length);
    g_checksum_free(checksum);
    return digest;
}

CustomerTable *
CustomerTable_Create(void)
{
    CustomerTable *this = g_new0(CustomerTable, 1);

    this->arena = Arena_Create();
    this->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    this->by_digest = g_hash_table_new(hash_digest, equal_digests);
    return this;
}

void
CustomerTable_Destroy(CustomerTable *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->by_name);
    g_hash_table_destroy(this->by_digest);
    Arena_Destroy(this->arena);
    g_free(this);
}

static bool
is_valid(const Customer *customer)
{
    return customer->name.length > 0 && isfinite(customer->rate_per_s) &&
           customer->rate_per_s >= 0 && isfinite(customer->burst) &&
           customer->burst >= 0;
}

int
CustomerTable_Add(CustomerTable *this, const Customer *customer, Error *error)
{
    Customer *copy;

    if (!is_valid(customer)) {
        return Error_Set(error, ERR_INVALID, "add-customer", customer->name,
                         "a customer needs a name and limits that are "
                         "non-negative numbers");
    }
    if (CustomerTable_ByName(this, customer->name) != NULL) {
        return Error_Set(error, ERR_CONFLICT, "add-customer", customer->name,
                         "there is another customer of this name");
    }
    copy = Arena_Alloc(this->arena, sizeof(*copy));
    *copy = *customer;
    copy->name = Arena_CopyStr(this->arena, customer->name);
    g_hash_table_insert(this->by_name, (gpointer)copy->name.data, copy);
    return 0;
}

int
CustomerTable_AddKey(CustomerTable *this, Str name, Str key, Error *error)
{
    const Customer *customer = CustomerTable_ByName(this, name);
    Digest *digest;

    if (customer == NULL) {
        return Error_Set(error, ERR_NOT_FOUND, "add-key", name,
                         "there is no such customer");
    }
    if (key.length == 0 || key.length > CUSTOMER_KEY_MAX_BYTES) {
        return Error_Set(error, ERR_INVALID, "add-key", name,
                         "a key of the customer is empty or too long");
    }
    digest = Arena_Alloc(this->arena, sizeof(*digest));
    *digest = digest_of(key);
    if (g_hash_table_contains(this->by_digest, digest) &&
        g_hash_table_lookup(this->by_digest, digest) != customer) {
        return Error_Set(error, ERR_CONFLICT, "add-key", name,
                         "another customer has a key of this one");
    }
    g_hash_table_insert(this->by_digest, digest, (gpointer)customer);
    return 0;
}

const Customer *
CustomerTable_ByKey(const CustomerTable *this, Str key)
{
    Digest digest;

    if (key.length == 0 || key.length > CUSTOMER_KEY_MAX_BYTES) {
        return NULL;
    }
    digest = digest_of(key);
    return g_hash_table_lookup(this->by_digest, &digest);
}

const Customer *
CustomerTable_ByName(const CustomerTable *this, Str name)
{
    char *key = g_strndup(name.data, name.length);
    const Customer *found = g_hash_table_lookup(this->by_name, key);

    g_free(key);
    return found;
}

static unsigned
count_keys(const CustomerTable *this, const Customer *customer)
{
    GHashTableIter iter;
    gpointer holder;
    unsigned n = 0;

    g_hash_table_iter_init(&iter, this->by_digest);
    while (g_hash_table_iter_next(&iter, NULL, &holder)) {
        n += holder == customer;
    }
    return n;
}

void
CustomerTable_ForEach(const CustomerTable *this,
                      void (*visit)(void *user, const Customer *customer,
                                    unsigned keys),
                      void *user)
{
    GList *names = g_list_sort(g_hash_table_get_keys(this->by_name),
                               (GCompareFunc)strcmp);

    for (GList *item = names; item != NULL; item = item->next) {
        const Customer *customer =
            g_hash_table_lookup(this->by_name, item->data);

        visit(user, customer, count_keys(this, customer));
    }
    g_list_free(names);
}

bool
CustomerTable_HasSameKeys(const CustomerTable *this,
                          const CustomerTable *other, Str name)
{
    const Customer *own = CustomerTable_ByName(this, name);
    const Customer *others = CustomerTable_ByName(other, name);
    GHashTableIter iter;
    gpointer digest, holder;
    unsigned shared = 0;

    if (own == NULL || others == NULL) {
        return own == others;
    }
    g_hash_table_iter_init(&iter, this->by_digest);
    while (g_hash_table_iter_next(&iter, &digest, &holder)) {
        shared += holder == own &&
                  g_hash_table_lookup(other->by_digest, digest) == others;
    }
    return shared == count_keys(this, own) &&
           shared == count_keys(other, others);
}

size_t
CustomerTable_Count(const CustomerTable *this)
{
    return g_hash_table_size(this->by_name);
}
