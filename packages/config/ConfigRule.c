/*
 * Applies publications. A record of the config stream takes effect as a whole
 * or not at all. Every host reaches the same verdict on it, because the
 * verdict depends only on the record, the state and options that all hosts
 * share.
 */
#include <openssl/sha.h>
#include <string.h>

#include "ConfigValidation.h"

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
        ConfigValidation_HasTestFault(state, CONFIG_FAULT_PERMISSIONS)) {
        return true;
    }
    return owner.length > 0 &&
           StrList_Contains(&author->operator_.lines, owner);
}

bool
ConfigRule_FirstMissing(const ConfigState *state, const ConfigObject *object,
                        ConfigKind *kind, Str *name)
{
    Str line = ConfigObject_OwningLine(object);

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
build_changes(const ConfigValidation *validation, ConfigSource *source,
              size_t *total)
{
    size_t count;
    size_t deleted;
    const ConfigObject *objects =
        ConfigDocument_Objects(validation->document, &count);
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(validation->document, &deleted);
    ConfigChange *changes = g_new0(ConfigChange, count + deleted);

    for (size_t i = 0; i < count; i++) {
        changes[i].entry = ConfigTable_FindOrAdd(
            validation->state->table, objects[i].kind, objects[i].name);
        changes[i].object = &objects[i];
        changes[i].source = ConfigSource_Ref(source);
    }
    for (size_t i = 0; i < deleted; i++) {
        ConfigChange *change = &changes[count + i];
        Str owner;

        change->entry = ConfigTable_FindOrAdd(
            validation->state->table, deletions[i].kind, deletions[i].name);
        owner = ConfigValidation_OwningLine(change->entry);
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
evict_tombstones(ConfigState *state)
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

/*
 * Updates tombstones and histories. After ConfigTable_Swap() the change holds
 * the previous content of the entry.
 */
static void
commit_change(const ConfigValidation *validation, const ConfigChange *change)
{
    ConfigState *state = validation->state;
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
    g_hash_table_insert(state->histories, name,
                        ConfigHistory_Create(state->options.history_max,
                                             validation->offset + 1));
}

static ConfigOutcome
apply_document(ConfigValidation *validation, Str record)
{
    ConfigState *state = validation->state;
    const ConfigEntry *author =
        ConfigTable_Find(state->table, CONFIG_OPERATOR,
                         Str_FromC(validation->publication->author));
    ConfigSource *source = ConfigSource_Create(
        validation->offset, validation->publication->author, record,
        validation->document, author != NULL ? author->source : NULL);
    size_t count;
    ConfigChange *changes = build_changes(validation, source, &count);
    const ConfigEntry *duplicate =
        ConfigTable_Swap(state->table, changes, count);
    ConfigOutcome outcome =
        ConfigValidation_CheckResult(validation, changes, count, duplicate);

    if (outcome != CONFIG_ACCEPTED) {
        ConfigTable_Swap(state->table, changes, count);
    }
    else {
        for (size_t i = 0; i < count; i++) {
            commit_change(validation, &changes[i]);
        }
        state->accepted = validation->offset + 1;
    }
    release_changes(state, changes, count);
    ConfigSource_Unref(source);
    if (outcome == CONFIG_ACCEPTED) {
        evict_tombstones(state);
    }
    return outcome;
}

static ConfigOutcome
validate_and_apply(ConfigValidation *validation, Str record)
{
    ConfigOutcome outcome = ConfigValidation_CheckDocument(validation);

    if (outcome != CONFIG_ACCEPTED) {
        ConfigDocument_Destroy(validation->document);
        return outcome;
    }
    return apply_document(validation, record);
}

static ConfigDocument *
parse_document(const ConfigValidation *validation)
{
    const GString *text = validation->publication->document;
    Diagnostics *diagnostics =
        Diagnostics_Create(Str_FromC(validation->publication->id));
    ConfigDocument *document =
        ConfigDocument_Parse(Str_FromString(text), diagnostics);

    if (document == NULL) {
        Diagnostics_Write(diagnostics, validation->verdict->text);
    }
    Diagnostics_Destroy(diagnostics);
    return document;
}

static ConfigOutcome
validate_from_operator(ConfigValidation *validation,
                       const ConfigHistory *history, Str record)
{
    const Publication *publication = validation->publication;
    const HistoryItem *item =
        ConfigHistory_Find(history, Str_FromC(publication->id));

    if (item != NULL && !ConfigValidation_HasTestFault(
                            validation->state, CONFIG_FAULT_DUPLICATE)) {
        return ConfigValidation_Reject(validation, CONFIG_DUPLICATE,
                                       "this id was used at offset %llu: %s\n",
                                       (unsigned long long)item->offset,
                                       ConfigVerdict_Name(item->outcome));
    }
    if (publication->base > validation->offset) {
        return ConfigValidation_Reject(
            validation, CONFIG_INVALID,
            "base %llu is beyond the offset of the publication\n",
            (unsigned long long)publication->base);
    }
    if (publication->base < ConfigHistory_MinBase(history) &&
        !ConfigValidation_HasTestFault(validation->state,
                                       CONFIG_FAULT_DUPLICATE)) {
        return ConfigValidation_Reject(
            validation, CONFIG_EXPIRED,
            "base %llu is older than the history kept of %s "
            "(from %llu); publish again from the current state\n",
            (unsigned long long)publication->base, publication->author,
            (unsigned long long)ConfigHistory_MinBase(history));
    }
    validation->document = parse_document(validation);
    if (validation->document == NULL) {
        return CONFIG_INVALID;
    }
    return validate_and_apply(validation, record);
}

static bool
is_signature_valid(const ConfigValidation *validation)
{
    return !validation->check_signature ||
           ConfigValidation_HasTestFault(validation->state,
                                         CONFIG_FAULT_SIGNATURE) ||
           Publication_Verify(validation->publication,
                              &validation->author->operator_.public_key);
}

/* The first publication defines its own author, whose key must be a bootstrap
 * key. */
static ConfigOutcome
validate_first(ConfigValidation *validation, Str record)
{
    validation->document = parse_document(validation);
    if (validation->document != NULL) {
        validation->author = ConfigRule_FindBootstrap(
            validation->state, validation->publication, validation->document);
    }
    if (validation->author == NULL || !is_signature_valid(validation)) {
        ConfigDocument_Destroy(validation->document);
        return ConfigValidation_Reject(
            validation, CONFIG_FORGED,
            "the first publication must be signed with a bootstrap key "
            "and define its author with lines = [\"*\"]\n");
    }
    return validate_and_apply(validation, record);
}

static ConfigOutcome
validate(ConfigValidation *validation, Str record)
{
    ConfigState *state = validation->state;
    const Publication *publication = validation->publication;

    if (state->accepted == 0) {
        return validate_first(validation, record);
    }
    validation->author = ConfigState_Find(state, CONFIG_OPERATOR,
                                          Str_FromC(publication->author));
    if (validation->author == NULL) {
        return ConfigValidation_Reject(validation, CONFIG_FORGED,
                                       "unknown operator %s\n",
                                       publication->author);
    }
    if (!is_signature_valid(validation)) {
        return ConfigValidation_Reject(validation, CONFIG_FORGED,
                                       "wrong signature\n");
    }
    return validate_from_operator(
        validation, g_hash_table_lookup(state->histories, publication->author),
        record);
}

static void
add_to_history(ConfigState *state, const ConfigVerdict *verdict)
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
error_code(ConfigOutcome outcome)
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
process_publication(ConfigState *this, const Publication *publication,
                    Str record, bool check_signature, ConfigVerdict *verdict)
{
    ConfigValidation validation = {.state = this, .offset = this->offset};

    validation.check_signature = check_signature;
    validation.publication = publication;
    validation.verdict = verdict;
    memcpy(verdict->author, publication->author, sizeof(verdict->author));
    memcpy(verdict->id, publication->id, sizeof(verdict->id));
    verdict->outcome = validate(&validation, record);
    add_to_history(this, verdict);
}

/*
 * Hash chain over all records: two hosts with the same offset and digest have
 * read the same log.
 */
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
set_error(const ConfigVerdict *verdict, Error *error)
{
    int code = error_code(verdict->outcome);
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
        process_publication(this, publication, record, true, verdict);
    }
    Publication_Destroy(publication);
    extend_digest(this, record);
    this->offset++;
    return set_error(verdict, error);
}

int
ConfigState_Apply(ConfigState *this, uint64_t offset, Str record,
                  ConfigVerdict *verdict, Error *error)
{
    ConfigVerdict local;
    int code;

    if (offset < this->offset) {
        return Error_Set(error, ERR_EXPIRED, "config-apply", STR(""),
                         "record at offset %llu is already applied",
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
    ConfigVerdict_Init(&local);
    code = apply_record(this, record, &local, error);
    ConfigVerdict_Clear(&local);
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
    process_publication(copy, publication, Str_FromString(record), false,
                        verdict);
    g_string_free(record, TRUE);
    if (set_error(verdict, error) != 0) {
        ConfigState_Destroy(copy);
        return NULL;
    }
    return copy;
}
