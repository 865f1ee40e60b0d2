#ifndef AGATECRANK_AGATECRANK_CLISETTINGS_H
#define AGATECRANK_AGATECRANK_CLISETTINGS_H

#include "Error.h"
#include "Fields.h"

/** struct CliSettings_ - settings file of the agatecrank command */
typedef struct CliSettings_ {
    Str log_url;
    Str host_list_url;
    StrList admin_urls; /* ADDRESS:PORT of the administration APIs */
    Str admin_ca_file;  /* enables TLS for the APIs if set */
    Str operator_name;
    Str key_file; /* Ed25519 secret key, base64, one line */
    Key32List bootstrap_keys;
    uint32_t timeout_ms;
    Arena *arena;
} CliSettings;

/** CliSettings_ReadFile() - NULL with @diagnostics filled on any error */
CliSettings *CliSettings_ReadFile(const char *path, Diagnostics *diagnostics);

/** CliSettings_Destroy() - release the settings; NULL is accepted */
void CliSettings_Destroy(CliSettings *this);

/**
 * CliSettings_ReadKey() - read a secret key file
 * @secret: receives 32 bytes; the caller clears them after use
 *
 * Return: 0, ERR_IO if the file cannot be read, or ERR_PARSE if it does not
 * hold base64 of 32 bytes.
 */
int CliSettings_ReadKey(const char *path, uint8_t secret[32], Error *error);

#endif
