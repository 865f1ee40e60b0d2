#include "ConfigDocument.h"

#include <stdio.h>
#include <string.h>

struct ConfigDocument_ {
    Arena *arena;
    ConfigObject *objects;
    size_t count;
    ConfigDeletion *deletions;
    size_t deletion_count;
};

static void
read_object(ConfigDocument *this, ConfigKind kind, const TomlNode *node,
            Diagnostics *diagnostics)
{
    char prefix[CONFIG_NAME_MAX + 16];
    ConfigObject *object;

    if (!Fields_IsName(node->key)) {
        Diagnostics_Add(diagnostics, node->line, node->column, node->key,
                        "invalid name; use 1 to 64 of A-Z a-z 0-9 . _ -");
        return;
    }
    object = &this->objects[this->count++];
    ConfigObject_Init(object, kind, Arena_CopyStr(this->arena, node->key));
    object->document_line = node->line;
    snprintf(prefix, sizeof(prefix), "%s." STR_FORMAT,
             ConfigObject_KindName(kind), STR_ARGS(node->key));
    Fields_Read(ConfigObject_Fields(kind), node, Str_FromC(prefix), object,
                this->arena, diagnostics);
    if (kind == CONFIG_CALLER && !object->caller.token_sha256.is_set &&
        !object->caller.certificate_sha256.is_set) {
        Diagnostics_Add(
            diagnostics, node->line, node->column, Str_FromC(prefix),
            "has neither token_sha256 nor certificate_sha256; give one");
    }
}

static void
read_kind(ConfigDocument *this, ConfigKind kind, const TomlNode *table,
          Diagnostics *diagnostics)
{
    if (table->type != TOML_TABLE) {
        Diagnostics_Add(diagnostics, table->line, table->column, table->key,
                        "expected tables such as [%s.NAME]",
                        ConfigObject_KindName(kind));
        return;
    }
    for (size_t i = 0; i < table->count; i++) {
        read_object(this, kind, &table->children[i], diagnostics);
    }
}

static bool
is_listed(const ConfigDocument *this, ConfigKind kind, Str name)
{
    for (size_t i = 0; i < this->count; i++) {
        if (this->objects[i].kind == kind &&
            Str_Equal(this->objects[i].name, name)) {
            return true;
        }
    }
    for (size_t i = 0; i < this->deletion_count; i++) {
        if (this->deletions[i].kind == kind &&
            Str_Equal(this->deletions[i].name, name)) {
            return true;
        }
    }
    return false;
}

static void
read_deletion(ConfigDocument *this, const TomlNode *item,
              Diagnostics *diagnostics)
{
    Str name = item->text;
    ConfigKind kind = CONFIG_KIND_COUNT;
    Str word;

    if (item->type == TOML_STRING && Str_Split(&name, '.', &word)) {
        kind = ConfigObject_FindKind(word);
    }
    if (kind == CONFIG_KIND_COUNT || !Fields_IsName(name)) {
        Diagnostics_Add(diagnostics, item->line, item->column, STR("delete"),
                        "expected \"KIND.NAME\" such as \"selector.lookups\"");
        return;
    }
    if (is_listed(this, kind, name)) {
        Diagnostics_Add(
            diagnostics, item->line, item->column, item->text,
            "is both changed and deleted, or deleted twice; keep one");
        return;
    }
    this->deletions[this->deletion_count++] =
        (ConfigDeletion){kind, Arena_CopyStr(this->arena, name), item->line};
}

static void
read_deletions(ConfigDocument *this, const TomlNode *node,
               Diagnostics *diagnostics)
{
    if (node->type != TOML_ARRAY) {
        Diagnostics_Add(diagnostics, node->line, node->column, STR("delete"),
                        "expected a list of \"KIND.NAME\"");
        return;
    }
    for (size_t i = 0; i < node->count; i++) {
        read_deletion(this, &node->children[i], diagnostics);
    }
}

static size_t
count_entries(const TomlNode *root)
{
    size_t count = 0;

    for (size_t i = 0; i < root->count; i++) {
        count += root->children[i].count;
    }
    return count;
}

/* Reads the objects first, to detect objects both changed and deleted. */
static void
read_root(ConfigDocument *this, const TomlNode *root, Diagnostics *diagnostics)
{
    size_t items = count_entries(root);
    const TomlNode *deletions = Toml_Find(root, STR("delete"));

    if (items > CONFIG_DOCUMENT_OBJECTS_MAX) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""),
                        "changes %zu objects; at most %d in one publication",
                        items, CONFIG_DOCUMENT_OBJECTS_MAX);
        return;
    }
    this->objects = Arena_Alloc(this->arena, items * sizeof(*this->objects));
    this->deletions =
        Arena_Alloc(this->arena, (deletions ? deletions->count : 0) *
                                     sizeof(*this->deletions));
    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        const TomlNode *table =
            Toml_Find(root, Str_FromC(ConfigObject_KindName(kind)));

        if (table != NULL) {
            read_kind(this, kind, table, diagnostics);
        }
    }
    if (deletions != NULL) {
        read_deletions(this, deletions, diagnostics);
    }
    for (size_t i = 0; i < root->count; i++) {
        const TomlNode *node = &root->children[i];

        if (ConfigObject_FindKind(node->key) == CONFIG_KIND_COUNT &&
            node != deletions) {
            Diagnostics_Add(diagnostics, node->line, node->column, node->key,
                            "unknown key; expected line, service, caller, "
                            "selector, operator or delete");
        }
    }
    if (this->count + this->deletion_count == 0 &&
        Diagnostics_Count(diagnostics) == 0) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""), "contains no change");
    }
}

ConfigDocument *
ConfigDocument_Parse(Str text, Diagnostics *diagnostics)
{
    size_t before = Diagnostics_Count(diagnostics);
    ConfigDocument *this;
    TomlError toml_error;
    Toml *toml;

    if (text.length > CONFIG_DOCUMENT_MAX_BYTES) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""),
                        "has %zu bytes; at most %d are accepted", text.length,
                        CONFIG_DOCUMENT_MAX_BYTES);
        return NULL;
    }
    toml = Toml_Parse(text, &toml_error);
    if (toml == NULL) {
        Diagnostics_Add(diagnostics, toml_error.line, toml_error.column,
                        STR(""), "%s", toml_error.text);
        return NULL;
    }
    this = g_new0(ConfigDocument, 1);
    this->arena = Arena_Create();
    read_root(this, Toml_Root(toml), diagnostics);
    Toml_Destroy(toml);
    if (Diagnostics_Count(diagnostics) > before) {
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
    Arena_Destroy(this->arena);
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
    *count = this->deletion_count;
    return this->deletions;
}
