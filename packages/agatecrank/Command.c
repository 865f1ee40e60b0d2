#include "Command.h"

#include <stdio.h>
#include <stdlib.h>

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
Command_PrintFaults(Faults *faults)
{
    GString *out = g_string_new(NULL);

    Faults_Write(faults, out);
    fputs(out->str, stderr);
    g_string_free(out, TRUE);
    return COMMAND_USAGE;
}

CliSettings *
Command_ReadSettings(const char *path)
{
    CliSettings *settings;
    Faults *faults;

    if (path == NULL) {
        path = getenv("AGATECRANK_CONFIG");
    }
    if (path == NULL) {
        fprintf(stderr, "agatecrank: --config FILE or the environment "
                        "variable AGATECRANK_CONFIG is required\n");
        return NULL;
    }
    faults = Faults_Create(Str_FromC(path));
    settings = CliSettings_ReadFile(path, faults);
    if (settings == NULL) {
        Command_PrintFaults(faults);
    }
    Faults_Destroy(faults);
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
