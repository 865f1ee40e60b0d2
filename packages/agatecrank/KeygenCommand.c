#include <argtable2.h>
#include <fcntl.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "Command.h"
#include "PeerKeys.h"
#include "Publication.h"

/* Creates the file; an existing key is never overwritten. */
static int
write_secret(const char *path, const uint8_t secret[32])
{
    GString *text = g_string_new(NULL);
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
    bool written;

    Publication_WriteBase64(secret, 32, text);
    g_string_append_c(text, '\n');
    written = fd >= 0 && write(fd, text->str, text->len) == (ssize_t)text->len;
    if (fd >= 0) {
        written = close(fd) == 0 && written;
    }
    OPENSSL_cleanse(text->str, text->len);
    g_string_free(text, TRUE);
    return written ? 0 : ERR_IO;
}

static int
generate_key(const char *path)
{
    uint8_t secret[32];
    Key32 public_key;
    GString *text;
    int code;

    if (RAND_priv_bytes(secret, sizeof(secret)) != 1 ||
        Publication_DerivePublicKey(secret, &public_key) < 0) {
        fprintf(stderr, "agatecrank: cannot generate a random key pair\n");
        return COMMAND_UNAVAILABLE;
    }
    code = write_secret(path, secret);
    OPENSSL_cleanse(secret, sizeof(secret));
    if (code < 0) {
        fprintf(stderr, "agatecrank: %s cannot be written or already exists\n",
                path);
        return COMMAND_USAGE;
    }
    text = g_string_new(NULL);
    Publication_WriteBase64(public_key.bytes, 32, text);
    printf("%s\n", text->str);
    g_string_free(text, TRUE);
    return COMMAND_OK;
}

static int
generate_peer_keys(const char *secret_file)
{
    char *public_file = g_strconcat(secret_file, ".pub", NULL);
    Error error;
    int code = COMMAND_OK;

    if (PeerKeys_Generate(public_file, secret_file, &error) < 0) {
        Command_PrintError(&error);
        code = COMMAND_USAGE;
    }
    else {
        printf("%s\n", public_file);
    }
    g_free(public_file);
    return code;
}

int
KeygenCommand_Run(int argc, char **argv)
{
    struct arg_lit *peer =
        arg_lit0(NULL, "peer", "CURVE key pair for connections between hosts");
    struct arg_file *out = arg_file1(NULL, NULL, "FILE", "secret key file");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {peer, out, help, end};
    int errors = arg_parse(argc, argv, table);
    int code = COMMAND_USAGE;

    if (help->count > 0) {
        printf(
            "Usage: agatecrank keygen [--peer] FILE\n\nWrites a new Ed25519 "
            "secret key to FILE (mode 0600)\nand prints the public key. "
            "With --peer, writes a CURVE key pair\nto FILE and FILE.pub and "
            "prints the name of the public key file.\n");
        code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, "agatecrank keygen");
    }
    else {
        code = peer->count > 0 ? generate_peer_keys(out->filename[0])
                               : generate_key(out->filename[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
