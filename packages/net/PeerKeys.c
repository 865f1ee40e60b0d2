#include "PeerKeys.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <openssl/crypto.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#define ERROR_STEP "peer-keys"
#define FILE_BYTES_MAX ((size_t)128 * 1024)

static int
set_file_error(Error *error, int code, const char *file, const char *text)
{
    return Error_Set(error, code, ERROR_STEP, STR(""), "%s: %s", file, text);
}

/* zmq_z85_decode() reads up to the first zero byte and accepts any character,
 * so length and alphabet are checked here. */
static int
decode_key(Str text, PeerKey *key)
{
    static const char alphabet[] =
        "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^"
        "!/*?&<>()[]{}@%$#";
    char copy[PEER_KEY_Z85_LENGTH + 1];
    int ok = 1;

    if (text.length != PEER_KEY_Z85_LENGTH) {
        return ERR_PARSE;
    }
    memcpy(copy, text.data, PEER_KEY_Z85_LENGTH);
    copy[PEER_KEY_Z85_LENGTH] = 0;
    for (size_t i = 0; i < PEER_KEY_Z85_LENGTH; i++) {
        ok &= copy[i] != 0 && strchr(alphabet, copy[i]) != NULL;
    }
    if (ok) {
        ok = zmq_z85_decode(key->bytes, copy) != NULL;
    }
    OPENSSL_cleanse(copy, sizeof(copy));
    return ok ? 0 : ERR_PARSE;
}

static int
read_file(const char *file, char **text, size_t *length, Error *error)
{
    GError *failure = NULL;
    gsize size;

    if (!g_file_get_contents(file, text, &size, &failure)) {
        set_file_error(error, ERR_IO, file, failure->message);
        g_error_free(failure);
        return ERR_IO;
    }
    if (size > FILE_BYTES_MAX) {
        g_free(*text);
        return set_file_error(error, ERR_LIMIT, file,
                              "the file is longer than 128 KiB");
    }
    *length = size;
    return 0;
}

static Str
trim_line(Str line)
{
    if (line.length > 0 && line.data[line.length - 1] == '\r') {
        line.length--;
    }
    return Str_Trim(line);
}

static int
read_key(const char *file, PeerKey *key, Error *error)
{
    char *text;
    size_t length = 0;
    Str rest;
    Str line = {NULL, 0};
    int code = read_file(file, &text, &length, error);

    if (code < 0) {
        return code;
    }
    rest = (Str){text, length};
    Str_Split(&rest, '\n', &line);
    code = decode_key(trim_line(line), key);
    if (code == 0 && rest.length > 0) {
        code = ERR_PARSE;
    }
    OPENSSL_cleanse(text, length);
    g_free(text);
    return code == 0
               ? 0
               : set_file_error(error, code, file,
                                "expected one line of 40 Z85 characters");
}

static int
read_allow_list(const char *file, PeerKeys *keys, Error *error)
{
    char *text;
    size_t length = 0;
    size_t line_number = 0;
    Str rest;
    Str line;
    int code = read_file(file, &text, &length, error);

    if (code < 0) {
        return code;
    }
    keys->allowed = g_new0(PeerKey, PEER_KEYS_MAX);
    rest = (Str){text, length};
    while (code == 0 && Str_Split(&rest, '\n', &line)) {
        line_number++;
        line = trim_line(line);
        if (line.length == 0 || Str_StartsWith(line, STR("# "))) {
            continue;
        }
        code = keys->allowed_count == PEER_KEYS_MAX
                   ? ERR_LIMIT
                   : decode_key(line, &keys->allowed[keys->allowed_count]);
        keys->allowed_count += code == 0;
    }
    g_free(text);
    if (code < 0) {
        return Error_Set(error, code, ERROR_STEP, STR(""),
                         "%s:%zu: expected at most %d lines of 40 Z85 "
                         "characters",
                         file, line_number, PEER_KEYS_MAX);
    }
    return 0;
}

/* Rejects a secret key of another pair, which would otherwise only be noticed
 * by failing handshakes. */
static int
check_pair(const PeerKeys *keys, const char *file, Error *error)
{
    char secret[PEER_KEY_Z85_LENGTH + 1];
    char derived[PEER_KEY_Z85_LENGTH + 1];
    PeerKey key;
    int code = 0;

    zmq_z85_encode(secret, keys->secret_key.bytes, PEER_KEY_BYTES);
    if (zmq_curve_public(derived, secret) != 0) {
        code = set_file_error(error, ERR_UNAVAILABLE, file,
                              "the ZeroMQ library has no CURVE support");
    }
    else {
        zmq_z85_decode(key.bytes, derived);
        if (memcmp(key.bytes, keys->public_key.bytes, PEER_KEY_BYTES) != 0) {
            code =
                set_file_error(error, ERR_INVALID, file,
                               "the secret key does not belong to the public "
                               "key");
        }
    }
    OPENSSL_cleanse(secret, sizeof(secret));
    return code;
}

PeerKeys *
PeerKeys_Read(const char *public_file, const char *secret_file,
              const char *allowed_file, Error *error)
{
    PeerKeys *this = g_new0(PeerKeys, 1);

    if (read_key(public_file, &this->public_key, error) < 0 ||
        read_key(secret_file, &this->secret_key, error) < 0 ||
        read_allow_list(allowed_file, this, error) < 0 ||
        check_pair(this, secret_file, error) < 0) {
        PeerKeys_Destroy(this);
        return NULL;
    }
    return this;
}

void
PeerKeys_Destroy(PeerKeys *this)
{
    if (this == NULL) {
        return;
    }
    OPENSSL_cleanse(&this->secret_key, sizeof(this->secret_key));
    g_free(this->allowed);
    g_free(this);
}

bool
PeerKeys_Allows(const PeerKeys *this, const uint8_t *public_key)
{
    for (size_t i = 0; i < this->allowed_count; i++) {
        if (memcmp(this->allowed[i].bytes, public_key, PEER_KEY_BYTES) == 0) {
            return true;
        }
    }
    return false;
}

static int
write_key(const char *file, const char *key, mode_t mode, Error *error)
{
    char line[PEER_KEY_Z85_LENGTH + 2];
    int fd = open(file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    ssize_t written;

    if (fd < 0) {
        return set_file_error(error, errno == EEXIST ? ERR_CONFLICT : ERR_IO,
                              file, g_strerror(errno));
    }
    g_snprintf(line, sizeof(line), "%s\n", key);
    written = write(fd, line, PEER_KEY_Z85_LENGTH + 1);
    OPENSSL_cleanse(line, sizeof(line));
    if (close(fd) != 0 || written != PEER_KEY_Z85_LENGTH + 1) {
        unlink(file);
        return set_file_error(error, ERR_IO, file, "could not write the key");
    }
    return 0;
}

int
PeerKeys_Generate(const char *public_file, const char *secret_file,
                  Error *error)
{
    char public_key[PEER_KEY_Z85_LENGTH + 1];
    char secret_key[PEER_KEY_Z85_LENGTH + 1];
    int code;

    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        return set_file_error(error, ERR_UNAVAILABLE, secret_file,
                              "the ZeroMQ library has no CURVE support");
    }
    code = write_key(secret_file, secret_key, 0600, error);
    OPENSSL_cleanse(secret_key, sizeof(secret_key));
    if (code < 0) {
        return code;
    }
    code = write_key(public_file, public_key, 0644, error);
    if (code < 0) {
        unlink(secret_file);
    }
    return code;
}
