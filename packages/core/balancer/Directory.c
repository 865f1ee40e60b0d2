#include "Directory.h"

#include <glib.h>

struct Directory_ {
    NameTable *services;
    NameTable *domains;
    DirectoryHandler *handler;
    void *user;
    GPtrArray *upstreams; /* by index; NULL for a free index */
    GHashTable *by_id;    /* listed upstreams only */
    GArray *free_indexes;
};

Directory *
Directory_Create(NameTable *services, DirectoryHandler *handler, void *user)
{
    Directory *this = g_new0(Directory, 1);

    this->services = services;
    this->domains = NameTable_Create();
    this->handler = handler;
    this->user = user;
    this->upstreams = g_ptr_array_new();
    this->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    this->free_indexes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    return this;
}

static void
destroy_upstream(DirectoryUpstream *upstream)
{
    Arena_Destroy(upstream->store);
    g_free(upstream);
}

void
Directory_Destroy(Directory *this)
{
    for (guint i = 0; i < this->upstreams->len; i++) {
        if (g_ptr_array_index(this->upstreams, i) != NULL) {
            destroy_upstream(g_ptr_array_index(this->upstreams, i));
        }
    }
    g_ptr_array_free(this->upstreams, TRUE);
    g_hash_table_destroy(this->by_id);
    g_array_free(this->free_indexes, TRUE);
    NameTable_Destroy(this->domains);
    g_free(this);
}

static Labels
copy_labels(Arena *store, const Labels *labels)
{
    Label *items = Arena_Alloc(store, (labels->count + 1) * sizeof(Label));

    for (size_t i = 0; i < labels->count; i++) {
        items[i].key = Arena_CopyStr(store, labels->items[i].key);
        items[i].value = Arena_CopyStr(store, labels->items[i].value);
    }
    return (Labels){items, labels->count};
}

static uint32_t
allocate_index(Directory *this)
{
    uint32_t index;

    if (this->free_indexes->len > 0) {
        index = g_array_index(this->free_indexes, uint32_t,
                              this->free_indexes->len - 1);
        g_array_set_size(this->free_indexes, this->free_indexes->len - 1);
        return index;
    }
    g_ptr_array_add(this->upstreams, NULL);
    return this->upstreams->len - 1;
}

static void
add_upstream(Directory *this, const HostEntry *entry)
{
    DirectoryUpstream *upstream = g_new0(DirectoryUpstream, 1);

    upstream->store = Arena_Create();
    upstream->index = allocate_index(this);
    upstream->id = Arena_CopyStr(upstream->store, entry->id);
    g_snprintf(upstream->address, sizeof(upstream->address), STR_FORMAT,
               STR_ARGS(entry->address));
    upstream->port = entry->port;
    upstream->service = NameTable_Intern(this->services, entry->service);
    upstream->domain = NameTable_Intern(this->domains, entry->domain);
    upstream->domain_name = NameTable_Name(this->domains, upstream->domain);
    upstream->labels = copy_labels(upstream->store, &entry->labels);
    upstream->leaving = entry->leaving;
    upstream->present = true;
    this->upstreams->pdata[upstream->index] = upstream;
    g_hash_table_insert(this->by_id, (gpointer)upstream->id.data, upstream);
    this->handler(this->user, upstream, DIRECTORY_ADDED);
    if (upstream->leaving) {
        this->handler(this->user, upstream, DIRECTORY_LEAVING);
    }
}

static void
free_if_unused(Directory *this, DirectoryUpstream *upstream)
{
    uint32_t index = upstream->index;

    if (upstream->present || upstream->references > 0) {
        return;
    }
    this->upstreams->pdata[index] = NULL;
    g_array_append_val(this->free_indexes, index);
    destroy_upstream(upstream);
}

static void
remove_upstream(Directory *this, DirectoryUpstream *upstream)
{
    g_hash_table_remove(this->by_id, upstream->id.data);
    upstream->present = false;
    this->handler(this->user, upstream, DIRECTORY_REMOVED);
    free_if_unused(this, upstream);
}

static bool
is_unchanged(const Directory *this, const DirectoryUpstream *upstream,
             const HostEntry *entry)
{
    return Str_Equal(Str_FromC(upstream->address), entry->address) &&
           upstream->port == entry->port &&
           Str_Equal(NameTable_Name(this->services, upstream->service),
                     entry->service) &&
           Str_Equal(upstream->domain_name, entry->domain) &&
           Labels_Equal(&upstream->labels, &entry->labels);
}

static void
apply_entry(Directory *this, const HostEntry *entry)
{
    DirectoryUpstream *upstream =
        (DirectoryUpstream *)Directory_Find(this, entry->id);

    if (upstream != NULL && !is_unchanged(this, upstream, entry)) {
        remove_upstream(this, upstream);
        upstream = NULL;
    }
    if (upstream == NULL) {
        add_upstream(this, entry);
        return;
    }
    if (upstream->leaving != entry->leaving) {
        upstream->leaving = entry->leaving;
        this->handler(this->user, upstream,
                      entry->leaving ? DIRECTORY_LEAVING
                                     : DIRECTORY_LEAVING_CANCELLED);
    }
}

static void
remove_missing(Directory *this, GHashTable *listed)
{
    for (guint i = 0; i < this->upstreams->len; i++) {
        DirectoryUpstream *upstream = g_ptr_array_index(this->upstreams, i);

        if (upstream != NULL && upstream->present &&
            !g_hash_table_contains(listed, upstream->id.data)) {
            remove_upstream(this, upstream);
        }
    }
}

void
Directory_Update(Directory *this, const HostEntry *entries, size_t count)
{
    GHashTable *listed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (size_t i = 0; i < count; i++) {
        char *id;

        if (entries[i].role != HOST_UPSTREAM) {
            continue;
        }
        id = g_strndup(entries[i].id.data, entries[i].id.length);
        if (g_hash_table_add(listed, id)) {
            apply_entry(this, &entries[i]);
        }
    }
    remove_missing(this, listed);
    g_hash_table_destroy(listed);
}

const DirectoryUpstream *
Directory_At(const Directory *this, uint32_t index)
{
    if (index >= this->upstreams->len) {
        return NULL;
    }
    return g_ptr_array_index(this->upstreams, index);
}

const DirectoryUpstream *
Directory_Find(const Directory *this, Str id)
{
    char *text = g_strndup(id.data, id.length);
    const DirectoryUpstream *found = g_hash_table_lookup(this->by_id, text);

    g_free(text);
    return found;
}

uint32_t
Directory_IndexLimit(const Directory *this)
{
    return this->upstreams->len;
}

void
Directory_Ref(Directory *this, uint32_t index)
{
    DirectoryUpstream *upstream = g_ptr_array_index(this->upstreams, index);

    upstream->references++;
}

void
Directory_Unref(Directory *this, uint32_t index)
{
    DirectoryUpstream *upstream = g_ptr_array_index(this->upstreams, index);

    upstream->references--;
    free_if_unused(this, upstream);
}
