#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "Daemon.h"

#define PROGRAM "agatecrankd"

static void
print_help(void **table)
{
    printf("Usage: " PROGRAM);
    arg_print_syntax(stdout, table, "\n");
    printf("Balances HTTP requests over the upstreams of a service.\n\n");
    arg_print_glossary(stdout, table, "  %-22s %s\n");
    printf("\nExit codes: 0 drained and stopped, 1 wrong options or settings,"
           "\n2 cannot start, 3 stopped with open requests cut.\n");
}

static int
print_faults(Faults *faults)
{
    GString *out = g_string_new(NULL);

    Faults_Write(faults, out);
    fputs(out->str, stderr);
    g_string_free(out, TRUE);
    return EXIT_USAGE;
}

static int
run_daemon(const char *path, bool check)
{
    Faults *faults = Faults_Create(Str_FromC(path));
    Settings *settings = Settings_ReadFile(path, faults);
    Daemon *daemon;
    Error error;
    int code;

    if (settings == NULL) {
        code = print_faults(faults);
        Faults_Destroy(faults);
        return code;
    }
    Faults_Destroy(faults);
    if (check) {
        printf("%s: ok\n", path);
        Settings_Destroy(settings);
        return 0;
    }
    daemon = Daemon_Create(settings, &error);
    if (daemon == NULL) {
        fprintf(stderr, PROGRAM ": %s: step %s: %s\n", error.peer, error.step,
                error.text);
        Settings_Destroy(settings);
        return EXIT_START;
    }
    code = Daemon_Run(daemon);
    Daemon_Destroy(daemon);
    Settings_Destroy(settings);
    return code;
}

int
main(int argc, char **argv)
{
    struct arg_file *config =
        arg_file0("c", "config", "FILE", "settings file (TOML)");
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings file and exit");
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit *version =
        arg_lit0(NULL, "version", "print the version and exit");
    struct arg_end *end = arg_end(8);
    void *table[] = {config, check, help, version, end};
    int errors = arg_parse(argc, argv, table);
    int code = EXIT_USAGE;

    if (help->count > 0) {
        print_help(table);
        code = 0;
    }
    else if (version->count > 0) {
        printf(PROGRAM " " AGATECRANK_VERSION "\n");
        code = 0;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, PROGRAM);
        fprintf(stderr, "Try '" PROGRAM " --help'.\n");
    }
    else if (config->count == 0) {
        fprintf(stderr, PROGRAM ": --config FILE is required\n");
    }
    else {
        code = run_daemon(config->filename[0], check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
