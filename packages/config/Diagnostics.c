#include "Diagnostics.h"

/* Longer keys are cut off in error reports. */
#define KEY_BYTES_MAX 160

struct Diagnostics_ {
    char *file;
    GArray *items; /* Diagnostic */
    size_t count;
    bool sorted;
};

static void
clear_diagnostic(gpointer item)
{
    Diagnostic *diagnostic = item;

    g_free(diagnostic->key);
    g_free(diagnostic->reason);
}

Diagnostics *
Diagnostics_Create(Str file)
{
    Diagnostics *this = g_new0(Diagnostics, 1);

    this->file = g_strndup(file.length ? file.data : "", file.length);
    this->items = g_array_new(FALSE, FALSE, sizeof(Diagnostic));
    g_array_set_clear_func(this->items, clear_diagnostic);
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

/* Keys and reasons may quote untrusted input: allow printable ASCII only. */
static char *
replace_unprintable(char *text)
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
    Diagnostic diagnostic = {.line = line, .column = column};
    va_list args;

    this->count++;
    if (this->items->len >= DIAGNOSTICS_MAX) {
        return;
    }
    diagnostic.key = replace_unprintable(
        g_strndup(key.length ? key.data : "", MIN(key.length, KEY_BYTES_MAX)));
    va_start(args, format);
    diagnostic.reason = replace_unprintable(g_strdup_vprintf(format, args));
    va_end(args);
    g_array_append_val(this->items, diagnostic);
    this->sorted = false;
}

size_t
Diagnostics_Count(const Diagnostics *this)
{
    return this->count;
}

static int
compare_diagnostics(gconstpointer a, gconstpointer b)
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
        g_array_sort(this->items, compare_diagnostics);
        this->sorted = true;
    }
    return &g_array_index(this->items, Diagnostic, index);
}

void
Diagnostics_Write(Diagnostics *this, GString *out)
{
    for (size_t i = 0; i < this->items->len; i++) {
        const Diagnostic *diagnostic = Diagnostics_Get(this, i);

        g_string_append_printf(out, "%s:%u:%u: ", this->file, diagnostic->line,
                               diagnostic->column);
        if (diagnostic->key[0] != '\0') {
            g_string_append_printf(out, "%s: ", diagnostic->key);
        }
        g_string_append_printf(out, "%s\n", diagnostic->reason);
    }
    if (this->count > this->items->len) {
        g_string_append_printf(out, "%s: %zu more errors\n", this->file,
                               this->count - this->items->len);
    }
}
