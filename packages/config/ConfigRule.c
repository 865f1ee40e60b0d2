#include <openssl/sha.h>
#include <string.h>

#include "ConfigTrial.h"

static bool
is_bootstrap_key(const ConfigState *state, const Key32 *key)
{
    const Key32List *keys = &state->options.bootstrap_keys;

    for (size_t i = 0; i < keys->count; i++) {
        if (memcmp(keys->items[i].bytes, key->bytes, sizeof(key->bytes)) ==
            0) {
            return true;
        }
    }
    return false;
}

const ConfigObject *
ConfigRule_FindBootstrap(const ConfigState *state,
                         const Publication *publication,
                         const ConfigDocument *document)
{
    size_t count;
    const ConfigObject *objects = ConfigDocument_Objects(document, &count);

    for (size_t i = 0; i < count; i++) {
        if (ConfigObject_IsGlobalOperator(&objects[i]) &&
            Str_Equal(objects[i].name, Str_FromC(publication->author)) &&
            is_bootstrap_key(state, &objects[i].operator_.public_key)) {
            return &objects[i];
        }
    }
    return NULL;
}

bool
ConfigRule_MayChange(const ConfigState *state, const ConfigObject *author,
                     Str owner)
{
    if (ConfigObject_IsGlobalOperator(author) ||
        ConfigTrial_HasFault(state, CONFIG_FAULT_PERMISSIONS)) {
        return true;
    }
    return owner.length > 0 && StrList_Has(&author->operator_.lines, owner);
}

bool
ConfigRule_FirstMissing(const ConfigState *state, const ConfigObject *object,
                        ConfigKind *kind, Str *name)
{
    Str line = ConfigObject_Owner(object);

    if (object->kind != CONFIG_CALLER && object->kind != CONFIG_SELECTOR) {
        return false;
    }
    *kind = CONFIG_LINE;
    *name = line;
    if (ConfigState_Find(state, CONFIG_LINE, line) == NULL) {
        return true;
    }
    if (object->kind != CONFIG_SELECTOR) {
        return false;
    }
    *kind = CONFIG_SERVICE;
    *name = object->selector.service;
    return ConfigState_Find(state, CONFIG_SERVICE, *name) == NULL;
}

static ConfigChange *
build_changes(const ConfigTrial *trial, ConfigSource *source, size_t *total)
{
    size_t count;
    size_t deleted;
    const ConfigObject *objects =
        ConfigDocument_Objects(trial->document, &count);
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(trial->document, &deleted);
    ConfigChange *changes = g_new0(ConfigChange, count + deleted);

    for (size_t i = 0; i < count; i++) {
        changes[i].entry = ConfigTable_Get(trial->state->table,
                                           objects[i].kind, objects[i].name);
        changes[i].object = &objects[i];
        changes[i].source = ConfigSource_Ref(source);
    }
    for (size_t i = 0; i < deleted; i++) {
        ConfigChange *change = &changes[count + i];
        Str owner;

        change->entry = ConfigTable_Get(trial->state->table, deletions[i].kind,
                                        deletions[i].name);
        owner = ConfigTrial_Owner(change->entry);
        change->owner =
            g_strndup(owner.length ? owner.data : "", owner.length);
        change->source = ConfigSource_Ref(source);
    }
    *total = count + deleted;
    return changes;
}

static void
release_changes(ConfigState *state, ConfigChange *changes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        ConfigSource_Unref(changes[i].source);
        g_free(changes[i].owner);
        ConfigTable_Prune(state->table, changes[i].entry);
    }
    g_free(changes);
}

static void
forget_tombstones(ConfigState *state)
{
    while (g_queue_get_length(state->tombstones) >
           state->options.tombstones_max) {
        ConfigEntry *entry = g_queue_pop_head(state->tombstones);

        state->tombstone_floor =
            MAX(state->tombstone_floor, entry->source->offset + 1);
        ConfigSource_Unref(entry->source);
        entry->source = NULL;
        ConfigTable_Prune(state->table, entry);
    }
}

/* After Swap() the changes hold what the entries held before. */
static void
commit_change(const ConfigTrial *trial, const ConfigChange *change)
{
    ConfigState *state = trial->state;
    const ConfigEntry *entry = change->entry;
    bool was_live = change->object != NULL;
    char *name;

    if (!was_live && change->source != NULL) {
        g_queue_remove(state->tombstones, entry);
    }
    if (entry->object == NULL) {
        g_queue_push_tail(state->tombstones, (gpointer)entry);
    }
    if (entry->kind != CONFIG_OPERATOR ||
        was_live == (entry->object != NULL)) {
        return;
    }
    name = g_strndup(entry->name.data, entry->name.length);
    if (entry->object == NULL) {
        g_hash_table_remove(state->histories, name);
        g_free(name);
        return;
    }
    g_hash_table_insert(
        state->histories, name,
        ConfigHistory_Create(state->options.history_max, trial->offset + 1));
}

static ConfigOutcome
apply_document(ConfigTrial *trial, Str record)
{
    ConfigState *state = trial->state;
    const ConfigEntry *author = ConfigTable_Find(
        state->table, CONFIG_OPERATOR, Str_FromC(trial->publication->author));
    ConfigSource *source = ConfigSource_Create(
        trial->offset, trial->publication->author, record, trial->document,
        author != NULL ? author->source : NULL);
    size_t count;
    ConfigChange *changes = build_changes(trial, source, &count);
    const ConfigEntry *clash = ConfigTable_Swap(state->table, changes, count);
    ConfigOutcome outcome =
        ConfigTrial_CheckResult(trial, changes, count, clash);

    if (outcome != CONFIG_ACCEPTED) {
        ConfigTable_Swap(state->table, changes, count);
    }
    else {
        for (size_t i = 0; i < count; i++) {
            commit_change(trial, &changes[i]);
        }
        state->accepted = trial->offset + 1;
    }
    release_changes(state, changes, count);
    ConfigSource_Unref(source);
    if (outcome == CONFIG_ACCEPTED) {
        forget_tombstones(state);
    }
    return outcome;
}

static ConfigOutcome
judge_document(ConfigTrial *trial, Str record)
{
    ConfigOutcome outcome = ConfigTrial_CheckDocument(trial);

    if (outcome != CONFIG_ACCEPTED) {
        ConfigDocument_Destroy(trial->document);
        return outcome;
    }
    return apply_document(trial, record);
}

static ConfigDocument *
parse_document(const ConfigTrial *trial)
{
    const GString *text = trial->publication->document;
    Faults *faults = Faults_Create(Str_FromC(trial->publication->id));
    ConfigDocument *document =
        ConfigDocument_Parse(Str_FromString(text), faults);

    if (document == NULL) {
        Faults_Write(faults, trial->verdict->text);
    }
    Faults_Destroy(faults);
    return document;
}

static ConfigOutcome
judge_known(ConfigTrial *trial, const ConfigHistory *history, Str record)
{
    const Publication *publication = trial->publication;
    const HistoryItem *item =
        ConfigHistory_Find(history, Str_FromC(publication->id));

    if (item != NULL &&
        !ConfigTrial_HasFault(trial->state, CONFIG_FAULT_DUPLICATE)) {
        return ConfigTrial_Refuse(trial, CONFIG_DUPLICATE,
                                  "first at offset %llu: %s\n",
                                  (unsigned long long)item->offset,
                                  ConfigVerdict_Name(item->outcome));
    }
    if (publication->base > trial->offset) {
        return ConfigTrial_Refuse(
            trial, CONFIG_INVALID,
            "base %llu lies after the publication itself\n",
            (unsigned long long)publication->base);
    }
    if (publication->base < ConfigHistory_MinBase(history) &&
        !ConfigTrial_HasFault(trial->state, CONFIG_FAULT_DUPLICATE)) {
        return ConfigTrial_Refuse(
            trial, CONFIG_EXPIRED,
            "base %llu is older than what is remembered of %s "
            "(from %llu); publish again from the present state\n",
            (unsigned long long)publication->base, publication->author,
            (unsigned long long)ConfigHistory_MinBase(history));
    }
    trial->document = parse_document(trial);
    if (trial->document == NULL) {
        return CONFIG_INVALID;
    }
    return judge_document(trial, record);
}

static bool
is_signed(const ConfigTrial *trial)
{
    return !trial->signature ||
           ConfigTrial_HasFault(trial->state, CONFIG_FAULT_SIGNATURE) ||
           Publication_Verify(trial->publication,
                              &trial->author->operator_.public_key);
}

/* On an empty log an operator may name itself, with a bootstrap key. */
static ConfigOutcome
judge_first(ConfigTrial *trial, Str record)
{
    trial->document = parse_document(trial);
    if (trial->document != NULL) {
        trial->author = ConfigRule_FindBootstrap(
            trial->state, trial->publication, trial->document);
    }
    if (trial->author == NULL || !is_signed(trial)) {
        ConfigDocument_Destroy(trial->document);
        return ConfigTrial_Refuse(
            trial, CONFIG_FORGED,
            "the first publication must be signed by a bootstrap "
            "key and name its operator with lines = [\"*\"]\n");
    }
    return judge_document(trial, record);
}

static ConfigOutcome
judge(ConfigTrial *trial, Str record)
{
    ConfigState *state = trial->state;
    const Publication *publication = trial->publication;

    if (state->accepted == 0) {
        return judge_first(trial, record);
    }
    trial->author = ConfigState_Find(state, CONFIG_OPERATOR,
                                     Str_FromC(publication->author));
    if (trial->author == NULL) {
        return ConfigTrial_Refuse(trial, CONFIG_FORGED, "no operator %s\n",
                                  publication->author);
    }
    if (!is_signed(trial)) {
        return ConfigTrial_Refuse(trial, CONFIG_FORGED, "wrong signature\n");
    }
    return judge_known(
        trial, g_hash_table_lookup(state->histories, publication->author),
        record);
}

static void
remember(ConfigState *state, const ConfigVerdict *verdict)
{
    ConfigHistory *history =
        g_hash_table_lookup(state->histories, verdict->author);
    Str text = Str_FromString(verdict->text);

    if (history == NULL || verdict->outcome == CONFIG_DUPLICATE ||
        verdict->outcome == CONFIG_FORGED) {
        return;
    }
    ConfigHistory_Add(history, Str_FromC(verdict->id), verdict->offset,
                      verdict->outcome, text);
}

static int
outcome_code(ConfigOutcome outcome)
{
    switch (outcome) {
    case CONFIG_ACCEPTED:
    case CONFIG_DUPLICATE:
        return 0;
    case CONFIG_STALE:
    case CONFIG_EXPIRED:
        return ERR_CONFLICT;
    case CONFIG_DENIED:
    case CONFIG_FORGED:
        return ERR_DENIED;
    case CONFIG_FULL:
        return ERR_LIMIT;
    case CONFIG_MALFORMED:
        return ERR_PARSE;
    default:
        return ERR_INVALID;
    }
}

static void
judge_record(ConfigState *this, const Publication *publication, Str record,
             bool signature, ConfigVerdict *verdict)
{
    ConfigTrial trial = {.state = this, .offset = this->offset};

    trial.signature = signature;
    trial.publication = publication;
    trial.verdict = verdict;
    memcpy(verdict->author, publication->author, sizeof(verdict->author));
    memcpy(verdict->id, publication->id, sizeof(verdict->id));
    verdict->outcome = judge(&trial, record);
    remember(this, verdict);
}

/* Chain over all records: two hosts with the same offset and digest have
 * read the same log. */
static void
extend_digest(ConfigState *this, Str record)
{
    uint8_t bytes[CONFIG_DIGEST_BYTES + SHA256_DIGEST_LENGTH];

    memcpy(bytes, this->digest, CONFIG_DIGEST_BYTES);
    SHA256((const unsigned char *)(record.length ? record.data : ""),
           record.length, bytes + CONFIG_DIGEST_BYTES);
    SHA256(bytes, sizeof(bytes), this->digest);
}

static int
report(const ConfigVerdict *verdict, Error *error)
{
    int code = outcome_code(verdict->outcome);
    size_t line = strcspn(verdict->text->str, "\n");

    if (code == 0) {
        return 0;
    }
    return Error_Set(error, code, "config-apply", Str_FromC(verdict->author),
                     "%s: %.*s", ConfigVerdict_Name(verdict->outcome),
                     (int)line, verdict->text->str);
}

static int
apply_record(ConfigState *this, Str record, ConfigVerdict *verdict,
             Error *error)
{
    Publication *publication = Publication_Parse(record, error);

    verdict->offset = this->offset;
    verdict->author[0] = '\0';
    verdict->id[0] = '\0';
    g_string_truncate(verdict->text, 0);
    if (publication == NULL) {
        verdict->outcome = CONFIG_MALFORMED;
    }
    else {
        judge_record(this, publication, record, true, verdict);
    }
    Publication_Destroy(publication);
    extend_digest(this, record);
    this->offset++;
    return report(verdict, error);
}

int
ConfigState_Apply(ConfigState *this, uint64_t offset, Str record,
                  ConfigVerdict *verdict, Error *error)
{
    ConfigVerdict own;
    int code;

    if (offset < this->offset) {
        return Error_Set(error, ERR_EXPIRED, "config-apply", STR(""),
                         "offset %llu was applied already",
                         (unsigned long long)offset);
    }
    if (offset > this->offset) {
        return Error_Set(error, ERR_NOT_FOUND, "config-apply", STR(""),
                         "records %llu to %llu are missing",
                         (unsigned long long)this->offset,
                         (unsigned long long)offset - 1);
    }
    if (verdict != NULL) {
        return apply_record(this, record, verdict, error);
    }
    ConfigVerdict_Init(&own);
    code = apply_record(this, record, &own, error);
    ConfigVerdict_Clear(&own);
    return code;
}

ConfigState *
ConfigState_Preview(const ConfigState *this, const Publication *publication,
                    ConfigVerdict *verdict, Error *error)
{
    ConfigState *copy = ConfigState_Clone(this);
    GString *record = g_string_new(NULL);

    g_string_truncate(verdict->text, 0);
    verdict->offset = this->offset;
    Publication_Write(publication, record);
    judge_record(copy, publication, Str_FromString(record), false, verdict);
    g_string_free(record, TRUE);
    if (report(verdict, error) != 0) {
        ConfigState_Destroy(copy);
        return NULL;
    }
    return copy;
}
