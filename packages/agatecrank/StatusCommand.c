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

/** struct Summary_ - response counts; every host reaches the same verdict */
typedef struct Summary_ {
    size_t responded;
    size_t unavailable;
    size_t not_known;
    size_t accepted;
    size_t refused;
    size_t denied;
} Summary;

static void
count_response(const AdminResponse *response, Summary *summary)
{
    const char *verdict =
        json_string_value(json_object_get(response->body, "verdict"));

    if (response->status == 200) {
        summary->responded++;
        summary->accepted +=
            verdict != NULL && strcmp(verdict, "accepted") == 0;
        summary->refused +=
            verdict != NULL && strcmp(verdict, "accepted") != 0;
    }
    else if (response->status == 404) {
        summary->responded++;
        summary->not_known++;
    }
    else if (response->status == 401) {
        summary->denied++;
    }
    else {
        summary->unavailable++;
    }
}

static json_t *
make_item(const AdminResponse *response, bool publication)
{
    json_t *item = json_object();

    json_object_set_new(
        item, "address",
        json_stringn(response->host.data, response->host.length));
    if (response->status == 200) {
        json_object_update(item, response->body);
        return item;
    }
    if (publication) {
        json_object_set_new(
            item, "verdict",
            json_string(response->status == 404 ? "not-known" : "no answer"));
    }
    json_object_set_new(item, publication ? "text" : "reason",
                        json_string(AdminResponse_Reason(response)));
    return item;
}

static int
exit_code(const Summary *summary, bool publication)
{
    if (summary->denied > 0) {
        return COMMAND_REFUSED;
    }
    if (!publication) {
        return summary->unavailable > 0 ? COMMAND_UNAVAILABLE : COMMAND_OK;
    }
    if (summary->accepted > 0) {
        return COMMAND_OK;
    }
    if (summary->refused > 0) {
        return COMMAND_REFUSED;
    }
    return summary->responded > 0 ? COMMAND_UNKNOWN : COMMAND_UNAVAILABLE;
}

static int
query_hosts(AdminClient *client, const char *target, bool publication,
            bool json)
{
    size_t count = AdminClient_HostCount(client);
    AdminResponse *responses;
    json_t *items = json_array();
    json_t *root;
    Summary summary = {0};
    GString *out;

    fprintf(stderr, "querying %zu hosts\n", count);
    responses = AdminClient_CallAll(client, "GET", target, "");
    for (size_t i = 0; i < count; i++) {
        count_response(&responses[i], &summary);
        json_array_append_new(items, make_item(&responses[i], publication));
    }
    AdminResponses_Free(responses, count);
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
run(const CliSettings *settings, const char *author, const char *id, bool json)
{
    AdminClient *client;
    char *target;
    int code;

    if (id != NULL &&
        (!Fields_IsName(Str_FromC(id)) || !Fields_IsName(Str_FromC(author)))) {
        fprintf(stderr, "agatecrank: ID and operator must be valid names\n");
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    target = id != NULL ? g_strdup_printf("/v1/publications/%s/%s", author, id)
                        : g_strdup("/v1/status");
    code = query_hosts(client, target, id != NULL, json);
    g_free(target);
    AdminClient_Destroy(client);
    return code;
}

int
StatusCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *author = arg_str0(
        NULL, "author", "NAME", "operator who published ID (default: you)");
    struct arg_str *id = arg_str0(NULL, NULL, "ID", "id of a publication");
    void *table[] = {common.config, common.output, author, common.help, id,
                     common.end};
    CliSettings *settings = NULL;
    char *own = NULL;
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Queries every host in admin_urls for its state, or for the "
            "verdict on publication\nID.\n\nExit codes without ID: 0 all "
            "hosts answered, 2 a host denied the call,\n4 a host did not "
            "answer. With ID: 0 "
            "accepted, 2 refused or denied, 3 no host\nknows it yet, 4 no "
            "host answered. 1 wrong options or settings.\n\n",
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        own = g_strndup(settings->operator_name.data,
                        settings->operator_name.length);
        code = run(settings, author->count > 0 ? author->sval[0] : own,
                   id->count > 0 ? id->sval[0] : NULL,
                   CommonArgs_IsJson(&common));
    }
    g_free(own);
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
