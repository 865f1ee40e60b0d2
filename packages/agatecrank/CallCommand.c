#include <stdio.h>

#include "AdminClient.h"
#include "Command.h"

/* Without a response, the outcome is known only for a read, or if nothing was
 * sent. */
static int
exit_code(const AdminResponse *response, bool is_read)
{
    if (response->status == 0) {
        return response->maybe_sent && !is_read ? COMMAND_UNKNOWN
                                                : COMMAND_UNAVAILABLE;
    }
    if (response->status == 200) {
        return COMMAND_OK;
    }
    return response->status >= 500 ? COMMAND_UNAVAILABLE : COMMAND_REFUSED;
}

static int
call(const CliSettings *settings, const char *method, const char *target,
     const char *body)
{
    AdminClient *client = AdminClient_Create(settings);
    AdminResponse *response;
    int code;

    if (client == NULL) {
        return COMMAND_USAGE;
    }
    response = AdminClient_Call(client, 0, method, target, body);
    if (response->status == 0) {
        Command_PrintError(&response->error);
    }
    else {
        fprintf(stderr, "status %d\n", response->status);
        fputs(response->text->str, stdout);
    }
    code = exit_code(response, g_str_equal(method, "GET"));
    AdminResponses_Free(response, 1);
    AdminClient_Destroy(client);
    return code;
}

int
CallCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *method = arg_str1(NULL, NULL, "METHOD", "GET or POST");
    struct arg_str *target = arg_str1(NULL, NULL, "PATH", "path and query");
    struct arg_str *body = arg_str0(NULL, NULL, "BODY", "JSON");
    void *table[] = {common.config, common.output, common.help, method,
                     target,        body,          common.end};
    CliSettings *settings = NULL;
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Sends a signed call to the first host in admin_urls. Prints the "
            "HTTP status on\nstandard error and the unchanged body on "
            "standard output.\n" COMMAND_CHANGE_EXIT_HELP,
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL && target->sval[0][0] != '/') {
        fprintf(stderr, "agatecrank: PATH must begin with /\n");
        code = COMMAND_USAGE;
    }
    else if (settings != NULL) {
        code = call(settings, method->sval[0], target->sval[0],
                    body->count > 0 ? body->sval[0] : "");
    }
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
