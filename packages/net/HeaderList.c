#include "HeaderList.h"

#include <glib.h>

/* Offsets and lengths in the text. A byte of 0 follows each name and value. */
typedef struct Header_ {
    uint32_t name_offset;
    uint32_t name_length;
    uint32_t value_offset;
    uint32_t value_length;
} Header;

/* One buffer for all fields: an allocation for each name and value would take
 * many times their bytes. */
struct HeaderList_ {
    GArray *headers;
    GString *text;
};

HeaderList *
HeaderList_Create(void)
{
    HeaderList *this = g_new0(HeaderList, 1);

    this->headers = g_array_new(FALSE, FALSE, sizeof(Header));
    this->text = g_string_new(NULL);
    return this;
}

void
HeaderList_Destroy(HeaderList *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->headers, TRUE);
    g_string_free(this->text, TRUE);
    g_free(this);
}

static uint32_t
append_text(HeaderList *this, Str text)
{
    uint32_t offset = (uint32_t)this->text->len;

    Str_AppendTo(text, this->text);
    g_string_append_c(this->text, '\0');
    return offset;
}

void
HeaderList_Add(HeaderList *this, Str name, Str value)
{
    Header header = {.name_length = (uint32_t)name.length,
                     .value_length = (uint32_t)value.length};

    header.name_offset = append_text(this, name);
    for (size_t i = 0; i < name.length; i++) {
        char *c = &this->text->str[header.name_offset + i];

        *c = g_ascii_tolower(*c);
    }
    header.value_offset = append_text(this, value);
    g_array_append_val(this->headers, header);
}

size_t
HeaderList_Bytes(const HeaderList *this)
{
    /* Arrays have up to twice the room that they need. */
    return this->text->allocated_len + 2 * this->headers->len * sizeof(Header);
}

void
HeaderList_AddInt(HeaderList *this, Str name, int64_t value)
{
    char text[24];

    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
    HeaderList_Add(this, name, Str_FromC(text));
}

static Str
name_at(const HeaderList *this, size_t i)
{
    const Header *header = &g_array_index(this->headers, Header, i);

    return (Str){this->text->str + header->name_offset, header->name_length};
}

static Str
value_at(const HeaderList *this, size_t i)
{
    const Header *header = &g_array_index(this->headers, Header, i);

    return (Str){this->text->str + header->value_offset, header->value_length};
}

void
HeaderList_Remove(HeaderList *this, Str name)
{
    for (size_t i = this->headers->len; i > 0; i--) {
        if (Str_EqualIgnoreCase(name_at(this, i - 1), name)) {
            g_array_remove_index(this->headers, (guint)(i - 1));
        }
    }
}

void
HeaderList_Set(HeaderList *this, Str name, Str value)
{
    HeaderList_Remove(this, name);
    HeaderList_Add(this, name, value);
}

Str
HeaderList_Get(const HeaderList *this, Str name)
{
    for (size_t i = 0; i < this->headers->len; i++) {
        if (Str_EqualIgnoreCase(name_at(this, i), name)) {
            return value_at(this, i);
        }
    }
    return (Str){NULL, 0};
}

int64_t
HeaderList_ContentLength(const HeaderList *this)
{
    uint64_t n;

    if (Str_ParseU64(HeaderList_Get(this, STR("content-length")), &n) < 0) {
        return -1;
    }
    return (int64_t)n;
}

bool
HeaderList_Has(const HeaderList *this, Str name)
{
    for (size_t i = 0; i < this->headers->len; i++) {
        if (Str_EqualIgnoreCase(name_at(this, i), name)) {
            return true;
        }
    }
    return false;
}

size_t
HeaderList_Count(const HeaderList *this)
{
    return this->headers->len;
}

void
HeaderList_At(const HeaderList *this, size_t i, Str *name, Str *value)
{
    *name = name_at(this, i);
    *value = value_at(this, i);
}

bool
HeaderList_IsHopByHop(Str name)
{
    static const char *const names[] = {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
        "http2-settings",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (Str_EqualIgnoreCase(name, Str_FromC(names[i]))) {
            return true;
        }
    }
    return false;
}

/* Fields that Connection names are hop-by-hop (RFC 9110, section 7.6.1). */
static bool
is_named_by_connection(const HeaderList *headers, Str name)
{
    Str rest = HeaderList_Get(headers, STR("connection"));
    Str field;

    while (Str_Split(&rest, ',', &field)) {
        if (Str_EqualIgnoreCase(Str_Trim(field), name)) {
            return true;
        }
    }
    return false;
}

void
HeaderList_CopyAll(const HeaderList *from, HeaderList *to)
{
    Str name, value;

    for (size_t i = 0; i < HeaderList_Count(from); i++) {
        HeaderList_At(from, i, &name, &value);
        HeaderList_Add(to, name, value);
    }
}

void
HeaderList_CopyEndToEnd(const HeaderList *from, HeaderList *to)
{
    Str name, value;

    for (size_t i = 0; i < HeaderList_Count(from); i++) {
        HeaderList_At(from, i, &name, &value);
        if (HeaderList_IsHopByHop(name) ||
            is_named_by_connection(from, name) ||
            Str_Equal(name, STR("content-length"))) {
            continue;
        }
        HeaderList_Add(to, name, value);
    }
}
