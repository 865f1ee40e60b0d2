#include "ConfigDocument.h"

#include <stdio.h>
#include <string.h>

struct ConfigDocument_ {
    TextStore *store;
    ConfigObject *objects;
    size_t count;
    ConfigDeletion *deletions;
    size_t deleted;
};

static void
read_object(ConfigDocument *this, ConfigKind kind, const TomlNode *node,
            Faults *faults)
{
    char prefix[CONFIG_NAME_MAX + 16];
    ConfigObject *object;

    if (!Fields_IsName(node->key)) {
        Faults_Add(faults, node->line, node->column, node->key,
                   "bad name; use 1 to 64 of A-Z a-z 0-9 . _ -");
        return;
    }
    object = &this->objects[this->count++];
    ConfigObject_Init(object, kind, TextStore_Copy(this->store, node->key));
    object->line = node->line;
    snprintf(prefix, sizeof(prefix), "%s." STR_FORMAT,
             ConfigObject_KindName(kind), STR_ARGS(node->key));
    Fields_Read(ConfigObject_Fields(kind), node, Str_FromC(prefix), object,
                this->store, faults);
    if (kind == CONFIG_CALLER && !object->caller.token_sha256.given &&
        !object->caller.certificate_sha256.given) {
        Faults_Add(faults, node->line, node->column, Str_FromC(prefix),
                   "has neither token_sha256 nor certificate_sha256");
    }
}

static void
read_kind(ConfigDocument *this, ConfigKind kind, const TomlNode *table,
          Faults *faults)
{
    if (table->type != TOML_TABLE) {
        Faults_Add(faults, table->line, table->column, table->key,
                   "expected tables such as [%s.NAME]",
                   ConfigObject_KindName(kind));
        return;
    }
    for (size_t i = 0; i < table->count; i++) {
        read_object(this, kind, &table->children[i], faults);
    }
}

static bool
is_changed(const ConfigDocument *this, ConfigKind kind, Str name)
{
    for (size_t i = 0; i < this->count; i++) {
        if (this->objects[i].kind == kind &&
            Str_Equal(this->objects[i].name, name)) {
            return true;
        }
    }
    for (size_t i = 0; i < this->deleted; i++) {
        if (this->deletions[i].kind == kind &&
            Str_Equal(this->deletions[i].name, name)) {
            return true;
        }
    }
    return false;
}

static void
read_deletion(ConfigDocument *this, const TomlNode *item, Faults *faults)
{
    Str name = item->text;
    ConfigKind kind = CONFIG_KINDS;
    Str word;

    if (item->type == TOML_STRING && Str_Split(&name, '.', &word)) {
        kind = ConfigObject_FindKind(word);
    }
    if (kind == CONFIG_KINDS || !Fields_IsName(name)) {
        Faults_Add(faults, item->line, item->column, STR("delete"),
                   "expected \"KIND.NAME\" such as \"selector.lookups\"");
        return;
    }
    if (is_changed(this, kind, name)) {
        Faults_Add(faults, item->line, item->column, item->text,
                   "is deleted and changed, or deleted twice; choose one");
        return;
    }
    this->deletions[this->deleted++] =
        (ConfigDeletion){kind, TextStore_Copy(this->store, name), item->line};
}

static void
read_deletions(ConfigDocument *this, const TomlNode *node, Faults *faults)
{
    if (node->type != TOML_ARRAY) {
        Faults_Add(faults, node->line, node->column, STR("delete"),
                   "expected a list of \"KIND.NAME\"");
        return;
    }
    for (size_t i = 0; i < node->count; i++) {
        read_deletion(this, &node->children[i], faults);
    }
}

static size_t
count_items(const TomlNode *root)
{
    size_t count = 0;

    for (size_t i = 0; i < root->count; i++) {
        count += root->children[i].count;
    }
    return count;
}

/* Objects come first, so that deletions can be checked against them. */
static void
read_root(ConfigDocument *this, const TomlNode *root, Faults *faults)
{
    size_t items = count_items(root);
    const TomlNode *deletions = Toml_Find(root, STR("delete"));

    if (items > CONFIG_DOCUMENT_OBJECTS_MAX) {
        Faults_Add(faults, 0, 0, STR(""),
                   "changes %zu objects; at most %d in one publication", items,
                   CONFIG_DOCUMENT_OBJECTS_MAX);
        return;
    }
    this->objects =
        TextStore_Alloc(this->store, items * sizeof(*this->objects));
    this->deletions =
        TextStore_Alloc(this->store, (deletions ? deletions->count : 0) *
                                         sizeof(*this->deletions));
    for (ConfigKind kind = 0; kind < CONFIG_KINDS; kind++) {
        const TomlNode *table =
            Toml_Find(root, Str_FromC(ConfigObject_KindName(kind)));

        if (table != NULL) {
            read_kind(this, kind, table, faults);
        }
    }
    if (deletions != NULL) {
        read_deletions(this, deletions, faults);
    }
    for (size_t i = 0; i < root->count; i++) {
        const TomlNode *node = &root->children[i];

        if (ConfigObject_FindKind(node->key) == CONFIG_KINDS &&
            node != deletions) {
            Faults_Add(faults, node->line, node->column, node->key,
                       "unknown key; expected line, service, caller, "
                       "selector, operator or delete");
        }
    }
    if (this->count + this->deleted == 0 && Faults_Count(faults) == 0) {
        Faults_Add(faults, 0, 0, STR(""), "changes nothing");
    }
}

ConfigDocument *
ConfigDocument_Parse(Str text, Faults *faults)
{
    size_t before = Faults_Count(faults);
    ConfigDocument *this;
    TomlFault fault;
    Toml *toml;

    if (text.length > CONFIG_DOCUMENT_MAX) {
        Faults_Add(faults, 0, 0, STR(""),
                   "has %zu bytes; at most %d are accepted", text.length,
                   CONFIG_DOCUMENT_MAX);
        return NULL;
    }
    toml = Toml_Parse(text, &fault);
    if (toml == NULL) {
        Faults_Add(faults, fault.line, fault.column, STR(""), "%s",
                   fault.text);
        return NULL;
    }
    this = g_new0(ConfigDocument, 1);
    this->store = TextStore_Create();
    read_root(this, Toml_Root(toml), faults);
    Toml_Destroy(toml);
    if (Faults_Count(faults) > before) {
        ConfigDocument_Destroy(this);
        return NULL;
    }
    return this;
}

void
ConfigDocument_Destroy(ConfigDocument *this)
{
    if (this == NULL) {
        return;
    }
    TextStore_Destroy(this->store);
    g_free(this);
}

const ConfigObject *
ConfigDocument_Objects(const ConfigDocument *this, size_t *count)
{
    *count = this->count;
    return this->objects;
}

const ConfigDeletion *
ConfigDocument_Deletions(const ConfigDocument *this, size_t *count)
{
    *count = this->deleted;
    return this->deletions;
}
