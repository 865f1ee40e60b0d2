#include "Diagnostics.h"

struct Diagnostics_ {
    char *file;
    GArray *items; /* Diagnostic */
    size_t count;
    bool sorted;
};

static void
clear_fault(gpointer item)
{
    Diagnostic *fault = item;

    g_free(fault->key);
    g_free(fault->reason);
}

Diagnostics *
Diagnostics_Create(Str file)
{
    Diagnostics *this = g_new0(Diagnostics, 1);

    this->file = g_strndup(file.length ? file.data : "", file.length);
    this->items = g_array_new(FALSE, FALSE, sizeof(Diagnostic));
    g_array_set_clear_func(this->items, clear_fault);
    return this;
}

void
Diagnostics_Destroy(Diagnostics *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->items, TRUE);
    g_free(this->file);
    g_free(this);
}

/* Keys and reasons may quote hostile input, so only print plain text. */
static char *
plain_text(char *text)
{
    for (char *p = text; *p != '\0'; p++) {
        if ((unsigned char)*p < 0x20 || (unsigned char)*p > 0x7e) {
            *p = '?';
        }
    }
    return text;
}

void
Diagnostics_Add(Diagnostics *this, uint32_t line, uint32_t column, Str key,
                const char *format, ...)
{
    Diagnostic fault = {.line = line, .column = column};
    va_list args;

    this->count++;
    if (this->items->len >= DIAGNOSTICS_MAX) {
        return;
    }
    fault.key = plain_text(
        g_strndup(key.length ? key.data : "", MIN(key.length, 160)));
    va_start(args, format);
    fault.reason = plain_text(g_strdup_vprintf(format, args));
    va_end(args);
    g_array_append_val(this->items, fault);
    this->sorted = false;
}

size_t
Diagnostics_Count(const Diagnostics *this)
{
    return this->count;
}

static int
compare_faults(gconstpointer a, gconstpointer b)
{
    const Diagnostic *left = a;
    const Diagnostic *right = b;

    if (left->line != right->line) {
        return left->line < right->line ? -1 : 1;
    }
    if (left->column != right->column) {
        return left->column < right->column ? -1 : 1;
    }
    return g_strcmp0(left->key, right->key);
}

const Diagnostic *
Diagnostics_Get(Diagnostics *this, size_t index)
{
    if (!this->sorted) {
        g_array_sort(this->items, compare_faults);
        this->sorted = true;
    }
    return &g_array_index(this->items, Diagnostic, index);
}

void
Diagnostics_Write(Diagnostics *this, GString *out)
{
    for (size_t i = 0; i < this->items->len; i++) {
        const Diagnostic *fault = Diagnostics_Get(this, i);

        g_string_append_printf(out, "%s:%u:%u: ", this->file, fault->line,
                               fault->column);
        if (fault->key[0] != '\0') {
            g_string_append_printf(out, "%s: ", fault->key);
        }
        g_string_append_printf(out, "%s\n", fault->reason);
    }
    if (this->count > this->items->len) {
        g_string_append_printf(out, "%s: %zu more faults\n", this->file,
                               this->count - this->items->len);
    }
}
