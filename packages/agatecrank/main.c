#include <stdio.h>
#include <string.h>

#include "Command.h"

static const Command commands[] = {
    {"keygen", "generate an operator's key pair", KeygenCommand_Run},
    {"check", "check a settings or configuration file", CheckCommand_Run},
    {"diff", "show what a configuration file would change", DiffCommand_Run},
    {"publish", "publish a configuration file", PublishCommand_Run},
    {"history", "show verdicts on publications", HistoryCommand_Run},
    {"status", "show host status, or the verdict on a publication",
     StatusCommand_Run},
    {"hosts", "list the hosts of the deployment", ReadCommand_Run},
    {"lines", "list product lines", ReadCommand_Run},
    {"services", "list services", ReadCommand_Run},
    {"callers", "list callers", ReadCommand_Run},
    {"selectors", "list selectors", ReadCommand_Run},
    {"upstreams", "list upstreams", ReadCommand_Run},
    {"shares", "list shares and demand of lines", ReadCommand_Run},
    {"explain", "show the upstreams a caller may use", ExplainCommand_Run},
    {"drain", "take an upstream out of service", DrainCommand_Run},
    {"undrain", "put an upstream back into service", DrainCommand_Run},
    {"quarantine", "list or release refused requests", QuarantineCommand_Run},
    {"top", "monitor lines and upstreams", TopCommand_Run},
    {"trace", "show the outcome of a request from log lines",
     TraceCommand_Run},
    {"call", "send a signed call to the administration API", CallCommand_Run},
    {NULL, NULL, NULL},
};

static int
print_help(FILE *out)
{
    fprintf(out, "Usage: agatecrank COMMAND [OPTIONS]\n\n"
                 "Operates a deployment of agatecrank.\n\nCommands:\n");
    for (const Command *c = commands; c->name != NULL; c++) {
        fprintf(out, "  %-12s %s\n", c->name, c->summary);
    }
    fprintf(out,
            "\n'agatecrank COMMAND --help' describes a command.\n"
            "Exit codes: 0 done, 1 wrong options or file, 2 refused or not "
            "found,\n3 not known whether it took effect, 4 unavailable.\n");
    return out == stdout ? COMMAND_OK : COMMAND_USAGE;
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        return print_help(stderr);
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        return print_help(stdout);
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("agatecrank " AGATECRANK_VERSION "\n");
        return COMMAND_OK;
    }
    for (const Command *c = commands; c->name != NULL; c++) {
        if (strcmp(argv[1], c->name) == 0) {
            return c->handler(argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "agatecrank: unknown command '%s'; try 'agatecrank --help'\n",
            argv[1]);
    return COMMAND_USAGE;
}
