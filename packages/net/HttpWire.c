#include "HttpWire.h"

#include <glib.h>
#include <libwebsockets.h>
#include <string.h>

#define MAX_HEADER_NAME 128

static void
add_fragments(struct lws *wsi, HeaderList *headers, Str name,
              enum lws_token_indexes token)
{
    int length = 0;

    /* An empty field counts, too: the next one of its name is a duplicate. */
    for (int fragment = 0; length >= 0; fragment++) {
        int bytes = lws_hdr_fragment_length(wsi, token, fragment);
        char *value = g_malloc((gsize)MAX(bytes, 0) + 1);

        length = lws_hdr_copy_fragment(wsi, value, MAX(bytes, 0) + 1, token,
                                       fragment);
        if (length >= 0) {
            HeaderList_Add(headers, name, (Str){value, (size_t)length});
        }
        g_free(value);
    }
}

static void
add_custom(struct lws *wsi, HeaderList *headers, const char *name)
{
    char key[MAX_HEADER_NAME];
    char *value;
    int length;

    /* The library keeps the names of custom fields with their colon. */
    g_snprintf(key, sizeof(key), "%s:", name);
    length = lws_hdr_custom_length(wsi, key, (int)strlen(key));
    if (length <= 0) {
        return;
    }
    value = g_malloc((gsize)length + 1);
    length =
        lws_hdr_custom_copy(wsi, value, length + 1, key, (int)strlen(key));
    if (length > 0) {
        HeaderList_Add(headers, Str_FromC(name), (Str){value, (size_t)length});
    }
    g_free(value);
}

void
HttpWire_ReadHeaders(struct lws *wsi, HeaderList *headers,
                     const char *const *extra)
{
    for (int token = 0; token < WSI_TOKEN_COUNT; token++) {
        const char *text =
            (const char *)lws_token_to_string((enum lws_token_indexes)token);
        size_t length = text != NULL ? strlen(text) : 0;

        if (length < 2 || text[length - 1] != ':' || text[0] == ':') {
            continue;
        }
        add_fragments(wsi, headers, (Str){text, length - 1},
                      (enum lws_token_indexes)token);
    }
    for (size_t i = 0; extra != NULL && extra[i] != NULL; i++) {
        if (!HeaderList_Has(headers, Str_FromC(extra[i]))) {
            add_custom(wsi, headers, extra[i]);
        }
    }
}

bool
HttpWire_HasMisspelled(struct lws *wsi)
{
    static const char *const names[] = {
        "content-length :",
        "content-length\t:",
        "transfer-encoding :",
        "transfer-encoding\t:",
        "host :",
        "host\t:",
        "authorization :",
        "authorization\t:",
        "idempotency-key :",
        "idempotency-key\t:",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (lws_hdr_custom_length(wsi, names[i], (int)strlen(names[i])) >= 0) {
            return true;
        }
    }
    return false;
}

static size_t
count_fields(const HeaderList *headers, Str name)
{
    size_t n = 0;
    Str found, value;

    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &found, &value);
        n += Str_EqualIgnoreCase(found, name) ? 1 : 0;
    }
    return n;
}

int
HttpWire_CheckFraming(const HeaderList *headers, Error *error)
{
    static const char *const single[] = {
        "content-length",    "host", "authorization", "idempotency-key",
        "transfer-encoding",
    };
    Str length = HeaderList_Get(headers, STR("content-length"));
    bool has_length = HeaderList_Has(headers, STR("content-length"));
    uint64_t n;

    for (size_t i = 0; i < G_N_ELEMENTS(single); i++) {
        if (count_fields(headers, Str_FromC(single[i])) > 1) {
            return Error_Set(error, ERR_PROTOCOL, "read-request", STR(""),
                             "header %s is there twice", single[i]);
        }
    }
    if (has_length && HeaderList_Has(headers, STR("transfer-encoding"))) {
        return Error_Set(error, ERR_PROTOCOL, "read-request", STR(""),
                         "both content-length and transfer-encoding");
    }
    if (has_length && (Str_ParseU64(length, &n) < 0 || n > INT64_MAX)) {
        return Error_Set(error, ERR_PROTOCOL, "read-request", STR(""),
                         "content-length is not a whole number");
    }
    return 0;
}

int64_t
HttpWire_ContentLength(const HeaderList *headers)
{
    uint64_t n;

    if (Str_ParseU64(HeaderList_Get(headers, STR("content-length")), &n) < 0) {
        return HTTP_LENGTH_UNKNOWN;
    }
    return (int64_t)n;
}

int
HttpWire_WriteHeader(struct lws *wsi, Str name, Str value,
                     unsigned char **cursor, unsigned char *end)
{
    char key[MAX_HEADER_NAME];

    if (name.length + 2 > sizeof(key)) {
        return ERR_LIMIT;
    }
    memcpy(key, name.data, name.length);
    key[name.length] = ':';
    key[name.length + 1] = '\0';
    if (lws_add_http_header_by_name(wsi, (unsigned char *)key,
                                    (const unsigned char *)value.data,
                                    (int)value.length, cursor, end)) {
        return ERR_LIMIT;
    }
    return 0;
}
