#include "OperatorAuth.h"

#include <openssl/evp.h>
#include <openssl/sha.h>
#include <string.h>

#define SIGNATURE_BYTES 64
/* Bounds the input of the base64 decoder; a signature has 88 characters. */
#define SIGNATURE_TEXT_LENGTH_MAX 128
#define AUTH_SCHEME STR("Agatecrank")

static GString *
canonical_text(const AdminRequest *request, Str name, uint64_t signed_at_ms)
{
    GString *text = g_string_new("agatecrank-admin-v1\n");
    uint8_t digest[SHA256_DIGEST_LENGTH];

    SHA256((const unsigned char *)(request->body.length ? request->body.data
                                                        : ""),
           request->body.length, digest);
    g_string_append_printf(text,
                           STR_FORMAT "\n" STR_FORMAT "\n" STR_FORMAT
                                      "\n%" G_GUINT64_FORMAT "\n",
                           STR_ARGS(name), STR_ARGS(request->method),
                           STR_ARGS(request->target), signed_at_ms);
    g_string_append_len(text, (const char *)digest, sizeof(digest));
    return text;
}

static bool
sign_text(const GString *text, const uint8_t secret[32],
          uint8_t signature[SIGNATURE_BYTES])
{
    EVP_PKEY *key =
        EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, NULL, secret, 32);
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    size_t length = SIGNATURE_BYTES;
    bool ok = key != NULL &&
              EVP_DigestSignInit(context, NULL, NULL, NULL, key) == 1 &&
              EVP_DigestSign(context, signature, &length,
                             (const unsigned char *)text->str, text->len) == 1;

    EVP_MD_CTX_free(context);
    EVP_PKEY_free(key);
    return ok;
}

static bool
verify_text(const GString *text, const Key32 *public_key,
            const uint8_t signature[SIGNATURE_BYTES])
{
    EVP_PKEY *key = EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, NULL,
                                                public_key->bytes, 32);
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    bool valid =
        key != NULL &&
        EVP_DigestVerifyInit(context, NULL, NULL, NULL, key) == 1 &&
        EVP_DigestVerify(context, signature, SIGNATURE_BYTES,
                         (const unsigned char *)text->str, text->len) == 1;

    EVP_MD_CTX_free(context);
    EVP_PKEY_free(key);
    return valid;
}

int
OperatorAuth_Sign(const AdminRequest *request, Str name,
                  const uint8_t secret[32], GString *out)
{
    uint64_t signed_at_ms = (uint64_t)(request->signed_at / MICROS_PER_MS);
    GString *text = canonical_text(request, name, signed_at_ms);
    uint8_t signature[SIGNATURE_BYTES];
    bool ok = sign_text(text, secret, signature);
    char *encoded;

    g_string_free(text, TRUE);
    if (!ok) {
        return ERR_INVALID;
    }
    encoded = g_base64_encode(signature, sizeof(signature));
    g_string_append_printf(
        out, "Agatecrank " STR_FORMAT ":%" G_GUINT64_FORMAT ":%s",
        STR_ARGS(name), signed_at_ms, encoded);
    g_free(encoded);
    return 0;
}

typedef struct ParsedHeader_ {
    Str name;
    uint64_t signed_at_ms;
    uint8_t signature[SIGNATURE_BYTES];
} ParsedHeader;

static bool
parse_header(Str header, ParsedHeader *parsed)
{
    Str scheme, signed_at_ms;
    char *encoded;
    guchar *bytes;
    gsize length = 0;
    bool valid;

    if (!Str_Split(&header, ' ', &scheme) ||
        !Str_EqualIgnoreCase(scheme, AUTH_SCHEME) ||
        !Str_Split(&header, ':', &parsed->name) ||
        !Str_Split(&header, ':', &signed_at_ms) ||
        Str_ParseU64(signed_at_ms, &parsed->signed_at_ms) < 0 ||
        header.length > SIGNATURE_TEXT_LENGTH_MAX) {
        return false;
    }
    encoded = g_strndup(header.data, header.length);
    bytes = g_base64_decode(encoded, &length);
    valid = length == SIGNATURE_BYTES;
    if (valid) {
        memcpy(parsed->signature, bytes, SIGNATURE_BYTES);
    }
    g_free(bytes);
    g_free(encoded);
    return valid;
}

static bool
is_bootstrap_signature(const ConfigState *state, const Key32List *keys,
                       const GString *text, const ParsedHeader *parsed)
{
    if (!Str_Equal(parsed->name, OPERATOR_BOOTSTRAP_NAME) ||
        ConfigState_Count(state, CONFIG_OPERATOR) > 0) {
        return false;
    }
    for (size_t i = 0; i < keys->count; i++) {
        if (verify_text(text, &keys->items[i], parsed->signature)) {
            return true;
        }
    }
    return false;
}

int
OperatorAuth_Check(const AdminRequest *request, Str header, Micros now,
                   const ConfigState *state, const Key32List *bootstrap,
                   const ConfigObject **operator_, Error *error)
{
    ParsedHeader parsed;
    GString *text;
    Micros clock_skew;
    bool valid;

    *operator_ = NULL;
    if (!parse_header(header, &parsed)) {
        return Error_Set(
            error, ERR_DENIED, "admin-auth", STR(""),
            "request is not signed; expected an Authorization header "
            "\"Agatecrank NAME:MILLISECONDS:BASE64\"");
    }
    clock_skew = now - (Micros)parsed.signed_at_ms * MICROS_PER_MS;
    if (clock_skew > OPERATOR_AUTH_MAX_SKEW_US ||
        clock_skew < -OPERATOR_AUTH_MAX_SKEW_US) {
        return Error_Set(
            error, ERR_EXPIRED, "admin-auth", parsed.name,
            "time of signing and host clock differ by more than 60 s");
    }
    text = canonical_text(request, parsed.name, parsed.signed_at_ms);
    *operator_ = ConfigState_Find(state, CONFIG_OPERATOR, parsed.name);
    valid = *operator_ != NULL
                ? verify_text(text, &(*operator_)->operator_.public_key,
                              parsed.signature)
                : is_bootstrap_signature(state, bootstrap, text, &parsed);
    g_string_free(text, TRUE);
    if (!valid) {
        *operator_ = NULL;
        return Error_Set(error, ERR_DENIED, "admin-auth", parsed.name,
                         "unknown operator or wrong signature");
    }
    return 0;
}

bool
OperatorAuth_MayUseLine(const ConfigObject *operator_, Str line)
{
    return operator_ == NULL || ConfigObject_IsGlobalOperator(operator_) ||
           StrList_Contains(&operator_->operator_.lines, line);
}
