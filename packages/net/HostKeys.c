#include "HostKeys.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/kdf.h>
#include <openssl/params.h>
#include <string.h>

#define PEERS_MAX 4096
#define UNLISTED_MAX 1024
/* Bounds the processor time that claims of unknown processes cost. */
#define UNLISTED_MAX_PER_S 20
/* Longer than a request may take. */
#define UNLISTED_TIME_US (600 * MICROS_PER_S)
/* Time for a claim without an authentic request. */
#define CLAIM_TIME_US (10 * MICROS_PER_S)
#define SECRET_BYTES 32

struct HostKeys_ {
    GString *host;
    EVP_PKEY *pair;
    uint8_t public_key[HOST_KEY_BYTES];
    const Clock *clock;
    GHashTable *by_id;   /* HostPeer, owned by @peers */
    GPtrArray *peers;    /* HostPeer */
    GPtrArray *unlisted; /* HostPeer, the oldest first */
    uint64_t sequence;
    Micros second_began; /* for UNLISTED_MAX_PER_S */
    unsigned second_count;
};

static void
destroy_peer(gpointer data)
{
    HostPeer *peer = data;

    g_string_free(peer->id, TRUE);
    g_string_free(peer->domain, TRUE);
    OPENSSL_cleanse(&peer->keys, sizeof(peer->keys));
    g_free(peer);
}

static GHashTable *
create_index(void)
{
    return g_hash_table_new((GHashFunc)g_string_hash,
                            (GEqualFunc)g_string_equal);
}

HostKeys *
HostKeys_Create(Str host, const Clock *clock, Error *error)
{
    HostKeys *this = g_new0(HostKeys, 1);
    size_t length = HOST_KEY_BYTES;

    this->host = Str_ToString(host);
    this->clock = clock;
    this->second_began = Clock_Now(clock);
    this->by_id = create_index();
    this->peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->unlisted = g_ptr_array_new_with_free_func(destroy_peer);
    this->pair = EVP_PKEY_Q_keygen(NULL, NULL, "X25519");
    if (this->pair == NULL ||
        EVP_PKEY_get_raw_public_key(this->pair, this->public_key, &length) !=
            1) {
        Error_Set(error, ERR_UNAVAILABLE, "host-keys", host,
                  "cannot generate a key pair");
        HostKeys_Destroy(this);
        return NULL;
    }
    return this;
}

void
HostKeys_Destroy(HostKeys *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->by_id);
    g_ptr_array_free(this->peers, TRUE);
    g_ptr_array_free(this->unlisted, TRUE);
    EVP_PKEY_free(this->pair);
    g_string_free(this->host, TRUE);
    g_free(this);
}

Str
HostKeys_Host(const HostKeys *this)
{
    return Str_FromString(this->host);
}

const uint8_t *
HostKeys_PublicKey(const HostKeys *this)
{
    return this->public_key;
}

/* ---- keys of a pair ------------------------------------------------- */

static int
derive_secret(const HostKeys *this, const uint8_t *key, uint8_t *secret)
{
    EVP_PKEY *other = EVP_PKEY_new_raw_public_key(EVP_PKEY_X25519, NULL, key,
                                                  HOST_KEY_BYTES);
    EVP_PKEY_CTX *context = EVP_PKEY_CTX_new(this->pair, NULL);
    size_t length = SECRET_BYTES;
    bool ok = other != NULL && context != NULL &&
              EVP_PKEY_derive_init(context) == 1 &&
              EVP_PKEY_derive_set_peer(context, other) == 1 &&
              /* Fails for points of small order (RFC 7748, section 6.1). */
              EVP_PKEY_derive(context, secret, &length) == 1;

    EVP_PKEY_CTX_free(context);
    EVP_PKEY_free(other);
    return ok ? 0 : ERR_INVALID;
}

/* One end of a pair. */
typedef struct End_ {
    Str id;
    const uint8_t *key;
} End;

static void
append_end(GString *info, const End *end)
{
    g_string_append_printf(info, "%zu ", end->id.length);
    Str_AppendTo(end->id, info);
    g_string_append_len(info, (const char *)end->key, HOST_KEY_BYTES);
}

static void
expand(const uint8_t *secret, const char *purpose, const End *sender,
       const End *receiver, uint8_t *out)
{
    EVP_KDF *kdf = EVP_KDF_fetch(NULL, "HKDF", NULL);
    EVP_KDF_CTX *context = EVP_KDF_CTX_new(kdf);
    GString *info = g_string_new("agatecrank forward 1 ");
    OSSL_PARAM params[4];

    g_string_append(info, purpose);
    append_end(info, sender);
    append_end(info, receiver);
    params[0] = OSSL_PARAM_construct_utf8_string(OSSL_KDF_PARAM_DIGEST,
                                                 (char *)"SHA256", 0);
    params[1] = OSSL_PARAM_construct_octet_string(
        OSSL_KDF_PARAM_KEY, (void *)secret, SECRET_BYTES);
    params[2] = OSSL_PARAM_construct_octet_string(OSSL_KDF_PARAM_INFO,
                                                  info->str, info->len);
    params[3] = OSSL_PARAM_construct_end();
    if (EVP_KDF_derive(context, out, FORWARD_MAC_KEY_BYTES, params) != 1) {
        g_error("HKDF is not available");
    }
    g_string_free(info, TRUE);
    EVP_KDF_CTX_free(context);
    EVP_KDF_free(kdf);
}

int
HostKeys_Derive(const HostKeys *this, Str id, const uint8_t *key,
                PairKeys *keys)
{
    uint8_t secret[SECRET_BYTES];
    End own = {Str_FromString(this->host), this->public_key};
    End other = {id, key};

    if (derive_secret(this, key, secret) < 0) {
        return ERR_INVALID;
    }
    expand(secret, "request", &own, &other, keys->sent_request);
    expand(secret, "response", &own, &other, keys->received_response);
    expand(secret, "request", &other, &own, keys->received_request);
    expand(secret, "response", &other, &own, keys->sent_response);
    OPENSSL_cleanse(secret, sizeof(secret));
    return 0;
}

/* ---- peers ---------------------------------------------------------- */

static HostPeer *
lookup(const HostKeys *this, Str id)
{
    GString key = {(char *)id.data, id.length, 0};

    return id.length > 0 ? g_hash_table_lookup(this->by_id, &key) : NULL;
}

static HostPeer *
create_peer(Str id, const uint8_t *key)
{
    HostPeer *peer = g_new0(HostPeer, 1);

    peer->id = Str_ToString(id);
    peer->domain = g_string_new(NULL);
    memcpy(peer->key, key, HOST_KEY_BYTES);
    return peer;
}

static bool
is_process(const HostPeer *peer, Str id, const uint8_t *key)
{
    return memcmp(peer->key, key, HOST_KEY_BYTES) == 0 &&
           Str_Equal(Str_FromString(peer->id), id);
}

/* Its sequence numbers are remembered: what it sent before must not run again,
 * nor be denied. */
static void
unlist_peer(HostKeys *this, HostPeer *peer)
{
    guint i;

    g_hash_table_remove(this->by_id, peer->id);
    if (g_ptr_array_find(this->peers, peer, &i)) {
        g_ptr_array_steal_index_fast(this->peers, i);
    }
    if (this->unlisted->len >= UNLISTED_MAX) {
        g_ptr_array_remove_index(this->unlisted, 0);
    }
    peer->unlisted_at = Clock_Now(this->clock);
    g_ptr_array_add(this->unlisted, peer);
}

static int
find_unlisted(const HostKeys *this, Str id, const uint8_t *key)
{
    for (guint i = 0; i < this->unlisted->len; i++) {
        if (is_process(g_ptr_array_index(this->unlisted, i), id, key)) {
            return (int)i;
        }
    }
    return -1;
}

static void
list_peer(HostKeys *this, const ListedHost *host)
{
    int i = find_unlisted(this, host->id, host->entry.key);
    HostPeer *peer = i >= 0 ? g_ptr_array_steal_index(this->unlisted, (guint)i)
                            : create_peer(host->id, host->entry.key);

    peer->unlisted_at = -1;
    g_hash_table_insert(this->by_id, peer->id, peer);
    g_ptr_array_add(this->peers, peer);
}

static void
put_peer(HostKeys *this, const ListedHost *host)
{
    HostPeer *peer = lookup(this, host->id);

    if (peer != NULL && !is_process(peer, host->id, host->entry.key)) {
        unlist_peer(this, peer);
        peer = NULL;
    }
    if (peer == NULL && this->peers->len >= PEERS_MAX) {
        return;
    }
    if (peer == NULL) {
        list_peer(this, host);
        peer = lookup(this, host->id);
    }
    g_string_truncate(peer->domain, 0);
    Str_AppendTo(host->entry.domain, peer->domain);
    peer->address = host->entry.relay;
    peer->address.port = host->entry.forward_port;
    peer->listed = true;
}

void
HostKeys_SetPeers(HostKeys *this, const ListedHost *hosts, size_t count)
{
    for (guint i = 0; i < this->peers->len; i++) {
        ((HostPeer *)g_ptr_array_index(this->peers, i))->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        if (hosts[i].entry.forward_port > 0 &&
            !Str_Equal(hosts[i].id, HostKeys_Host(this))) {
            put_peer(this, &hosts[i]);
        }
    }
    for (guint i = this->peers->len; i > 0; i--) {
        HostPeer *peer = g_ptr_array_index(this->peers, i - 1);

        if (!peer->listed) {
            unlist_peer(this, peer);
        }
    }
}

const GPtrArray *
HostKeys_Peers(const HostKeys *this)
{
    return this->peers;
}

static HostPeer *
with_keys(const HostKeys *this, HostPeer *peer)
{
    if (!peer->derived) {
        peer->derived = HostKeys_Derive(this, Str_FromString(peer->id),
                                        peer->key, &peer->keys) == 0;
    }
    return peer->derived ? peer : NULL;
}

HostPeer *
HostKeys_Find(HostKeys *this, Str id)
{
    HostPeer *peer = lookup(this, id);

    return peer != NULL ? with_keys(this, peer) : NULL;
}

/* ---- processes that are not listed ---------------------------------- */

static void
forget_unlisted(HostKeys *this)
{
    Micros now = Clock_Now(this->clock);

    for (guint i = this->unlisted->len; i > 0; i--) {
        const HostPeer *peer = g_ptr_array_index(this->unlisted, i - 1);
        Micros limit =
            peer->received.highest > 0 ? UNLISTED_TIME_US : CLAIM_TIME_US;

        if (now - peer->unlisted_at > limit) {
            g_ptr_array_remove_index(this->unlisted, i - 1);
        }
    }
}

static bool
may_remember(HostKeys *this)
{
    Micros now = Clock_Now(this->clock);

    if (now - this->second_began >= MICROS_PER_S) {
        this->second_began = now;
        this->second_count = 0;
        forget_unlisted(this);
    }
    return this->unlisted->len < UNLISTED_MAX &&
           this->second_count++ < UNLISTED_MAX_PER_S;
}

HostPeer *
HostKeys_FindUnlisted(HostKeys *this, Str id, const uint8_t *key)
{
    int i = find_unlisted(this, id, key);
    HostPeer *peer;

    if (i >= 0) {
        return with_keys(this, g_ptr_array_index(this->unlisted, (guint)i));
    }
    if (!may_remember(this)) {
        return NULL;
    }
    peer = create_peer(id, key);
    peer->unlisted_at = Clock_Now(this->clock);
    g_ptr_array_add(this->unlisted, peer);
    return with_keys(this, peer);
}

uint64_t
HostKeys_NextSequence(HostKeys *this)
{
    return ++this->sequence;
}
