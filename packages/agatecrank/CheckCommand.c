#include <argtable2.h>
#include <stdio.h>

#include "Command.h"
#include "ConfigDocument.h"
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

int
CheckCommand_Run(int argc, char **argv)
{
    struct arg_lit *settings =
        arg_lit0(NULL, "settings", "FILE is a settings file of agatecrankd");
    struct arg_file *file = arg_file1(NULL, NULL, "FILE", "file to check");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {settings, file, help, end};
    int errors = arg_parse(argc, argv, table);
    int code = COMMAND_USAGE;

    if (help->count > 0) {
        printf("Usage: agatecrank check [--settings] FILE\n\nPrints every "
               "error with file, line, key and reason.\n\n");
        arg_print_glossary(stdout, table, "  %-14s %s\n");
        code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, "agatecrank check");
    }
    else {
        code = check_file(file->filename[0], settings->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
