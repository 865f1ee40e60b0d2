#ifndef AGATECRANK_AGATECRANK_CLISETTINGS_H
#define AGATECRANK_AGATECRANK_CLISETTINGS_H

#include "Error.h"
#include "Fields.h"

/** struct CliSettings_ - settings file of the agatecrank command */
typedef struct CliSettings_ {
    Str log_url;
    Str host_list_url;
    StrList admin_urls; /* ADDRESS:PORT of the administration APIs */
    Str admin_ca_file;  /* the APIs use TLS if this is given */
    Str operator_name;
    Str key_file; /* Ed25519 secret key, base64, one line */
    Key32List bootstrap_keys;
    uint32_t timeout_ms;
    Arena *arena;
} CliSettings;

/** CliSettings_ReadFile() - NULL with @diagnostics filled if anything is wrong */
CliSettings *CliSettings_ReadFile(const char *path, Diagnostics *diagnostics);

/** CliSettings_Destroy() - release; NULL is accepted */
void CliSettings_Destroy(CliSettings *this);

/**
 * CliSettings_ReadKey() - read a secret key file
 * @secret: receives 32 bytes; wipe it after use
 */
int CliSettings_ReadKey(const char *path, uint8_t secret[32], Error *error);

#endif
