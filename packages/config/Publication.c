#include "Publication.h"

#include <jansson.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ConfigDocument.h"

/* Parsers that read JSON numbers as doubles lose precision above 2^53. */
#define BASE_MAX ((json_int_t)1 << 53)
#define SIGNATURE_BASE64_LENGTH 88

static bool
copy_name(char *to, Str name)
{
    if (!Fields_IsName(name)) {
        return false;
    }
    memcpy(to, name.data, name.length);
    to[name.length] = '\0';
    return true;
}

Publication *
Publication_Create(Str id, Str author, uint64_t base, Str document)
{
    Publication *this = g_new0(Publication, 1);

    if (!copy_name(this->id, id) || !copy_name(this->author, author) ||
        base > (uint64_t)BASE_MAX ||
        document.length > CONFIG_DOCUMENT_MAX_BYTES) {
        g_free(this);
        return NULL;
    }
    this->base = base;
    this->document = Str_ToString(document);
    return this;
}

void
Publication_Destroy(Publication *this)
{
    if (this == NULL) {
        return;
    }
    g_string_free(this->document, TRUE);
    g_free(this);
}

static Str
get_string(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    if (!json_is_string(value)) {
        return (Str){NULL, 0};
    }
    return (Str){json_string_value(value), json_string_length(value)};
}

static bool
read_signature(Str text, uint8_t signature[64])
{
    gsize length = 0;
    guchar *bytes;
    char *reencoded;
    bool is_canonical;

    if (text.length != SIGNATURE_BASE64_LENGTH ||
        memchr(text.data, '\0', text.length) != NULL) {
        return false;
    }
    bytes = g_base64_decode(text.data, &length);
    reencoded = g_base64_encode(bytes, length);
    is_canonical = length == 64 &&
                   memcmp(reencoded, text.data, SIGNATURE_BASE64_LENGTH) == 0;
    if (is_canonical) {
        memcpy(signature, bytes, 64);
    }
    g_free(reencoded);
    g_free(bytes);
    return is_canonical;
}

static Publication *
read_members(const json_t *root)
{
    const json_t *version = json_object_get(root, "v");
    const json_t *base = json_object_get(root, "base");
    const json_t *document = json_object_get(root, "document");
    Publication *this;

    /* Exactly the six known members, so that no member is silently ignored. */
    if (json_object_size(root) != 6 || !json_is_integer(version) ||
        json_integer_value(version) != 1 || !json_is_integer(base) ||
        json_integer_value(base) < 0 || !json_is_string(document)) {
        return NULL;
    }
    this = Publication_Create(
        get_string(root, "id"), get_string(root, "author"),
        (uint64_t)json_integer_value(base), get_string(root, "document"));
    if (this == NULL) {
        return NULL;
    }
    if (!read_signature(get_string(root, "signature"), this->signature)) {
        Publication_Destroy(this);
        return NULL;
    }
    return this;
}

Publication *
Publication_Parse(Str record, Error *error)
{
    Publication *this = NULL;
    json_error_t json_error;
    json_t *root;

    if (record.length == 0 || record.length > PUBLICATION_MAX_BYTES) {
        Error_Set(error, ERR_LIMIT, "publication-parse", STR(""),
                  "record has %zu bytes, at most %d are accepted",
                  record.length, PUBLICATION_MAX_BYTES);
        return NULL;
    }
    root = json_loadb(record.data, record.length, JSON_REJECT_DUPLICATES,
                      &json_error);
    if (root == NULL) {
        Error_Set(error, ERR_PARSE, "publication-parse", STR(""),
                  "record is not valid JSON at line %d", json_error.line);
        return NULL;
    }
    if (json_is_object(root)) {
        this = read_members(root);
    }
    json_decref(root);
    if (this == NULL) {
        Error_Set(
            error, ERR_PARSE, "publication-parse", STR(""),
            "record is not a valid envelope; expected v = 1, id, author, "
            "base, document and signature");
    }
    return this;
}

static void
append_length_prefixed(GString *out, Str part)
{
    for (int i = 0; i < 8; i++) {
        g_string_append_c(out, (char)((uint64_t)part.length >> (8 * i)));
    }
    Str_AppendTo(part, out);
}

void
Publication_WriteCanonical(const Publication *this, GString *out)
{
    char base[24];

    snprintf(base, sizeof(base), "%llu", (unsigned long long)this->base);
    append_length_prefixed(out, Str_FromC(this->id));
    append_length_prefixed(out, Str_FromC(this->author));
    append_length_prefixed(out, Str_FromC(base));
    append_length_prefixed(out, Str_FromString(this->document));
}

int
Publication_Sign(Publication *this, const uint8_t secret[32])
{
    EVP_PKEY *key =
        EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, NULL, secret, 32);
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    GString *bytes = g_string_new(NULL);
    size_t length = sizeof(this->signature);
    int code = ERR_INVALID;

    Publication_WriteCanonical(this, bytes);
    if (key != NULL && context != NULL &&
        EVP_DigestSignInit(context, NULL, NULL, NULL, key) == 1 &&
        EVP_DigestSign(context, this->signature, &length,
                       (const unsigned char *)bytes->str, bytes->len) == 1) {
        code = 0;
    }
    g_string_free(bytes, TRUE);
    EVP_MD_CTX_free(context);
    EVP_PKEY_free(key);
    return code;
}

bool
Publication_Verify(const Publication *this, const Key32 *public_key)
{
    EVP_PKEY *key = EVP_PKEY_new_raw_public_key(
        EVP_PKEY_ED25519, NULL, public_key->bytes, sizeof(public_key->bytes));
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    GString *bytes = g_string_new(NULL);
    bool valid;

    Publication_WriteCanonical(this, bytes);
    valid =
        key != NULL && context != NULL &&
        EVP_DigestVerifyInit(context, NULL, NULL, NULL, key) == 1 &&
        EVP_DigestVerify(context, this->signature, sizeof(this->signature),
                         (const unsigned char *)bytes->str, bytes->len) == 1;
    g_string_free(bytes, TRUE);
    EVP_MD_CTX_free(context);
    EVP_PKEY_free(key);
    return valid;
}

void
Publication_WriteBase64(const uint8_t *bytes, size_t length, GString *out)
{
    char *text = g_base64_encode(bytes, length);

    g_string_append(out, text);
    g_free(text);
}

void
Publication_Write(const Publication *this, GString *out)
{
    GString *signature = g_string_new(NULL);
    json_t *root;
    char *text;

    Publication_WriteBase64(this->signature, sizeof(this->signature),
                            signature);
    root = json_pack("{s:i, s:s, s:s, s:I, s:s%, s:s}", "v", 1, "id", this->id,
                     "author", this->author, "base", (json_int_t)this->base,
                     "document", this->document->str, this->document->len,
                     "signature", signature->str);
    if (root != NULL) {
        text = json_dumps(root, JSON_COMPACT);
        g_string_append(out, text);
        free(text);
        json_decref(root);
    }
    g_string_free(signature, TRUE);
}

int
Publication_DerivePublicKey(const uint8_t secret[32], Key32 *key)
{
    EVP_PKEY *key_pair =
        EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, NULL, secret, 32);
    size_t length = sizeof(key->bytes);
    bool ok = key_pair != NULL &&
              EVP_PKEY_get_raw_public_key(key_pair, key->bytes, &length) == 1;

    EVP_PKEY_free(key_pair);
    key->is_set = ok;
    return ok ? 0 : ERR_INVALID;
}
