#include "BodyDigest.h"

#include <glib.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <string.h>

#define SHA256_BYTES 32

struct BodyDigest_ {
    EVP_MD_CTX *context;
    GString *tail; /* last bytes, for a marker split over pieces */
    char *marker;
    bool found;
};

BodyDigest *
BodyDigest_Create(const char *marker)
{
    BodyDigest *this = g_new0(BodyDigest, 1);

    this->context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(this->context, EVP_sha256(), NULL);
    this->marker = g_strdup(marker);
    this->tail = g_string_new(NULL);
    return this;
}

void
BodyDigest_Destroy(BodyDigest *this)
{
    if (this == NULL) {
        return;
    }
    EVP_MD_CTX_free(this->context);
    g_string_free(this->tail, TRUE);
    g_free(this->marker);
    g_free(this);
}

static void
find_marker(BodyDigest *this, Str piece)
{
    size_t length = strlen(this->marker);

    if (length == 0 || this->found) {
        return;
    }
    Str_AppendTo(piece, this->tail);
    this->found =
        memmem(this->tail->str, this->tail->len, this->marker, length) != NULL;
    if (this->tail->len >= length) {
        g_string_erase(this->tail, 0,
                       (gssize)(this->tail->len - (length - 1)));
    }
}

void
BodyDigest_Add(BodyDigest *this, Str piece)
{
    EVP_DigestUpdate(this->context, piece.data, piece.length);
    find_marker(this, piece);
}

void
BodyDigest_Finish(BodyDigest *this, char hex[BODY_DIGEST_HEX_BYTES])
{
    unsigned char digest[EVP_MAX_MD_SIZE];

    EVP_DigestFinal_ex(this->context, digest, NULL);
    for (int i = 0; i < SHA256_BYTES; i++) {
        snprintf(hex + 2 * i, 3, "%02x", digest[i]);
    }
}

bool
BodyDigest_HasMarker(const BodyDigest *this)
{
    return this->found;
}
