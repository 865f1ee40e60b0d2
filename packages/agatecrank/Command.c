#include "Command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

CommonArgs
CommonArgs_Create(void)
{
    return (CommonArgs){
        .config = arg_file0("c", "config", "FILE",
                            "settings file (default: $AGATECRANK_CONFIG)"),
        .output = arg_str0("o", "output", "text|json",
                           "output format (default: text)"),
        .help = arg_lit0("h", "help", "print this help"),
        .end = arg_end(4),
    };
}

bool
CommonArgs_Parse(const CommonArgs *this, int argc, char **argv, void **table,
                 size_t count, const char *usage, int *code)
{
    int errors = arg_parse(argc, argv, table);
    char *name = g_strconcat("agatecrank ", argv[0], NULL);
    bool proceed = false;

    *code = COMMAND_USAGE;
    if (this->help->count > 0) {
        printf("Usage: %s", name);
        arg_print_syntax(stdout, table, "\n\n");
        fputs(usage, stdout);
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        *code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, this->end, name);
    }
    else if (this->output->count > 0 &&
             strcmp(this->output->sval[0], "text") != 0 &&
             strcmp(this->output->sval[0], "json") != 0) {
        fprintf(stderr, "%s: --output must be text or json\n", name);
    }
    else {
        proceed = true;
    }
    g_free(name);
    return proceed;
}

bool
CommonArgs_IsJson(const CommonArgs *this)
{
    return this->output->count > 0 &&
           strcmp(this->output->sval[0], "json") == 0;
}

CliSettings *
CommonArgs_ReadSettings(const CommonArgs *this)
{
    return Command_ReadSettings(
        this->config->count > 0 ? this->config->filename[0] : NULL);
}

void
Command_PrintError(const Error *error)
{
    if (error->peer[0] != '\0') {
        fprintf(stderr, "agatecrank: %s (%s): %s\n", error->step, error->peer,
                error->text);
        return;
    }
    fprintf(stderr, "agatecrank: %s: %s\n", error->step, error->text);
}

int
Command_PrintDiagnostics(Diagnostics *diagnostics)
{
    GString *out = g_string_new(NULL);

    Diagnostics_Write(diagnostics, out);
    fputs(out->str, stderr);
    g_string_free(out, TRUE);
    return COMMAND_USAGE;
}

CliSettings *
Command_ReadSettings(const char *path)
{
    CliSettings *settings;
    Diagnostics *diagnostics;

    if (path == NULL) {
        path = getenv("AGATECRANK_CONFIG");
    }
    if (path == NULL) {
        fprintf(stderr, "agatecrank: --config FILE or the environment "
                        "variable AGATECRANK_CONFIG is required\n");
        return NULL;
    }
    diagnostics = Diagnostics_Create(Str_FromC(path));
    settings = CliSettings_ReadFile(path, diagnostics);
    if (settings == NULL) {
        Command_PrintDiagnostics(diagnostics);
    }
    Diagnostics_Destroy(diagnostics);
    return settings;
}

GString *
Command_ReadFile(const char *path)
{
    GError *error = NULL;
    char *text = NULL;
    gsize length = 0;
    GString *out;

    if (!g_file_get_contents(path, &text, &length, &error)) {
        fprintf(stderr, "agatecrank: %s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    out = g_string_new_len(text, (gssize)length);
    g_free(text);
    return out;
}
