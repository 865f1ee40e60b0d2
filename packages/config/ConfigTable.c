#include "ConfigTable.h"

#include <string.h>

#define CREDENTIAL_BYTES 32

struct ConfigTable_ {
    GTree *trees[CONFIG_KIND_COUNT]; /* entry name (Str) to ConfigEntry */
    size_t live[CONFIG_KIND_COUNT];
    size_t global_operators;
    /* Trees, not hash tables: operators choose these keys and could provoke
     * hash collisions. */
    GTree *credentials; /* Credential to ConfigEntry */
    GTree *selectors;   /* "LINE SERVICE" to GPtrArray */
};

typedef struct Credential_ {
    bool certificate;
    uint8_t sha256[CREDENTIAL_BYTES];
} Credential;

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer user)
{
    const Str *left = a;
    const Str *right = b;
    size_t length = MIN(left->length, right->length);
    int order = length > 0 ? memcmp(left->data, right->data, length) : 0;

    if (order != 0) {
        return order;
    }
    return (left->length > right->length) - (left->length < right->length);
}

static gint
compare_credentials(gconstpointer a, gconstpointer b, gpointer user)
{
    const Credential *left = a;
    const Credential *right = b;

    if (left->certificate != right->certificate) {
        return left->certificate ? 1 : -1;
    }
    return memcmp(left->sha256, right->sha256, CREDENTIAL_BYTES);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
    return strcmp(a, b);
}

static void
free_entry(gpointer item)
{
    ConfigEntry *entry = item;

    ConfigSource_Unref(entry->source);
    g_free(entry->owner);
    g_free((char *)entry->name.data);
    g_free(entry);
}

static void
free_selectors(gpointer item)
{
    g_ptr_array_free(item, TRUE);
}

ConfigTable *
ConfigTable_Create(void)
{
    ConfigTable *this = g_new0(ConfigTable, 1);

    for (int i = 0; i < CONFIG_KIND_COUNT; i++) {
        this->trees[i] =
            g_tree_new_full(compare_names, NULL, NULL, free_entry);
    }
    this->credentials =
        g_tree_new_full(compare_credentials, NULL, g_free, NULL);
    this->selectors =
        g_tree_new_full(compare_keys, NULL, g_free, free_selectors);
    return this;
}

void
ConfigTable_Destroy(ConfigTable *this)
{
    g_tree_destroy(this->selectors);
    g_tree_destroy(this->credentials);
    for (int i = 0; i < CONFIG_KIND_COUNT; i++) {
        g_tree_destroy(this->trees[i]);
    }
    g_free(this);
}

ConfigEntry *
ConfigTable_Find(const ConfigTable *this, ConfigKind kind, Str name)
{
    return g_tree_lookup(this->trees[kind], &name);
}

ConfigEntry *
ConfigTable_FindOrAdd(ConfigTable *this, ConfigKind kind, Str name)
{
    ConfigEntry *entry = ConfigTable_Find(this, kind, name);

    if (entry != NULL) {
        return entry;
    }
    entry = g_new0(ConfigEntry, 1);
    entry->kind = kind;
    entry->name = (Str){g_strndup(name.data, name.length), name.length};
    g_tree_insert(this->trees[kind], &entry->name, entry);
    return entry;
}

void
ConfigTable_Prune(ConfigTable *this, ConfigEntry *entry)
{
    if (entry->object == NULL && entry->source == NULL &&
        entry->reference_count == 0) {
        g_tree_remove(this->trees[entry->kind], &entry->name);
    }
}

static void
add_reference(ConfigTable *this, ConfigKind kind, Str name)
{
    ConfigTable_FindOrAdd(this, kind, name)->reference_count++;
}

static void
drop_reference(ConfigTable *this, ConfigKind kind, Str name)
{
    ConfigEntry *entry = ConfigTable_FindOrAdd(this, kind, name);

    entry->reference_count--;
    ConfigTable_Prune(this, entry);
}

static bool
link_credential(ConfigTable *this, ConfigEntry *entry, const Key32 *key,
                bool certificate)
{
    Credential credential = {.certificate = certificate};

    if (!key->is_set) {
        return true;
    }
    memcpy(credential.sha256, key->bytes, CREDENTIAL_BYTES);
    if (g_tree_lookup(this->credentials, &credential) != NULL) {
        return false;
    }
    g_tree_insert(this->credentials,
                  g_memdup2(&credential, sizeof(credential)), entry);
    return true;
}

static void
unlink_credential(ConfigTable *this, const ConfigEntry *entry,
                  const Key32 *key, bool certificate)
{
    Credential credential = {.certificate = certificate};

    memcpy(credential.sha256, key->bytes, CREDENTIAL_BYTES);
    if (key->is_set &&
        g_tree_lookup(this->credentials, &credential) == entry) {
        g_tree_remove(this->credentials, &credential);
    }
}

static char *
selector_key(Str line, Str service)
{
    return g_strdup_printf(STR_FORMAT " " STR_FORMAT, STR_ARGS(line),
                           STR_ARGS(service));
}

/* More caller labels take precedence, then byte order of names. */
static bool
has_precedence(const ConfigObject *a, const ConfigObject *b)
{
    if (a->selector.callers.count != b->selector.callers.count) {
        return a->selector.callers.count > b->selector.callers.count;
    }
    return compare_names(&a->name, &b->name, NULL) < 0;
}

static void
link_selector(ConfigTable *this, const ConfigObject *object)
{
    char *key = selector_key(object->selector.line, object->selector.service);
    GPtrArray *list = g_tree_lookup(this->selectors, key);
    guint index = 0;

    if (list == NULL) {
        list = g_ptr_array_new();
        g_tree_insert(this->selectors, g_strdup(key), list);
    }
    while (index < list->len && has_precedence(list->pdata[index], object)) {
        index++;
    }
    g_ptr_array_insert(list, (gint)index, (gpointer)object);
    g_free(key);
}

static void
unlink_selector(ConfigTable *this, const ConfigObject *object)
{
    char *key = selector_key(object->selector.line, object->selector.service);
    GPtrArray *list = g_tree_lookup(this->selectors, key);

    g_ptr_array_remove(list, (gpointer)object);
    if (list->len == 0) {
        g_tree_remove(this->selectors, key);
    }
    g_free(key);
}

static bool
link_object(ConfigTable *this, ConfigEntry *entry)
{
    const ConfigObject *object = entry->object;
    bool is_token_unique;

    if (object == NULL) {
        return true;
    }
    this->live[object->kind]++;
    switch (object->kind) {
    case CONFIG_CALLER:
        add_reference(this, CONFIG_LINE, object->caller.line);
        is_token_unique =
            link_credential(this, entry, &object->caller.token_sha256, false);
        return link_credential(this, entry, &object->caller.certificate_sha256,
                               true) &&
               is_token_unique;
    case CONFIG_SELECTOR:
        add_reference(this, CONFIG_LINE, object->selector.line);
        add_reference(this, CONFIG_SERVICE, object->selector.service);
        link_selector(this, object);
        return true;
    case CONFIG_OPERATOR:
        this->global_operators += ConfigObject_IsGlobalOperator(object);
        return true;
    default:
        return true;
    }
}

static void
unlink_object(ConfigTable *this, const ConfigEntry *entry)
{
    const ConfigObject *object = entry->object;

    if (object == NULL) {
        return;
    }
    this->live[object->kind]--;
    switch (object->kind) {
    case CONFIG_CALLER:
        drop_reference(this, CONFIG_LINE, object->caller.line);
        unlink_credential(this, entry, &object->caller.token_sha256, false);
        unlink_credential(this, entry, &object->caller.certificate_sha256,
                          true);
        return;
    case CONFIG_SELECTOR:
        drop_reference(this, CONFIG_LINE, object->selector.line);
        drop_reference(this, CONFIG_SERVICE, object->selector.service);
        unlink_selector(this, object);
        return;
    case CONFIG_OPERATOR:
        this->global_operators -= ConfigObject_IsGlobalOperator(object);
        return;
    default:
        return;
    }
}

static void
swap_contents(ConfigChange *change)
{
    ConfigEntry *entry = change->entry;
    ConfigChange old = {entry, entry->object, entry->source, entry->owner};

    entry->object = change->object;
    entry->source = change->source;
    entry->owner = change->owner;
    *change = old;
}

/* Removes all old content from the indexes before it adds any new, so that two
 * callers can exchange their tokens in one publication. */
const ConfigEntry *
ConfigTable_Swap(ConfigTable *this, ConfigChange *changes, size_t count)
{
    const ConfigEntry *duplicate = NULL;

    for (size_t i = 0; i < count; i++) {
        unlink_object(this, changes[i].entry);
    }
    for (size_t i = 0; i < count; i++) {
        swap_contents(&changes[i]);
    }
    for (size_t i = 0; i < count; i++) {
        if (!link_object(this, changes[i].entry) && duplicate == NULL) {
            duplicate = changes[i].entry;
        }
    }
    return duplicate;
}

size_t
ConfigTable_LiveCount(const ConfigTable *this, ConfigKind kind)
{
    return this->live[kind];
}

size_t
ConfigTable_GlobalOperatorCount(const ConfigTable *this)
{
    return this->global_operators;
}

GTree *
ConfigTable_Tree(const ConfigTable *this, ConfigKind kind)
{
    return this->trees[kind];
}

const ConfigEntry *
ConfigTable_FindCredential(const ConfigTable *this, bool certificate,
                           Str sha256)
{
    Credential credential = {.certificate = certificate};

    if (sha256.length != CREDENTIAL_BYTES) {
        return NULL;
    }
    memcpy(credential.sha256, sha256.data, CREDENTIAL_BYTES);
    return g_tree_lookup(this->credentials, &credential);
}

const GPtrArray *
ConfigTable_Selectors(const ConfigTable *this, Str line, Str service)
{
    char key[2 * CONFIG_NAME_MAX + 2];

    if (line.length == 0 || line.length > CONFIG_NAME_MAX ||
        service.length == 0 || service.length > CONFIG_NAME_MAX) {
        return NULL;
    }
    memcpy(key, line.data, line.length);
    key[line.length] = ' ';
    memcpy(key + line.length + 1, service.data, service.length);
    key[line.length + 1 + service.length] = '\0';
    return g_tree_lookup(this->selectors, key);
}
