#include <stdio.h>
#include <string.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"

#define FINGERPRINT_DIGITS 32

static const Column columns[] = {
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
print_items(json_t *root, const Column *shown, bool json)
{
    GString *out;

    if (json) {
        Output_Json(root);
        return;
    }
    out = g_string_new(NULL);
    Output_Table(json_object_get(root, "items"), shown, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

static int
list(AdminClient *client, bool json)
{
    json_t *root = NULL;
    int code = AdminClient_Read(client, "/v1/quarantine", &root);

    if (code == COMMAND_OK) {
        print_items(root, columns, json);
    }
    json_decref(root);
    return code;
}

static const char *
release_result(const AdminResponse *answer)
{
    switch (answer->status) {
    case 200:
        return "released";
    case 404:
        return "not-found";
    case 0:
        return answer->maybe_sent ? "not-known" : "no answer";
    default:
        return "refused";
    }
}

/* The hosts hold the entry each for itself, so all are asked. */
static int
release_code(const AdminResponse *answers, size_t count)
{
    size_t released = 0, absent = 0, unknown = 0, refused = 0;

    for (size_t i = 0; i < count; i++) {
        released += answers[i].status == 200;
        absent += answers[i].status == 404;
        unknown += answers[i].status == 0 && answers[i].maybe_sent;
        refused += answers[i].status != 200 && answers[i].status != 404 &&
                   answers[i].status != 0;
    }
    if (released > 0 && released + absent == count) {
        return COMMAND_OK;
    }
    if (released > 0 || unknown > 0) {
        return COMMAND_UNKNOWN;
    }
    return refused > 0 || absent == count ? COMMAND_REFUSED
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
    AdminResponse *answers;
    int code;

    fprintf(stderr, "asking %zu hosts\n", count);
    answers =
        AdminClient_CallAll(client, "POST", "/v1/quarantine/release", body);
    for (size_t i = 0; i < count; i++) {
        json_t *item = json_object();

        json_object_set_new(
            item, "address",
            json_stringn(answers[i].host.data, answers[i].host.length));
        json_object_set_new(item, "result",
                            json_string(release_result(&answers[i])));
        if (answers[i].status != 200) {
            json_object_set_new(
                item, "text", json_string(AdminResponse_Reason(&answers[i])));
        }
        json_array_append_new(items, item);
    }
    code = release_code(answers, count);
    print_items(root, release_columns, json);
    if (code == COMMAND_UNKNOWN) {
        fprintf(stderr, "Not all hosts have confirmed; it may be repeated.\n");
    }
    AdminResponses_Free(answers, count);
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
run(const CliSettings *settings, const struct arg_str *words, bool json)
{
    bool lists = words->count == 1 && strcmp(words->sval[0], "list") == 0;
    bool releases = words->count == 3 &&
                    strcmp(words->sval[0], "release") == 0 &&
                    Fields_IsName(Str_FromC(words->sval[1])) &&
                    is_fingerprint(words->sval[2]);
    AdminClient *client;
    int code;

    if (!lists && !releases) {
        fprintf(stderr, "agatecrank: give 'list', or 'release LINE "
                        "FINGERPRINT' with a name and 32 digits\n");
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    code = lists ? list(client, json)
                 : release(client, words->sval[1], words->sval[2], json);
    AdminClient_Destroy(client);
    return code;
}

int
QuarantineCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *words = arg_strn(
        NULL, NULL, "list | release LINE FINGERPRINT", 1, 3, "what to do");
    void *table[] = {common.config, common.output, common.help, words,
                     common.end};
    CliSettings *settings = NULL;
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Lists the requests of your lines that hosts suspect or refuse "
            "because upstreams\nwere lost while they ran, as one host knows "
            "them; or lets one run again on\nevery host in "
            "admin_urls.\n" COMMAND_CHANGE_EXIT_HELP,
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        code = run(settings, words, CommonArgs_IsJson(&common));
    }
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
