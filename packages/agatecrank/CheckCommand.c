#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>

#include "Command.h"
#include "ConfigDecoder.h"
#include "ConfigDocument.h"
#include "RouteCheck.h"
#include "Settings.h"

static int
check_file(const char *path, bool settings)
{
    Diagnostics *diagnostics = Diagnostics_Create(Str_FromC(path));
    int code = COMMAND_OK;

    if (settings) {
        Settings_Destroy(Settings_ReadFile(path, diagnostics));
    }
    else {
        GString *text = Command_ReadFile(path);

        if (text == NULL) {
            Diagnostics_Destroy(diagnostics);
            return COMMAND_USAGE;
        }
        ConfigDocument_Destroy(
            ConfigDocument_Parse(Str_FromString(text), diagnostics));
        g_string_free(text, TRUE);
    }
    if (Diagnostics_Count(diagnostics) > 0) {
        code = Command_PrintDiagnostics(diagnostics);
    }
    else {
        printf("%s: ok\n", path);
    }
    Diagnostics_Destroy(diagnostics);
    return code;
}

/* ---- routes of gateway hosts ----------------------------------------- */

/* Returns NULL, with a message, if the file cannot be read or decoded. */
static RouteTable *
read_routes(const char *path)
{
    GString *text = Command_ReadFile(path);
    RouteTable *routes;
    Error error;

    if (text == NULL) {
        return NULL;
    }
    routes = ConfigDecoder_Read(Str_FromString(text), &error);
    if (routes == NULL) {
        fprintf(stderr, "%s: error: %s %s: %s\n", path, error.step, error.peer,
                error.text);
    }
    g_string_free(text, TRUE);
    return routes;
}

static void
print_finding(void *user, RouteFindingKind kind, const char *object,
              const char *text)
{
    printf("%s: %s: %s: %s\n", (const char *)user, RouteFinding_Name(kind),
           object, text);
}

static void
add_finding(void *user, RouteFindingKind kind, const char *object,
            const char *text)
{
    json_array_append_new(user, json_pack("{s:s, s:s, s:s}", "kind",
                                          RouteFinding_Name(kind), "object",
                                          object, "text", text));
}

static unsigned
print_findings(const char *path, const RouteTable *routes,
               const RouteTable *in_force, bool as_json)
{
    json_t *findings;
    unsigned errors;

    if (!as_json) {
        errors = RouteCheck_Run(routes, in_force, print_finding, (void *)path);
        if (errors == 0) {
            printf("%s: ok\n", path);
        }
        return errors;
    }
    findings = json_array();
    errors = RouteCheck_Run(routes, in_force, add_finding, findings);
    json_dumpf(findings, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(findings);
    return errors;
}

/* @against: NULL for none */
static int
check_routes(const char *path, const char *against, bool as_json)
{
    RouteTable *routes = read_routes(path);
    RouteTable *in_force = against != NULL ? read_routes(against) : NULL;
    int code = COMMAND_USAGE;

    if (routes != NULL && (against == NULL || in_force != NULL) &&
        print_findings(path, routes, in_force, as_json) == 0) {
        code = COMMAND_OK;
    }
    RouteTable_Unref(routes);
    RouteTable_Unref(in_force);
    return code;
}

int
CheckCommand_Run(int argc, char **argv)
{
    struct arg_lit *settings =
        arg_lit0(NULL, "settings", "FILE is a settings file of agatecrankd");
    struct arg_lit *routes = arg_lit0(
        NULL, "routes", "FILE is a configuration of gateway hosts (JSON)");
    struct arg_file *against = arg_file0(
        NULL, "against", "FILE", "configuration in force, with --routes");
    struct arg_lit *as_json =
        arg_lit0(NULL, "json", "print findings as JSON, with --routes");
    struct arg_file *file = arg_file1(NULL, NULL, "FILE", "file to check");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(6);
    void *table[] = {settings, routes, against, as_json, file, help, end};
    int errors = arg_parse(argc, argv, table);
    int code = COMMAND_USAGE;

    if (help->count > 0) {
        printf("Usage: agatecrank check [--settings] FILE\n"
               "       agatecrank check --routes [--against FILE] [--json] "
               "FILE\n\nPrints every error with file, line, key and reason. "
               "Of routes it prints errors, routes\nthat never match, limits "
               "that contradict each other, and what differs from\nthe "
               "version in force.\n\n");
        arg_print_glossary(stdout, table, "  %-14s %s\n");
        code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, "agatecrank check");
    }
    else if (routes->count > 0) {
        code = check_routes(file->filename[0],
                            against->count > 0 ? against->filename[0] : NULL,
                            as_json->count > 0);
    }
    else {
        code = check_file(file->filename[0], settings->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
