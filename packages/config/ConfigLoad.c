/*
 * Loads snapshots in the text format described in ConfigStore.c. The input is
 * untrusted: it may come from a peer, or from anyone who can append to the
 * snapshots stream. Everything in it is verified.
 */
#include <openssl/sha.h>
#include <string.h>

#include "SnapshotCheck.h"

#define HEX_DIGEST_LENGTH (2 * SHA256_DIGEST_LENGTH)

/* Loads a snapshot into an empty state. */
typedef struct Loader_ {
    ConfigState *state;
    GHashTable *operators; /* name to OperatorVersion, as of last_offset */
    GHashTable *verified;  /* offset to ConfigSource, verified before */
    uint64_t last_offset;  /* of the last record read */
    bool has_records;
} Loader;

/* An operator object and the record that defines it. */
typedef struct OperatorVersion_ {
    ConfigSource *source;
    const ConfigObject *object;
} OperatorVersion;

static void
free_operator_version(gpointer item)
{
    ConfigSource_Unref(((OperatorVersion *)item)->source);
    g_free(item);
}

static bool
read_number(Str *rest, const char *word, uint64_t *value)
{
    Str line;
    Str key;

    return Str_Split(rest, '\n', &line) && Str_Split(&line, ' ', &key) &&
           Str_Equal(key, Str_FromC(word)) && Str_ParseU64(line, value) == 0;
}

static bool
read_hex(Str text, uint8_t *bytes, size_t length)
{
    if (text.length != 2 * length) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        int high = g_ascii_xdigit_value(text.data[2 * i]);
        int low = g_ascii_xdigit_value(text.data[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        bytes[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

static bool
may_change_all(const Loader *loader, const ConfigObject *author,
               const ConfigDocument *document)
{
    size_t count;
    const ConfigObject *objects = ConfigDocument_Objects(document, &count);

    for (size_t i = 0; i < count; i++) {
        if (!ConfigRule_MayChange(loader->state, author,
                                  ConfigObject_OwningLine(&objects[i]))) {
            return false;
        }
    }
    return true;
}

static void
update_operators(Loader *loader, ConfigSource *source)
{
    size_t count;
    const ConfigObject *objects =
        ConfigDocument_Objects(source->document, &count);
    const ConfigDeletion *deletions;

    for (size_t i = 0; i < count; i++) {
        OperatorVersion *operator_version;

        if (objects[i].kind != CONFIG_OPERATOR) {
            continue;
        }
        operator_version = g_new0(OperatorVersion, 1);
        operator_version->source = ConfigSource_Ref(source);
        operator_version->object = &objects[i];
        g_hash_table_replace(
            loader->operators,
            g_strndup(objects[i].name.data, objects[i].name.length),
            operator_version);
    }
    deletions = ConfigDocument_Deletions(source->document, &count);
    for (size_t i = 0; i < count; i++) {
        char *name =
            g_strndup(deletions[i].name.data, deletions[i].name.length);

        if (deletions[i].kind == CONFIG_OPERATOR) {
            g_hash_table_remove(loader->operators, name);
        }
        g_free(name);
    }
}

static ConfigSource *
find_verified(const Loader *loader, uint64_t offset, Str record)
{
    ConfigSource *source = g_hash_table_lookup(loader->verified, &offset);

    if (source == NULL || !Str_Equal(record, Str_FromString(source->record))) {
        return NULL;
    }
    return ConfigSource_Ref(source);
}

/* Verifies the signature of a record and the rights of its author. */
static ConfigSource *
verify_record(Loader *loader, uint64_t offset, Str record, Error *error)
{
    Publication *publication = Publication_Parse(record, error);
    Diagnostics *diagnostics = Diagnostics_Create(STR(""));
    const ConfigObject *author = NULL;
    ConfigDocument *document = NULL;
    ConfigSource *source = NULL;
    const OperatorVersion *operator_version = NULL;

    if (publication != NULL) {
        document = ConfigDocument_Parse(Str_FromString(publication->document),
                                        diagnostics);
    }
    if (document != NULL) {
        operator_version =
            g_hash_table_lookup(loader->operators, publication->author);
        author = operator_version != NULL ? operator_version->object : NULL;
        if (!loader->has_records) {
            author =
                ConfigRule_FindBootstrap(loader->state, publication, document);
        }
    }
    if (author != NULL && publication->base <= offset &&
        Publication_Verify(publication, &author->operator_.public_key) &&
        may_change_all(loader, author, document)) {
        source = ConfigSource_Create(
            offset, publication->author, record, document,
            operator_version ? operator_version->source : NULL);
        update_operators(loader, source);
    }
    else {
        ConfigDocument_Destroy(document);
        Error_Set(error, ERR_DENIED, "snapshot-load", STR(""),
                  "record %llu is not signed by an operator with rights on "
                  "all its objects",
                  (unsigned long long)offset);
    }
    Diagnostics_Destroy(diagnostics);
    Publication_Destroy(publication);
    return source;
}

static bool
read_change(Str item, const ConfigSource *source, ConfigChange *change,
            ConfigState *state)
{
    size_t objects;
    size_t deletions;
    const ConfigObject *object =
        ConfigDocument_Objects(source->document, &objects);
    const ConfigDeletion *deletion =
        ConfigDocument_Deletions(source->document, &deletions);
    bool live = item.length > 0 && item.data[0] == 'o';
    uint64_t index;
    Str number;
    Str owner = {NULL, 0};

    if (item.length < 2 || (!live && item.data[0] != 'd')) {
        return false;
    }
    owner = (Str){item.data + 1, item.length - 1};
    if (!Str_Split(&owner, ':', &number) ||
        Str_ParseU64(number, &index) != 0 ||
        index >= (live ? objects : deletions)) {
        return false;
    }
    if (live) {
        change->entry = ConfigTable_FindOrAdd(state->table, object[index].kind,
                                              object[index].name);
        change->object = &object[index];
        return true;
    }
    if (!Str_Equal(owner, STR("-")) && !Fields_IsName(owner)) {
        return false;
    }
    change->entry = ConfigTable_FindOrAdd(state->table, deletion[index].kind,
                                          deletion[index].name);
    change->owner = Str_Equal(owner, STR("-"))
                        ? g_strdup("")
                        : g_strndup(owner.data, owner.length);
    return true;
}

static bool
load_item(Loader *loader, Str item, ConfigSource *source)
{
    ConfigState *state = loader->state;
    ConfigChange change = {0};
    const ConfigEntry *duplicate;

    if (!read_change(item, source, &change, state)) {
        return false;
    }
    if (change.entry->source != NULL) {
        g_free(change.owner);
        return false;
    }
    change.source = ConfigSource_Ref(source);
    duplicate = ConfigTable_Swap(state->table, &change, 1);
    if (change.entry->object == NULL) {
        g_queue_push_tail(state->tombstones, change.entry);
    }
    return duplicate == NULL;
}

static int
read_record(Loader *loader, Str line, Str *rest, Error *error)
{
    uint64_t offset = 0;
    uint64_t length = 0;
    ConfigSource *source;
    int code = 0;
    Str field;

    if (!Str_Split(&line, ' ', &field) || Str_ParseU64(field, &offset) ||
        !Str_Split(&line, ' ', &field) || Str_ParseU64(field, &length) ||
        length >= rest->length || rest->data[length] != '\n' ||
        (loader->has_records && offset <= loader->last_offset) ||
        offset >= loader->state->offset) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "malformed record line");
    }
    source = find_verified(loader, offset, (Str){rest->data, length});
    if (source != NULL) {
        update_operators(loader, source);
    }
    else {
        source =
            verify_record(loader, offset, (Str){rest->data, length}, error);
    }
    *rest = (Str){rest->data + length + 1, rest->length - length - 1};
    if (source == NULL) {
        return ERR_DENIED;
    }
    while (code == 0 && Str_Split(&line, ' ', &field)) {
        if (!load_item(loader, field, source)) {
            code = Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                             "malformed or duplicate item of record %llu",
                             (unsigned long long)offset);
        }
    }
    ConfigSource_Unref(source);
    loader->last_offset = offset;
    loader->has_records = true;
    return code;
}

static bool
read_verdict(ConfigHistory *history, Str item)
{
    uint64_t offset;
    uint64_t outcome;
    Str id;
    Str number;

    if (!Str_Split(&item, ':', &id) || !Fields_IsName(id) ||
        !Str_Split(&item, ':', &number) || Str_ParseU64(number, &offset) ||
        Str_ParseU64(item, &outcome) || outcome >= CONFIG_OUTCOME_COUNT) {
        return false;
    }
    ConfigHistory_Add(history, id, offset, (ConfigOutcome)outcome, STR(""));
    return true;
}

static int
read_history(Loader *loader, Str line, Error *error)
{
    ConfigState *state = loader->state;
    ConfigHistory *history;
    uint64_t min_base = 0;
    Str author;
    Str field;

    if (!Str_Split(&line, ' ', &author) ||
        ConfigState_Find(state, CONFIG_OPERATOR, author) == NULL ||
        !Str_Split(&line, ' ', &field) || Str_ParseU64(field, &min_base) ||
        min_base > state->offset) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "malformed history line or unknown operator");
    }
    history = ConfigHistory_Create(state->options.history_max, min_base);
    g_hash_table_replace(state->histories,
                         g_strndup(author.data, author.length), history);
    while (Str_Split(&line, ' ', &field)) {
        if (!read_verdict(history, field)) {
            return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                             "malformed history item");
        }
    }
    return 0;
}

static int
check_digest(Str *text, Error *error)
{
    uint8_t expected[SHA256_DIGEST_LENGTH];
    uint8_t digest[SHA256_DIGEST_LENGTH];
    size_t digest_line_length = strlen("sha256 ") + HEX_DIGEST_LENGTH + 1;

    if (text->length <= digest_line_length) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "snapshot is too short for its digest line");
    }
    text->length -= digest_line_length;
    SHA256((const unsigned char *)text->data, text->length, digest);
    if (memcmp(text->data + text->length, "sha256 ", 7) != 0 ||
        !read_hex((Str){text->data + text->length + 7, HEX_DIGEST_LENGTH},
                  expected, sizeof(expected)) ||
        memcmp(expected, digest, sizeof(digest)) != 0) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "SHA-256 digest does not match the content");
    }
    return 0;
}

static int
read_header(Loader *loader, Str *rest, Error *error)
{
    ConfigState *state = loader->state;
    Str line = {NULL, 0};
    Str word;

    if (!Str_Split(rest, '\n', &line) ||
        !Str_Equal(line, STR("agatecrank-snapshot 1")) ||
        !read_number(rest, "offset", &state->offset) ||
        !read_number(rest, "accepted", &state->accepted) ||
        !Str_Split(rest, '\n', &line) || !Str_Split(&line, ' ', &word) ||
        !Str_Equal(word, STR("digest")) ||
        !read_hex(line, state->digest, CONFIG_DIGEST_BYTES) ||
        !read_number(rest, "floor", &state->tombstone_floor) ||
        state->accepted > state->offset ||
        state->tombstone_floor > state->offset) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "malformed snapshot header");
    }
    return 0;
}

static int
read_body(Loader *loader, Str rest, Error *error)
{
    int code = 0;
    Str line;
    Str word;

    while (code == 0 && Str_Split(&rest, '\n', &line)) {
        if (Str_Equal(line, STR("end"))) {
            return rest.length == 0 ? 0 : ERR_PARSE;
        }
        if (!Str_Split(&line, ' ', &word)) {
            break;
        }
        if (Str_Equal(word, STR("record"))) {
            code = read_record(loader, line, &rest, error);
        }
        else if (Str_Equal(word, STR("history"))) {
            code = read_history(loader, line, error);
        }
        else {
            break;
        }
    }
    return code != 0 ? code
                     : Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                                 "unexpected line, or no end line");
}

/* Checks the invariants of every state that publications can produce. */
static int
check_invariants(const Loader *loader, Error *error)
{
    const ConfigState *state = loader->state;

    if ((state->accepted > 0) != loader->has_records ||
        (loader->has_records && state->accepted <= loader->last_offset)) {
        return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                         "accepted offset does not match the records");
    }
    if (state->accepted > 0 &&
        ConfigTable_GlobalOperatorCount(state->table) == 0) {
        return Error_Set(error, ERR_DENIED, "snapshot-load", STR(""),
                         "snapshot has no operator with lines = [\"*\"]");
    }
    return SnapshotCheck_References(state, error);
}

static int
load(Loader *loader, Str text, Error *error)
{
    int code = check_digest(&text, error);

    if (code == 0) {
        code = read_header(loader, &text, error);
    }
    if (code == 0) {
        code = read_body(loader, text, error);
    }
    return code == 0 ? check_invariants(loader, error) : code;
}

int
ConfigState_SnapshotOffset(Str snapshot, uint64_t *offset)
{
    Str line;

    if (!Str_Split(&snapshot, '\n', &line) ||
        !read_number(&snapshot, "offset", offset)) {
        return ERR_PARSE;
    }
    return 0;
}

static int
load_into_new_state(const ConfigState *this, Str snapshot,
                    ConfigState **loaded, Error *error)
{
    Loader loader = {.state = ConfigState_Create(&this->options)};
    int code;

    loader.verified = SnapshotCheck_VerifiedSources(this);
    loader.operators = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_operator_version);
    code = load(&loader, snapshot, error);
    g_hash_table_destroy(loader.operators);
    g_hash_table_destroy(loader.verified);
    if (code != 0) {
        ConfigState_Destroy(loader.state);
        return code;
    }
    *loaded = loader.state;
    return 0;
}

int
ConfigState_CheckSnapshot(const ConfigState *this, Str snapshot, Error *error)
{
    ConfigState *loaded;
    int code = load_into_new_state(this, snapshot, &loaded, error);

    if (code != 0) {
        return code;
    }
    if (SnapshotCheck_WouldRevert(this, loaded)) {
        code = Error_Set(error, ERR_CONFLICT, "snapshot-check", STR(""),
                         "snapshot lacks changes that this host applied");
    }
    ConfigState_Destroy(loaded);
    return code;
}

int
ConfigState_LoadSnapshot(ConfigState *this, Str snapshot, Error *error)
{
    bool allow_older =
        (this->options.test_faults & CONFIG_FAULT_OLD_SNAPSHOT) != 0;
    ConfigState *loaded;
    int code = load_into_new_state(this, snapshot, &loaded, error);

    if (code != 0) {
        return code;
    }
    if (loaded->offset <= this->offset && !allow_older) {
        code =
            Error_Set(error, ERR_EXPIRED, "snapshot-load", STR(""),
                      "snapshot offset %llu is not greater than offset %llu "
                      "of this host",
                      (unsigned long long)loaded->offset,
                      (unsigned long long)this->offset);
    }
    else if (!allow_older && SnapshotCheck_WouldRevert(this, loaded)) {
        code = Error_Set(error, ERR_CONFLICT, "snapshot-load", STR(""),
                         "snapshot would revert changes of this host");
    }
    if (code != 0) {
        ConfigState_Destroy(loaded);
        return code;
    }
    ConfigState_Replace(this, loaded);
    return 0;
}
