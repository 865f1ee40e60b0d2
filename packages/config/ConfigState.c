#include "ConfigStatePrivate.h"

#include <string.h>

void
ConfigVerdict_Init(ConfigVerdict *this)
{
    memset(this, 0, sizeof(*this));
    this->text = g_string_new(NULL);
}

void
ConfigVerdict_Clear(ConfigVerdict *this)
{
    g_string_free(this->text, TRUE);
    this->text = NULL;
}

const char *
ConfigVerdict_Name(ConfigOutcome outcome)
{
    static const char *const names[CONFIG_OUTCOME_COUNT] = {
        [CONFIG_ACCEPTED] = "accepted", [CONFIG_DUPLICATE] = "duplicate",
        [CONFIG_STALE] = "stale",       [CONFIG_EXPIRED] = "expired",
        [CONFIG_DENIED] = "denied",     [CONFIG_REFERENCE] = "reference",
        [CONFIG_INVALID] = "invalid",   [CONFIG_FULL] = "full",
        [CONFIG_FORGED] = "forged",     [CONFIG_MALFORMED] = "malformed",
    };

    return outcome < CONFIG_OUTCOME_COUNT ? names[outcome] : "unknown";
}

static void
destroy_history(gpointer history)
{
    ConfigHistory_Destroy(history);
}

static void
create_contents(ConfigState *this)
{
    this->table = ConfigTable_Create();
    this->tombstones = g_queue_new();
    this->histories = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            destroy_history);
}

static void
destroy_contents(ConfigState *this)
{
    g_hash_table_destroy(this->histories);
    g_queue_free(this->tombstones);
    ConfigTable_Destroy(this->table);
}

ConfigState *
ConfigState_Create(const ConfigOptions *options)
{
    ConfigState *this = g_new0(ConfigState, 1);
    const Key32List *keys = &options->bootstrap_keys;

    this->options = *options;
    this->options.bootstrap_keys.items =
        g_memdup2(keys->items, keys->count * sizeof(*keys->items));
    if (options->objects_max == 0) {
        this->options.objects_max = CONFIG_OBJECTS_MAX;
    }
    if (options->line_objects_max == 0) {
        this->options.line_objects_max = CONFIG_LINE_OBJECTS_MAX;
    }
    if (options->author_bytes_max == 0) {
        this->options.author_bytes_max = CONFIG_AUTHOR_BYTES_MAX;
    }
    if (options->tombstones_max == 0) {
        this->options.tombstones_max = CONFIG_TOMBSTONES_MAX;
    }
    if (options->history_max == 0) {
        this->options.history_max = CONFIG_HISTORY_MAX;
    }
    create_contents(this);
    return this;
}

void
ConfigState_Destroy(ConfigState *this)
{
    if (this == NULL) {
        return;
    }
    destroy_contents(this);
    g_free((gpointer)this->options.bootstrap_keys.items);
    g_free(this);
}

static void
clone_kind(ConfigState *copy, GTree *tree)
{
    for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
         node = g_tree_node_next(node)) {
        const ConfigEntry *entry = g_tree_node_value(node);
        ConfigChange change = {
            ConfigTable_FindOrAdd(copy->table, entry->kind, entry->name),
            entry->object, ConfigSource_Ref(entry->source),
            g_strdup(entry->owner)};

        ConfigTable_Swap(copy->table, &change, 1);
    }
}

ConfigState *
ConfigState_Clone(const ConfigState *this)
{
    ConfigState *copy = ConfigState_Create(&this->options);
    GHashTableIter iterator;
    gpointer name;
    gpointer history;

    copy->offset = this->offset;
    copy->accepted = this->accepted;
    copy->tombstone_floor = this->tombstone_floor;
    memcpy(copy->digest, this->digest, sizeof(copy->digest));
    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        clone_kind(copy, ConfigTable_Tree(this->table, kind));
    }
    for (GList *item = this->tombstones->head; item; item = item->next) {
        const ConfigEntry *entry = item->data;

        g_queue_push_tail(
            copy->tombstones,
            ConfigTable_Find(copy->table, entry->kind, entry->name));
    }
    g_hash_table_iter_init(&iterator, this->histories);
    while (g_hash_table_iter_next(&iterator, &name, &history)) {
        g_hash_table_insert(copy->histories, g_strdup(name),
                            ConfigHistory_Clone(history));
    }
    return copy;
}

void
ConfigState_Replace(ConfigState *this, ConfigState *other)
{
    ConfigState old = *this;

    this->offset = other->offset;
    this->accepted = other->accepted;
    this->tombstone_floor = other->tombstone_floor;
    memcpy(this->digest, other->digest, sizeof(this->digest));
    this->table = other->table;
    this->tombstones = other->tombstones;
    this->histories = other->histories;
    other->table = old.table;
    other->tombstones = old.tombstones;
    other->histories = old.histories;
    ConfigState_Destroy(other);
}

uint64_t
ConfigState_Offset(const ConfigState *this)
{
    return this->offset;
}

const uint8_t *
ConfigState_Digest(const ConfigState *this)
{
    return this->digest;
}

uint64_t
ConfigState_AcceptedOffset(const ConfigState *this)
{
    return this->accepted;
}

const ConfigObject *
ConfigState_Find(const ConfigState *this, ConfigKind kind, Str name)
{
    const ConfigEntry *entry = ConfigTable_Find(this->table, kind, name);

    return entry != NULL ? entry->object : NULL;
}

const ConfigService *
ConfigState_FindService(const ConfigState *this, Str name)
{
    const ConfigObject *object = ConfigState_Find(this, CONFIG_SERVICE, name);

    return object != NULL ? &object->service : NULL;
}

uint64_t
ConfigState_ChangeOffset(const ConfigState *this, ConfigKind kind, Str name)
{
    const ConfigEntry *entry = ConfigTable_Find(this->table, kind, name);

    if (entry == NULL || entry->source == NULL) {
        return this->tombstone_floor;
    }
    return entry->source->offset + 1;
}

size_t
ConfigState_Count(const ConfigState *this, ConfigKind kind)
{
    return ConfigTable_LiveCount(this->table, kind);
}

const ConfigObject *
ConfigState_Next(const ConfigState *this, ConfigKind kind,
                 ConfigCursor *cursor)
{
    GTreeNode *node = cursor->next;

    if (!cursor->started) {
        node = g_tree_node_first(ConfigTable_Tree(this->table, kind));
        cursor->started = true;
    }
    while (node != NULL) {
        const ConfigEntry *entry = g_tree_node_value(node);

        node = g_tree_node_next(node);
        if (entry->object != NULL) {
            cursor->next = node;
            return entry->object;
        }
    }
    cursor->next = NULL;
    return NULL;
}

int
ConfigState_Select(const ConfigState *this, const ConfigObject *caller,
                   Str service, CallerGrant *grant)
{
    const GPtrArray *selectors =
        ConfigTable_Selectors(this->table, caller->caller.line, service);

    memset(grant, 0, sizeof(*grant));
    grant->caller = caller;
    grant->line = ConfigState_Find(this, CONFIG_LINE, caller->caller.line);
    grant->service = ConfigState_Find(this, CONFIG_SERVICE, service);
    if (grant->service == NULL) {
        return ERR_NOT_FOUND;
    }
    for (guint i = 0; selectors != NULL && i < selectors->len; i++) {
        const ConfigObject *selector = selectors->pdata[i];

        if (Labels_Match(&selector->selector.callers,
                         &caller->caller.labels)) {
            grant->selector = selector;
            grant->deadline = selector->selector.deadline_ms * MICROS_PER_MS;
            grant->upstreams = selector->selector.upstreams;
            grant->share = selector->selector.share;
            return 0;
        }
    }
    return ERR_DENIED;
}

static int
admit(const ConfigState *this, bool certificate, Str sha256, Str service,
      CallerGrant *grant)
{
    const ConfigEntry *caller =
        ConfigTable_FindCredential(this->table, certificate, sha256);

    if (caller == NULL) {
        memset(grant, 0, sizeof(*grant));
        return ERR_DENIED;
    }
    return ConfigState_Select(this, caller->object, service, grant);
}

int
ConfigState_Admit(const ConfigState *this, Str token_sha256, Str service,
                  CallerGrant *grant)
{
    return admit(this, false, token_sha256, service, grant);
}

int
ConfigState_AdmitCertificate(const ConfigState *this, Str certificate_sha256,
                             Str service, CallerGrant *grant)
{
    return admit(this, true, certificate_sha256, service, grant);
}

static const ConfigHistory *
find_history(const ConfigState *this, Str author)
{
    const ConfigHistory *history;
    char *name;

    if (!Fields_IsName(author)) {
        return NULL;
    }
    name = g_strndup(author.data, author.length);
    history = g_hash_table_lookup(this->histories, name);
    g_free(name);
    return history;
}

static int
fill_verdict(const HistoryItem *item, Str author, ConfigVerdict *verdict)
{
    if (item == NULL) {
        return ERR_NOT_FOUND;
    }
    verdict->outcome = item->outcome;
    verdict->offset = item->offset;
    memcpy(verdict->author, author.data, author.length);
    verdict->author[author.length] = '\0';
    memcpy(verdict->id, item->id, sizeof(verdict->id));
    g_string_assign(verdict->text, item->text ? item->text : "");
    return 0;
}

int
ConfigState_Verdict(const ConfigState *this, Str author, Str id,
                    ConfigVerdict *verdict)
{
    const ConfigHistory *history = find_history(this, author);

    if (history == NULL || !Fields_IsName(id)) {
        return ERR_NOT_FOUND;
    }
    return fill_verdict(ConfigHistory_Find(history, id), author, verdict);
}

int
ConfigState_History(const ConfigState *this, Str author, size_t index,
                    ConfigVerdict *verdict)
{
    const ConfigHistory *history = find_history(this, author);

    if (history == NULL) {
        return ERR_NOT_FOUND;
    }
    return fill_verdict(ConfigHistory_Get(history, index), author, verdict);
}
