#include <stdio.h>

#include "Command.h"
#include "Output.h"
#include "Publisher.h"

#define LIMIT_DEFAULT 50

static const Column verdict_columns[] = {
    {"OFFSET", "offset"},   {"AUTHOR", "author"}, {"ID", "id"},
    {"VERDICT", "verdict"}, {"TEXT", "text"},     {NULL, NULL},
};

static void
collect_author(const ConfigState *state, Str author, GPtrArray *verdicts)
{
    ConfigVerdict verdict;

    ConfigVerdict_Init(&verdict);
    for (size_t i = 0; ConfigState_History(state, author, i, &verdict) == 0;
         i++) {
        json_t *item = json_object();

        json_object_set_new(item, "offset",
                            json_integer((json_int_t)verdict.offset));
        json_object_set_new(item, "author", json_string(verdict.author));
        json_object_set_new(item, "id", json_string(verdict.id));
        json_object_set_new(item, "verdict",
                            json_string(ConfigVerdict_Name(verdict.outcome)));
        json_object_set_new(item, "text", json_string(verdict.text->str));
        g_ptr_array_add(verdicts, item);
    }
    ConfigVerdict_Clear(&verdict);
}

static int
compare_offsets(const void *a, const void *b)
{
    json_int_t left =
        json_integer_value(json_object_get(*(json_t *const *)a, "offset"));
    json_int_t right =
        json_integer_value(json_object_get(*(json_t *const *)b, "offset"));

    return left < right ? -1 : left > right;
}

/* Returns the newest @limit verdicts, oldest first. */
static json_t *
collect_verdicts(const ConfigState *state, const char *author, size_t limit)
{
    GPtrArray *verdicts = g_ptr_array_new();
    json_t *items = json_array();
    ConfigCursor cursor = {0};
    const ConfigObject *object;

    if (author != NULL) {
        collect_author(state, Str_FromC(author), verdicts);
    }
    while (author == NULL && (object = ConfigState_Next(state, CONFIG_OPERATOR,
                                                        &cursor)) != NULL) {
        collect_author(state, object->name, verdicts);
    }
    g_ptr_array_sort(verdicts, compare_offsets);
    for (guint i = 0; i < verdicts->len; i++) {
        if (verdicts->len - i <= limit) {
            json_array_append(items, verdicts->pdata[i]);
        }
        json_decref(verdicts->pdata[i]);
    }
    g_ptr_array_free(verdicts, TRUE);
    return items;
}

static void
print_history(json_t *items, bool json)
{
    GString *out;

    if (json) {
        json_t *root = json_pack("{s:O}", "items", items);

        Output_Json(root);
        json_decref(root);
        return;
    }
    out = g_string_new(NULL);
    Output_Table(items, verdict_columns, out);
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

int
HistoryCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *author =
        arg_str0(NULL, "author", "NAME", "only verdicts of this operator");
    struct arg_int *limit =
        arg_int0(NULL, "limit", "N", "newest N verdicts (default: 50)");
    void *table[] = {common.config, common.output, author,
                     limit,         common.help,   common.end};
    CliSettings *settings = NULL;
    Replica *replica = NULL;
    int code;

    limit->ival[0] = LIMIT_DEFAULT;
    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Shows the verdicts on publications, computed from the "
            "log as on every host.\nThe last 256 of each "
            "operator are kept.\n" COMMAND_READ_EXIT_HELP,
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
    }
    if (settings != NULL) {
        code = Publisher_OpenReplica(settings, &replica);
    }
    if (settings != NULL && code == COMMAND_OK) {
        json_t *items = collect_verdicts(
            Replica_State(replica), author->count > 0 ? author->sval[0] : NULL,
            limit->ival[0] > 0 ? (size_t)limit->ival[0] : 0);

        print_history(items, CommonArgs_IsJson(&common));
        json_decref(items);
    }
    if (replica != NULL) {
        Replica_Destroy(replica);
    }
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
