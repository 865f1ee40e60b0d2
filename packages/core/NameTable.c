#include "NameTable.h"

#include <glib.h>

struct NameTable_ {
    GHashTable *indexes; /* maps char * to index + 1 */
    GPtrArray *names;    /* owns the strings */
};

NameTable *
NameTable_Create(void)
{
    NameTable *this = g_new0(NameTable, 1);

    this->indexes = g_hash_table_new(g_str_hash, g_str_equal);
    this->names = g_ptr_array_new_with_free_func(g_free);
    return this;
}

void
NameTable_Destroy(NameTable *this)
{
    g_hash_table_destroy(this->indexes);
    g_ptr_array_free(this->names, TRUE);
    g_free(this);
}

uint32_t
NameTable_Find(const NameTable *this, Str name)
{
    char *text = g_strndup(name.data, name.length);
    gpointer found = g_hash_table_lookup(this->indexes, text);

    g_free(text);
    return found != NULL ? GPOINTER_TO_UINT(found) - 1 : NAME_INDEX_NONE;
}

uint32_t
NameTable_Intern(NameTable *this, Str name)
{
    uint32_t index = NameTable_Find(this, name);
    char *text;

    if (index != NAME_INDEX_NONE) {
        return index;
    }
    index = this->names->len;
    text = g_strndup(name.data, name.length);
    g_ptr_array_add(this->names, text);
    g_hash_table_insert(this->indexes, text, GUINT_TO_POINTER(index + 1));
    return index;
}

Str
NameTable_Name(const NameTable *this, uint32_t index)
{
    if (index >= this->names->len) {
        return (Str){NULL, 0};
    }
    return Str_FromC(g_ptr_array_index(this->names, index));
}

uint32_t
NameTable_Count(const NameTable *this)
{
    return this->names->len;
}
