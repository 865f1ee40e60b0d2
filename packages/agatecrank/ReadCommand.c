#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"

static const Column host_columns[] = {
    {"HOST", "id"},       {"DOMAIN", "domain"}, {"STATE", "state"},
    {"AGE_MS", "age_ms"}, {NULL, NULL},
};

static const Column upstream_columns[] = {
    {"UPSTREAM", "name"},   {"SERVICE", "service"},   {"DOMAIN", "domain"},
    {"ADDRESS", "address"}, {"INFLIGHT", "inflight"}, {"LEAVING", "leaving"},
    {"DRAINED", "drained"}, {"LABELS", "labels"},     {NULL, NULL},
};

static const Column share_columns[] = {
    {"LINE", "line"},           {"SERVICE", "service"},
    {"SHORT", "short"},         {"LIMITED", "limited"},
    {"DEMAND", "demand_slots"}, {"ALLOWANCE", "allowance_slots"},
    {"QUEUED", "queued"},       {"ADMITTED", "admitted"},
    {"REFUSED", "refused"},     {NULL, NULL},
};

/**
 * struct ResourceList_ - list resource of the administration API
 * @columns: table columns; NULL for configuration objects, printed as TOML
 * @has_service_filter: accepts --service
 */
typedef struct ResourceList_ {
    const char *name;
    const char *usage;
    const Column *columns;
    bool has_service_filter;
} ResourceList;

static const ResourceList lists[] = {
    {"hosts", "Lists the hosts of the deployment, as one host sees them.\n",
     host_columns, false},
    {"lines", "Shows your product lines as TOML.\n", NULL, false},
    {"services", "Shows the services as TOML.\n", NULL, false},
    {"callers", "Shows the callers of your lines as TOML.\n", NULL, false},
    {"selectors", "Shows the selectors of your lines as TOML.\n", NULL, false},
    {"upstreams", "Lists upstreams, as one host sees them.\n",
     upstream_columns, true},
    {"shares",
     "Lists demand and allowance of your lines, in slots, on one host.\n",
     share_columns, true},
};

static const ResourceList *
find_list(const char *name)
{
    size_t i = 0;

    while (strcmp(lists[i].name, name) != 0) {
        i++;
    }
    return &lists[i];
}

static void
print_objects(const json_t *items)
{
    size_t index;
    const json_t *item;

    json_array_foreach(items, index, item)
    {
        printf("# changed = %" JSON_INTEGER_FORMAT "\n%s\n",
               json_integer_value(json_object_get(item, "changed")),
               json_string_value(json_object_get(item, "toml")));
    }
}

static void
print_list(const ResourceList *list, const json_t *root, bool json)
{
    const json_t *items = json_object_get(root, "items");
    GString *out;

    if (json) {
        Output_Json(root);
        return;
    }
    if (list->columns == NULL) {
        print_objects(items);
        return;
    }
    out = g_string_new(NULL);
    Output_Table(items, list->columns, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

static int
read_list(const ResourceList *list, const CliSettings *settings,
          const char *service, bool json)
{
    AdminClient *client;
    char *target;
    json_t *root = NULL;
    int code;

    if (service != NULL && !Fields_IsName(Str_FromC(service))) {
        fprintf(stderr, "agatecrank: '%s' is not a valid name\n", service);
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    target = service != NULL
                 ? g_strdup_printf("/v1/%s?service=%s", list->name, service)
                 : g_strdup_printf("/v1/%s", list->name);
    code = AdminClient_Read(client, target, &root);
    if (code == COMMAND_OK) {
        print_list(list, root, json);
    }
    json_decref(root);
    g_free(target);
    AdminClient_Destroy(client);
    return code;
}

int
ReadCommand_Run(int argc, char **argv)
{
    const ResourceList *list = find_list(argv[0]);
    CommonArgs common = CommonArgs_Create();
    struct arg_str *service =
        arg_str0(NULL, "service", "NAME", "list only this service");
    /* Lists that cannot be filtered by service have no --service option. */
    void *table[] = {common.config, common.output, common.help,
                     list->has_service_filter ? (void *)service : common.end,
                     common.end};
    size_t count = list->has_service_filter ? 5 : 4;
    char *usage = g_strconcat(list->usage, COMMAND_READ_EXIT_HELP, NULL);
    CliSettings *settings = NULL;
    int code;

    if (CommonArgs_Parse(&common, argc, argv, table, count, usage, &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        code = read_list(list, settings,
                         service->count > 0 ? service->sval[0] : NULL,
                         CommonArgs_IsJson(&common));
    }
    CliSettings_Destroy(settings);
    g_free(usage);
    if (!list->has_service_filter) {
        free(service);
    }
    arg_freetable(table, count);
    return code;
}

static int
explain(const CliSettings *settings, const char *caller, const char *service,
        bool json)
{
    AdminClient *client;
    char *target;
    json_t *root = NULL;
    GString *out;
    int code;

    if (!Fields_IsName(Str_FromC(caller)) ||
        !Fields_IsName(Str_FromC(service))) {
        fprintf(stderr,
                "agatecrank: CALLER and SERVICE must be valid names\n");
        return COMMAND_USAGE;
    }
    client = AdminClient_Create(settings);
    if (client == NULL) {
        return COMMAND_USAGE;
    }
    target =
        g_strdup_printf("/v1/explain?caller=%s&service=%s", caller, service);
    code = AdminClient_Read(client, target, &root);
    if (code == COMMAND_OK && json) {
        Output_Json(root);
    }
    else if (code == COMMAND_OK) {
        out = g_string_new(NULL);
        Output_Fields(root, out);
        Output_Table(json_object_get(root, "upstreams"), upstream_columns,
                     out);
        fputs(out->str, stdout);
        g_string_free(out, TRUE);
    }
    json_decref(root);
    g_free(target);
    AdminClient_Destroy(client);
    return code;
}

int
ExplainCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *caller =
        arg_str1(NULL, NULL, "CALLER", "caller of one of your lines");
    struct arg_str *service = arg_str1(NULL, NULL, "SERVICE", "service");
    void *table[] = {common.config, common.output, common.help,
                     caller,        service,       common.end};
    CliSettings *settings = NULL;
    int code;

    if (CommonArgs_Parse(&common, argc, argv, table, G_N_ELEMENTS(table),
                         "Shows the selector that admits CALLER to SERVICE, "
                         "its deadline,\nand the upstreams that a host may "
                         "select.\n" COMMAND_READ_EXIT_HELP,
                         &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        code = explain(settings, caller->sval[0], service->sval[0],
                       CommonArgs_IsJson(&common));
    }
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
