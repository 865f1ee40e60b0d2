#include "ForwardSeal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

#include "BigEndian.h"
#include "Error.h"
#include "Hex.h"

#define VERSION "1"

void
ForwardSeal_Digest(const BodyBuffer *body, uint8_t *digest)
{
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    bool ok = EVP_DigestInit_ex(context, EVP_sha256(), NULL) == 1;
    Str part;

    for (size_t n = 0; (part = BodyBuffer_From(body, n)).length > 0;
         n += part.length) {
        ok = ok && EVP_DigestUpdate(context, part.data, part.length) == 1;
    }
    if (!ok || EVP_DigestFinal_ex(context, digest, NULL) != 1) {
        g_error("SHA-256 is not available");
    }
    EVP_MD_CTX_free(context);
}

bool
ForwardSeal_Equal(const uint8_t *a, const uint8_t *b, size_t length)
{
    return CRYPTO_memcmp(a, b, length) == 0;
}

/* ---- covered text --------------------------------------------------- */

/* Lengths precede the parts, so that no two messages have the same text. */
static void
append_part(GString *out, Str part)
{
    BigEndian_Append(out, part.length, 4);
    Str_AppendTo(part, out);
}

static void
append_headers(GString *out, const HeaderList *headers)
{
    HeaderList *covered = HeaderList_Create();
    Str name, value;

    HeaderList_CopyEndToEnd(headers, covered);
    HeaderList_Remove(covered, STR(FORWARD_FIELD));
    BigEndian_Append(out, HeaderList_Count(covered), 4);
    for (size_t i = 0; i < HeaderList_Count(covered); i++) {
        HeaderList_At(covered, i, &name, &value);
        append_part(out, name);
        append_part(out, value);
    }
    HeaderList_Destroy(covered);
}

static void
compute_mac(GString *text, const uint8_t *key, uint8_t *mac)
{
    if (HMAC(EVP_sha256(), key, FORWARD_MAC_KEY_BYTES,
             (const unsigned char *)text->str, text->len, mac, NULL) == NULL) {
        g_error("HMAC-SHA256 is not available");
    }
    g_string_free(text, TRUE);
}

void
ForwardRequestSeal_Mac(const ForwardRequestSeal *this,
                       const ForwardRequestHead *head, const uint8_t *key,
                       uint8_t *mac)
{
    GString *text = g_string_sized_new(1024);

    append_part(text, STR("agatecrank-forward-request-" VERSION));
    append_part(text, this->sender);
    append_part(text, head->receiver);
    append_part(text, (Str){(const char *)this->sender_key, HOST_KEY_BYTES});
    BigEndian_Append(text, this->sequence, 8);
    BigEndian_Append(text, this->attempts_max, 4);
    append_part(text, (Str){(const char *)this->digest, FORWARD_DIGEST_BYTES});
    append_part(text, head->method);
    append_part(text, head->path);
    append_headers(text, head->headers);
    compute_mac(text, key, mac);
}

void
ForwardResponseSeal_Mac(const ForwardResponseSeal *this,
                        const ForwardResponseHead *head, const uint8_t *key,
                        uint8_t *mac)
{
    GString *text = g_string_sized_new(1024);

    append_part(text, STR("agatecrank-forward-response-" VERSION));
    BigEndian_Append(text, head->sequence, 8);
    BigEndian_Append(text, (uint64_t)head->status, 4);
    BigEndian_Append(text, (uint64_t)this->outcome, 1);
    append_part(text, this->reason);
    append_headers(text, head->headers);
    compute_mac(text, key, mac);
}

/* ---- texts ---------------------------------------------------------- */

static bool
split_number(Str *text, uint64_t max, uint64_t *number)
{
    Str field;

    return Str_Split(text, ' ', &field) && Str_ParseU64(field, number) == 0 &&
           *number > 0 && *number <= max;
}

static bool
split_bytes(Str *text, uint8_t *bytes, size_t length)
{
    Str field;

    return Str_Split(text, ' ', &field) &&
           Hex_Parse(field, bytes, length) == 0;
}

static bool
split_version(Str *text)
{
    Str field;

    return Str_Split(text, ' ', &field) && Str_Equal(field, STR(VERSION));
}

int
ForwardRequestSeal_Parse(Str text, ForwardRequestSeal *this)
{
    uint64_t attempts;

    if (!split_version(&text) || !Str_Split(&text, ' ', &this->sender) ||
        this->sender.length == 0 ||
        !split_bytes(&text, this->sender_key, HOST_KEY_BYTES) ||
        !split_number(&text, UINT64_MAX, &this->sequence) ||
        !split_number(&text, UINT32_MAX, &attempts) ||
        !split_bytes(&text, this->digest, FORWARD_DIGEST_BYTES) ||
        Hex_Parse(text, this->mac, FORWARD_MAC_BYTES) < 0) {
        return ERR_PARSE;
    }
    this->attempts_max = (uint32_t)attempts;
    return 0;
}

void
ForwardRequestSeal_Format(const ForwardRequestSeal *this, GString *out)
{
    g_string_append_printf(out, VERSION " " STR_FORMAT " ",
                           STR_ARGS(this->sender));
    Hex_Append(out, this->sender_key, HOST_KEY_BYTES);
    g_string_append_printf(out, " %" G_GUINT64_FORMAT " %u ", this->sequence,
                           this->attempts_max);
    Hex_Append(out, this->digest, FORWARD_DIGEST_BYTES);
    g_string_append_c(out, ' ');
    Hex_Append(out, this->mac, FORWARD_MAC_BYTES);
}

/* In the order of enum ForwardOutcome. */
static const char *const outcome_names[] = {"relayed", "not-run", "unknown"};

const char *
ForwardOutcome_Name(ForwardOutcome outcome)
{
    return outcome_names[outcome];
}

int
ForwardResponseSeal_Parse(Str text, ForwardResponseSeal *this)
{
    Str outcome;
    size_t i = 0;

    if (!split_version(&text) || !Str_Split(&text, ' ', &outcome) ||
        !Str_Split(&text, ' ', &this->reason) ||
        Hex_Parse(text, this->mac, FORWARD_MAC_BYTES) < 0) {
        return ERR_PARSE;
    }
    if (Str_Equal(this->reason, STR("-"))) {
        this->reason = STR("");
    }
    while (i < G_N_ELEMENTS(outcome_names) &&
           !Str_Equal(outcome, Str_FromC(outcome_names[i]))) {
        i++;
    }
    this->outcome = (ForwardOutcome)i;
    return i < G_N_ELEMENTS(outcome_names) ? 0 : ERR_PARSE;
}

void
ForwardResponseSeal_Format(const ForwardResponseSeal *this, GString *out)
{
    Str reason = this->reason.length > 0 ? this->reason : STR("-");

    g_string_append_printf(out, VERSION " %s " STR_FORMAT " ",
                           outcome_names[this->outcome], STR_ARGS(reason));
    Hex_Append(out, this->mac, FORWARD_MAC_BYTES);
}
