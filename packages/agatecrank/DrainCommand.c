#include <stdio.h>
#include <string.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"
#include "Publisher.h"

/** struct Drain_ - arguments and state of "drain" or "undrain" */
typedef struct Drain_ {
    const char *upstream;
    const char *service; /* NULL: look it up */
    bool drain;
    bool json;
    const char *id;
    CliSettings *settings;
    Replica *replica;
} Drain;

/* Queries a host for the service of the upstream. Returns NULL with @code set
 * if the upstream is unknown. */
static char *
query_service(const Drain *this, int *code)
{
    AdminClient *client = AdminClient_Create(this->settings);
    char *target = g_strdup_printf("/v1/upstreams?name=%s", this->upstream);
    json_t *root = NULL;
    char *service = NULL;

    *code = COMMAND_USAGE;
    if (client != NULL) {
        *code = AdminClient_Read(client, target, &root);
    }
    if (*code == COMMAND_OK) {
        service = g_strdup(json_string_value(json_object_get(
            json_array_get(json_object_get(root, "items"), 0), "service")));
        if (service == NULL) {
            fprintf(stderr, "agatecrank: the host has no upstream '%s'\n",
                    this->upstream);
            *code = COMMAND_REFUSED;
        }
    }
    json_decref(root);
    g_free(target);
    AdminClient_Destroy(client);
    return service;
}

/* Returns the service that lists the upstream as drained, or NULL. */
static const ConfigObject *
find_service_with_drained(const Drain *this)
{
    ConfigCursor cursor = {0};
    const ConfigObject *object;

    while ((object = ConfigState_Next(Replica_State(this->replica),
                                      CONFIG_SERVICE, &cursor)) != NULL) {
        if (StrList_Contains(&object->service.drained,
                             Str_FromC(this->upstream))) {
            return object;
        }
    }
    return NULL;
}

static const ConfigObject *
find_service(const Drain *this, int *code)
{
    const ConfigObject *object;
    char *name;

    *code = COMMAND_OK;
    if (!this->drain && this->service == NULL) {
        return find_service_with_drained(this);
    }
    name = this->service != NULL ? g_strdup(this->service)
                                 : query_service(this, code);
    if (name == NULL) {
        return NULL;
    }
    object = ConfigState_Find(Replica_State(this->replica), CONFIG_SERVICE,
                              Str_FromC(name));
    if (object == NULL) {
        fprintf(stderr, "agatecrank: no service '%s' is published\n", name);
        *code = COMMAND_REFUSED;
    }
    g_free(name);
    return object;
}

/* Formats the document to publish: the service with its new drained list. */
static GString *
format_document(const Drain *this, const ConfigObject *service)
{
    const StrList *old = &service->service.drained;
    Str *names = g_new(Str, old->count + 1);
    GString *text = g_string_new(NULL);
    ConfigObject changed = *service;
    size_t count = 0;

    for (size_t i = 0; i < old->count; i++) {
        if (!Str_Equal(old->items[i], Str_FromC(this->upstream))) {
            names[count++] = old->items[i];
        }
    }
    if (this->drain) {
        names[count++] = Str_FromC(this->upstream);
    }
    changed.service.drained = (StrList){names, count};
    ConfigObject_Write(&changed, text);
    g_free(names);
    return text;
}

static int
report_unchanged(const Drain *this)
{
    if (this->json) {
        json_t *root = json_pack("{s:s}", "result", "unchanged");

        Output_Json(root);
        json_decref(root);
    }
    else {
        printf("unchanged: %s is %s\n", this->upstream,
               this->drain ? "drained already" : "not drained");
    }
    return COMMAND_OK;
}

static int
run(Drain *this)
{
    Publisher publisher = {
        .settings = this->settings, .id = this->id, .json = this->json};
    int code = Publisher_OpenReplica(this->settings, &this->replica);
    const ConfigObject *service;
    GString *document;

    if (code != COMMAND_OK) {
        return code;
    }
    service = find_service(this, &code);
    if (code != COMMAND_OK) {
        return code;
    }
    /* A publication with a reused id may already have a verdict, which the
     * publisher reports. */
    if (service == NULL ||
        (this->id == NULL &&
         StrList_Contains(&service->service.drained,
                          Str_FromC(this->upstream)) == this->drain)) {
        return report_unchanged(this);
    }
    publisher.replica = this->replica;
    document = format_document(this, service);
    code = Publisher_Run(&publisher, Str_FromString(document));
    g_string_free(document, TRUE);
    return code;
}

int
DrainCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *service =
        arg_str0(NULL, "service", "NAME",
                 "service of the upstream (default: as a host reports it)");
    struct arg_str *id =
        arg_str0(NULL, "id", "ID", "id of an earlier call to retry");
    struct arg_str *upstream =
        arg_str1(NULL, NULL, "UPSTREAM", "id of the upstream");
    void *table[] = {common.config, common.output, service,   id,
                     common.help,   upstream,      common.end};
    Drain this = {.drain = strcmp(argv[0], "drain") == 0};
    int code;

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            this.drain ? "Publishes the service with UPSTREAM in its list "
                         "'drained': hosts send it no\nnew requests, and "
                         "running requests finish.\n" COMMAND_CHANGE_EXIT_HELP
                       : "Publishes the service without UPSTREAM in its list "
                         "'drained'.\n" COMMAND_CHANGE_EXIT_HELP,
            &code)) {
        this.settings = CommonArgs_ReadSettings(&common);
    }
    if (this.settings != NULL &&
        !Fields_IsName(Str_FromC(upstream->sval[0]))) {
        fprintf(stderr, "agatecrank: UPSTREAM must be a valid name\n");
        code = COMMAND_USAGE;
    }
    else if (this.settings != NULL) {
        this.upstream = upstream->sval[0];
        this.service = service->count > 0 ? service->sval[0] : NULL;
        this.id = id->count > 0 ? id->sval[0] : NULL;
        this.json = CommonArgs_IsJson(&common);
        code = run(&this);
    }
    if (this.replica != NULL) {
        Replica_Destroy(this.replica);
    }
    CliSettings_Destroy(this.settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
