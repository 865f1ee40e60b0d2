#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "BalancerDaemon.h"
#include "GatewayDaemon.h"
#include "PlatformBounds.h"
#include "PlatformDialect.h"

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
print_diagnostics(Diagnostics *diagnostics)
{
    GString *out = g_string_new(NULL);

    Diagnostics_Write(diagnostics, out);
    fputs(out->str, stderr);
    g_string_free(out, TRUE);
    return EXIT_USAGE;
}

static int
print_start_error(const Error *error)
{
    fprintf(stderr, PROGRAM ": %s: step %s: %s\n", error->peer, error->step,
            error->text);
    return EXIT_START_FAILED;
}

static int
run_balancer(const Settings *settings)
{
    BalancerDaemon *daemon;
    Error error;
    int code;

    daemon = BalancerDaemon_Create(settings, &error);
    if (daemon == NULL) {
        return print_start_error(&error);
    }
    code = BalancerDaemon_Run(daemon);
    BalancerDaemon_Destroy(daemon);
    return code;
}

static int
run_gateway(const GatewaySettings *settings)
{
    GatewayDaemon *daemon;
    Error error;
    int code;

    daemon = GatewayDaemon_Create(settings, &error);
    if (daemon == NULL) {
        return print_start_error(&error);
    }
    code = GatewayDaemon_Run(daemon);
    GatewayDaemon_Destroy(daemon);
    return code;
}

/* Returns -1 if the settings are valid and the daemon is to be started, else
 * the exit code. */
static int
report_settings(const char *path, bool usable, bool check,
                Diagnostics *diagnostics)
{
    if (!usable) {
        return print_diagnostics(diagnostics);
    }
    if (check) {
        printf("%s: ok\n", path);
        return 0;
    }
    return -1;
}

static int
start_balancer(const char *path, Str text, bool check,
               Diagnostics *diagnostics)
{
    Settings *settings = Settings_Parse(text, diagnostics);
    int code = report_settings(path, settings != NULL, check, diagnostics);

    if (code < 0) {
        code = run_balancer(settings);
    }
    Settings_Destroy(settings);
    return code;
}

static int
start_gateway(const char *path, Str text, bool check, Diagnostics *diagnostics)
{
    GatewaySettings *settings =
        GatewaySettings_Parse(text, PlatformBounds_Read, diagnostics);
    int code = report_settings(path, settings != NULL, check, diagnostics);

    if (code < 0) {
        code = run_gateway(settings);
    }
    GatewaySettings_Destroy(settings);
    return code;
}

static int
start(const char *path, bool check)
{
    Diagnostics *diagnostics = Diagnostics_Create(Str_FromC(path));
    GString *text = Settings_ReadText(path, diagnostics);
    int code = EXIT_USAGE;

    if (text == NULL) {
        code = print_diagnostics(diagnostics);
    }
    else if (GatewaySettings_Recognizes(Str_FromString(text))) {
        code = start_gateway(path, Str_FromString(text), check, diagnostics);
    }
    else {
        code = start_balancer(path, Str_FromString(text), check, diagnostics);
    }
    if (text != NULL) {
        g_string_free(text, TRUE);
    }
    Diagnostics_Destroy(diagnostics);
    return code;
}

int
main(int argc, char **argv)
{
    struct arg_file *config = arg_file0(
        "c", "config", "FILE",
        "settings file (TOML); default: $" PLATFORM_SETTINGS_VARIABLE);
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings file and exit");
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit *version =
        arg_lit0(NULL, "version", "print the version and exit");
    struct arg_end *end = arg_end(8);
    void *table[] = {config, check, help, version, end};
    int errors = arg_parse(argc, argv, table);
    int code = EXIT_USAGE;
    const char *path = config->count > 0 ? config->filename[0]
                                         : getenv(PLATFORM_SETTINGS_VARIABLE);

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
    else if (path == NULL) {
        fprintf(stderr, PROGRAM ": --config FILE is required\n");
    }
    else {
        code = start(path, check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
