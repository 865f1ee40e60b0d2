#include "CliSettings.h"

#include <glib.h>
#include <openssl/crypto.h>
#include <stddef.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 10000

#define OFFSET(member) offsetof(CliSettings, member)

static const Field fields[] = {
    {"log_url", FIELD_URL, OFFSET(log_url), false, 0, 0, NULL},
    {"host_list_url", FIELD_URL, OFFSET(host_list_url), false, 0, 0, NULL},
    {"admin_urls", FIELD_ENDPOINTS, OFFSET(admin_urls), false, 0, 0, NULL},
    {"admin_ca_file", FIELD_PATH, OFFSET(admin_ca_file), false, 0, 0, NULL},
    {"operator", FIELD_NAME, OFFSET(operator_name), false, 0, 0, NULL},
    {"key_file", FIELD_PATH, OFFSET(key_file), false, 0, 0, NULL},
    {"bootstrap_keys", FIELD_KEYS, OFFSET(bootstrap_keys), false, 0, 0, NULL},
    {"timeout_ms", FIELD_U32, OFFSET(timeout_ms), false, 100, 600000, NULL},
    {NULL, 0, 0, false, 0, 0, NULL},
};

CliSettings *
CliSettings_ReadFile(const char *path, Diagnostics *diagnostics)
{
    CliSettings *this = g_new0(CliSettings, 1);
    GError *error = NULL;
    char *text = NULL;
    gsize length = 0;
    Toml *toml = NULL;

    this->arena = Arena_Create();
    this->timeout_ms = TIMEOUT_DEFAULT_MS;
    if (!g_file_get_contents(path, &text, &length, &error)) {
        Diagnostics_Add(diagnostics, 0, 0, STR(""), "%s", error->message);
        g_error_free(error);
    }
    else {
        TomlError toml_error;

        toml = Toml_Parse((Str){text, length}, &toml_error);
        if (toml == NULL) {
            Diagnostics_Add(diagnostics, toml_error.line, toml_error.column,
                            STR(""), "%s", toml_error.text);
        }
    }
    if (toml != NULL) {
        Fields_Read(fields, Toml_Root(toml), STR(""), this, this->arena,
                    diagnostics);
        Toml_Destroy(toml);
    }
    g_free(text);
    if (Diagnostics_Count(diagnostics) > 0) {
        CliSettings_Destroy(this);
        return NULL;
    }
    return this;
}

void
CliSettings_Destroy(CliSettings *this)
{
    if (this == NULL) {
        return;
    }
    Arena_Destroy(this->arena);
    g_free(this);
}

int
CliSettings_ReadKey(const char *path, uint8_t secret[32], Error *error)
{
    char *text = NULL;
    gsize length = 0;
    Key32 key;
    bool valid;

    if (!g_file_get_contents(path, &text, &length, NULL)) {
        return Error_Set(error, ERR_IO, "read-key", Str_FromC(path),
                         "cannot read the key file");
    }
    g_strchomp(text);
    valid = Key32_ParseBase64(Str_FromC(text), &key);
    memcpy(secret, key.bytes, 32);
    OPENSSL_cleanse(text, length);
    OPENSSL_cleanse(&key, sizeof(key));
    g_free(text);
    if (!valid) {
        return Error_Set(error, ERR_PARSE, "read-key", Str_FromC(path),
                         "the key file must contain 32 bytes in base64");
    }
    return 0;
}
