#include "OperatorAuth.h"

#include <openssl/evp.h>
#include <openssl/sha.h>
#include <string.h>

#define SIGNATURE_BYTES 64
#define SCHEME STR("Agatecrank")

static GString *
canonical(const AdminCall *call, Str name, uint64_t ms)
{
    GString *text = g_string_new("agatecrank-admin-v1\n");
    uint8_t digest[SHA256_DIGEST_LENGTH];

    SHA256((const unsigned char *)(call->body.length ? call->body.data : ""),
           call->body.length, digest);
    g_string_append_printf(
        text,
        STR_FORMAT "\n" STR_FORMAT "\n" STR_FORMAT "\n%" G_GUINT64_FORMAT "\n",
        STR_ARGS(name), STR_ARGS(call->method), STR_ARGS(call->target), ms);
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
    bool done =
        key != NULL &&
        EVP_DigestSignInit(context, NULL, NULL, NULL, key) == 1 &&
        EVP_DigestSign(context, signature, &length,
                       (const unsigned char *)text->str, text->len) == 1;

    EVP_MD_CTX_free(context);
    EVP_PKEY_free(key);
    return done;
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
OperatorAuth_Sign(const AdminCall *call, Str name, const uint8_t secret[32],
                  GString *out)
{
    uint64_t ms = (uint64_t)(call->wall / MICROS_PER_MS);
    GString *text = canonical(call, name, ms);
    uint8_t signature[SIGNATURE_BYTES];
    bool done = sign_text(text, secret, signature);
    char *encoded;

    g_string_free(text, TRUE);
    if (!done) {
        return ERR_INVALID;
    }
    encoded = g_base64_encode(signature, sizeof(signature));
    g_string_append_printf(
        out, "Agatecrank " STR_FORMAT ":%" G_GUINT64_FORMAT ":%s",
        STR_ARGS(name), ms, encoded);
    g_free(encoded);
    return 0;
}

typedef struct Credential_ {
    Str name;
    uint64_t ms;
    uint8_t signature[SIGNATURE_BYTES];
} Credential;

static bool
parse_header(Str header, Credential *credential)
{
    Str scheme, ms;
    char *encoded;
    guchar *bytes;
    gsize length = 0;
    bool valid;

    if (!Str_Split(&header, ' ', &scheme) ||
        !Str_EqualIgnoreCase(scheme, SCHEME) ||
        !Str_Split(&header, ':', &credential->name) ||
        !Str_Split(&header, ':', &ms) ||
        Str_ParseU64(ms, &credential->ms) < 0 || header.length > 128) {
        return false;
    }
    encoded = g_strndup(header.data, header.length);
    bytes = g_base64_decode(encoded, &length);
    valid = length == SIGNATURE_BYTES;
    if (valid) {
        memcpy(credential->signature, bytes, SIGNATURE_BYTES);
    }
    g_free(bytes);
    g_free(encoded);
    return valid;
}

static bool
check_bootstrap(const ConfigState *state, const Key32List *keys,
                const GString *text, const Credential *credential)
{
    if (!Str_Equal(credential->name, OPERATOR_BOOTSTRAP) ||
        ConfigState_Count(state, CONFIG_OPERATOR) > 0) {
        return false;
    }
    for (size_t i = 0; i < keys->count; i++) {
        if (verify_text(text, &keys->items[i], credential->signature)) {
            return true;
        }
    }
    return false;
}

int
OperatorAuth_Check(const AdminCall *call, Str header, Micros now,
                   const ConfigState *state, const Key32List *bootstrap,
                   const ConfigObject **operator_, Error *error)
{
    Credential credential;
    GString *text;
    Micros age;
    bool valid;

    *operator_ = NULL;
    if (!parse_header(header, &credential)) {
        return Error_Set(error, ERR_DENIED, "admin-auth", STR(""),
                         "the call is not signed by an operator");
    }
    age = now - (Micros)credential.ms * MICROS_PER_MS;
    if (age > OPERATOR_AUTH_WINDOW || age < -OPERATOR_AUTH_WINDOW) {
        return Error_Set(error, ERR_EXPIRED, "admin-auth", credential.name,
                         "the signature's time differs by more than 60 s");
    }
    text = canonical(call, credential.name, credential.ms);
    *operator_ = ConfigState_Find(state, CONFIG_OPERATOR, credential.name);
    valid = *operator_ != NULL
                ? verify_text(text, &(*operator_)->operator_.public_key,
                              credential.signature)
                : check_bootstrap(state, bootstrap, text, &credential);
    g_string_free(text, TRUE);
    if (!valid) {
        *operator_ = NULL;
        return Error_Set(error, ERR_DENIED, "admin-auth", credential.name,
                         "unknown operator or wrong signature");
    }
    return 0;
}

bool
OperatorAuth_MayUseLine(const ConfigObject *operator_, Str line)
{
    return operator_ == NULL || ConfigObject_IsGlobalOperator(operator_) ||
           StrList_Has(&operator_->operator_.lines, line);
}
