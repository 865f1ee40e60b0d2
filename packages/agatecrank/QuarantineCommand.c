#include <stdio.h>
#include <string.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"

#define FINGERPRINT_DIGITS 32

static const Column entry_columns[] = {
    {"LINE", "line"},     {"FINGERPRINT", "fingerprint"},
    {"LOSSES", "losses"}, {"REFUSED", "refused"},
    {"AGE_MS", "age_ms"}, {NULL, NULL},
};

static const Column release_columns[] = {
    {"ADDRESS", "address"},
    {"RESULT", "result"},
    {"TEXT", "text"},
    {NULL, NULL},
};

static void
print_table(json_t *root, const Column *columns, bool json)
{
    GString *out;

    if (json) {
        Output_Json(root);
        return;
    }
    out = g_string_new(NULL);
    Output_Table(json_object_get(root, "items"), columns, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

static int
list(AdminClient *client, bool json)
{
    json_t *root = NULL;
    int code = AdminClient_Read(client, "/v1/quarantine", &root);

    if (code == COMMAND_OK) {
        print_table(root, entry_columns, json);
    }
    json_decref(root);
    return code;
}

static const char *
release_result(const AdminResponse *response)
{
    switch (response->status) {
    case 200:
        return "released";
    case 404:
        return "not-found";
    case 0:
        return response->maybe_sent ? "not-known" : "no answer";
    default:
        return "refused";
    }
}

/* Each host has its own quarantine, so the result depends on all responses. */
static int
release_code(const AdminResponse *responses, size_t count)
{
    size_t released = 0, not_found = 0, unconfirmed = 0, refused = 0;

    for (size_t i = 0; i < count; i++) {
        released += responses[i].status == 200;
        not_found += responses[i].status == 404;
        unconfirmed += responses[i].status == 0 && responses[i].maybe_sent;
        refused += responses[i].status != 200 && responses[i].status != 404 &&
                   responses[i].status != 0;
    }
    if (released > 0 && released + not_found == count) {
        return COMMAND_OK;
    }
    if (released > 0 || unconfirmed > 0) {
        return COMMAND_UNKNOWN;
    }
    return refused > 0 || not_found == count ? COMMAND_REFUSED
                                             : COMMAND_UNAVAILABLE;
}

static int
release(AdminClient *client, const char *line, const char *fingerprint,
        bool json)
{
    size_t count = AdminClient_HostCount(client);
    json_t *items = json_array();
    json_t *root = json_pack("{s:o}", "items", items);
    char *body = g_strdup_printf("{\"line\":\"%s\",\"fingerprint\":\"%s\"}",
                                 line, fingerprint);
    AdminResponse *responses;
    int code;

    fprintf(stderr, "querying %zu hosts\n", count);
    responses =
        AdminClient_CallAll(client, "POST", "/v1/quarantine/release", body);
    for (size_t i = 0; i < count; i++) {
        json_t *item = json_object();

        json_object_set_new(
            item, "address",
            json_stringn(responses[i].host.data, responses[i].host.length));
        json_object_set_new(item, "result",
                            json_string(release_result(&responses[i])));
        if (responses[i].status != 200) {
            json_object_set_new(
                item, "text",
                json_string(AdminResponse_Reason(&responses[i])));
        }
        json_array_append_new(items, item);
    }
    code = release_code(responses, count);
    print_table(root, release_columns, json);
    if (code == COMMAND_UNKNOWN) {
        fprintf(stderr,
                "Not every host confirmed the release; it can be retried.\n");
    }
    AdminResponses_Free(responses, count);
    json_decref(root);
    g_free(body);
    return code;
}

static bool
is_fingerprint(const char *text)
{
    return strlen(text) == FINGERPRINT_DIGITS &&
           strspn(text, "0123456789abcdefABCDEF") == FINGERPRINT_DIGITS;
}

static int
run(const CliSettings *settings, const struct arg_str *arguments, bool json)
{
    bool is_list =
        arguments->count == 1 && strcmp(arguments->sval[0], "list") == 0;
    bool is_release = arguments->count == 3 &&
                      strcmp(arguments->sval[0], "release") == 0 &&
                      Fields_IsName(Str_FromC(arguments->sval[1])) &&
                      is_fingerprint(arguments->sval[2]);
    AdminClient *client;
    int code;

    if (!is_list && !is_release) {
        fprintf(stderr, "agatecrank: expected 'list', or 'release LINE "
                        "FINGERPRINT' with a name and 32 hexadecimal "
                        "digits\n");
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    code = is_list
               ? list(client, json)
               : release(client, arguments->sval[1], arguments->sval[2], json);
    AdminClient_Destroy(client);
    return code;
}

int
QuarantineCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *arguments = arg_strn(
        NULL, NULL, "list | release LINE FINGERPRINT", 1, 3, "operation");
    void *table[] = {common.config, common.output, common.help, arguments,
                     common.end};
    CliSettings *settings = NULL;
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Lists the requests of your lines that a host suspects or refuses "
            "because upstreams\nfailed while running them; or releases one "
            "of them on every host in\nadmin_urls.\n" COMMAND_CHANGE_EXIT_HELP,
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        code = run(settings, arguments, CommonArgs_IsJson(&common));
    }
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
