#include <stdio.h>
#include <string.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"

static const Column host_columns[] = {
    {"ADDRESS", "address"},
    {"HOST", "host"},
    {"READY", "ready"},
    {"OFFSET", "config_offset"},
    {"LOG", "log_up"},
    {"LOG_AGE_MS", "log_age_ms"},
    {"OPEN", "open_requests"},
    {"REASON", "reason"},
    {NULL, NULL},
};

static const Column verdict_columns[] = {
    {"ADDRESS", "address"}, {"VERDICT", "verdict"}, {"OFFSET", "offset"},
    {"TEXT", "text"},       {NULL, NULL},
};

/* What the answers say together; every host reaches the same verdict. */
typedef struct Summary_ {
    size_t answered;
    size_t silent;
    size_t unknown;
    size_t accepted;
    size_t refused;
    size_t denied;
} Summary;

static void
count_answer(const AdminResponse *answer, Summary *summary)
{
    const char *verdict =
        json_string_value(json_object_get(answer->body, "verdict"));

    if (answer->status == 200) {
        summary->answered++;
        summary->accepted +=
            verdict != NULL && strcmp(verdict, "accepted") == 0;
        summary->refused +=
            verdict != NULL && strcmp(verdict, "accepted") != 0;
    }
    else if (answer->status == 404) {
        summary->answered++;
        summary->unknown++;
    }
    else if (answer->status == 401) {
        summary->denied++;
    }
    else {
        summary->silent++;
    }
}

static json_t *
make_item(const AdminResponse *answer, bool publication)
{
    json_t *item = json_object();

    json_object_set_new(item, "address",
                        json_stringn(answer->host.data, answer->host.length));
    if (answer->status == 200) {
        json_object_update(item, answer->body);
        return item;
    }
    if (publication) {
        json_object_set_new(
            item, "verdict",
            json_string(answer->status == 404 ? "not-known" : "no answer"));
    }
    json_object_set_new(item, publication ? "text" : "reason",
                        json_string(AdminResponse_Reason(answer)));
    return item;
}

static int
exit_code(const Summary *summary, bool publication)
{
    if (summary->denied > 0) {
        return COMMAND_REFUSED;
    }
    if (!publication) {
        return summary->silent > 0 ? COMMAND_UNAVAILABLE : COMMAND_OK;
    }
    if (summary->accepted > 0) {
        return COMMAND_OK;
    }
    if (summary->refused > 0) {
        return COMMAND_REFUSED;
    }
    return summary->answered > 0 ? COMMAND_UNKNOWN : COMMAND_UNAVAILABLE;
}

static int
ask_hosts(AdminClient *client, const char *target, bool publication, bool json)
{
    size_t count = AdminClient_HostCount(client);
    AdminResponse *answers;
    json_t *items = json_array();
    json_t *root;
    Summary summary = {0};
    GString *out;

    fprintf(stderr, "asking %zu hosts\n", count);
    answers = AdminClient_CallAll(client, "GET", target, "");
    for (size_t i = 0; i < count; i++) {
        count_answer(&answers[i], &summary);
        json_array_append_new(items, make_item(&answers[i], publication));
    }
    AdminResponses_Free(answers, count);
    root = json_pack("{s:o}", "items", items);
    if (json) {
        Output_Json(root);
    }
    else {
        out = g_string_new(NULL);
        Output_Table(items, publication ? verdict_columns : host_columns, out);
        fputs(out->str, stdout);
        g_string_free(out, TRUE);
    }
    json_decref(root);
    return exit_code(&summary, publication);
}

static int
status(const CliSettings *settings, const char *author, const char *id,
       bool json)
{
    AdminClient *client;
    char *target;
    int code;

    if (id != NULL &&
        (!Fields_IsName(Str_FromC(id)) || !Fields_IsName(Str_FromC(author)))) {
        fprintf(stderr, "agatecrank: ID and operator must be names\n");
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    target = id != NULL ? g_strdup_printf("/v1/publications/%s/%s", author, id)
                        : g_strdup("/v1/status");
    code = ask_hosts(client, target, id != NULL, json);
    g_free(target);
    AdminClient_Destroy(client);
    return code;
}

int
StatusCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *author = arg_str0(NULL, "author", "NAME",
                                      "operator who published ID: yourself");
    struct arg_str *id = arg_str0(NULL, NULL, "ID", "id of a publication");
    void *table[] = {common.config, common.output, author, common.help, id,
                     common.end};
    CliSettings *settings = NULL;
    char *own = NULL;
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Asks every host in admin_urls for its state, or what became of "
            "publication ID.\n\nExit codes without ID: 0 all hosts answered, "
            "2 a host denied the call,\n4 a host did not answer. With ID: 0 "
            "accepted, 2 refused or denied, 3 no host\nknows it yet, 4 no "
            "host answered. 1 wrong options or settings.\n\n",
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        own = g_strndup(settings->operator_name.data,
                        settings->operator_name.length);
        code = status(settings, author->count > 0 ? author->sval[0] : own,
                      id->count > 0 ? id->sval[0] : NULL,
                      CommonArgs_IsJson(&common));
    }
    g_free(own);
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
