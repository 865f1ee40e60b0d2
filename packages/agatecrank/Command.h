#ifndef AGATECRANK_AGATECRANK_COMMAND_H
#define AGATECRANK_AGATECRANK_COMMAND_H

#include <argtable2.h>
#include <glib.h>

#include "CliSettings.h"

/** Exit codes of agatecrank, as documented in its manual page */
enum CommandExit {
    COMMAND_OK = 0,
    COMMAND_USAGE = 1,       /* wrong options, settings or document */
    COMMAND_REFUSED = 2,     /* rejected, or not found */
    COMMAND_UNKNOWN = 3,     /* outcome unknown; it may have taken effect */
    COMMAND_UNAVAILABLE = 4, /* host or log not available; nothing was done */
};

/** typedef CommandHandler - runs one subcommand; returns its exit code */
typedef int CommandHandler(int argc, char **argv);

/**
 * struct Command_ - one subcommand
 * @name: name on the command line
 * @summary: one-line description for the list of commands
 */
typedef struct Command_ {
    const char *name;
    const char *summary;
    CommandHandler *handler;
} Command;

/**
 * struct CommonArgs_ - options shared by most subcommands
 *
 * Each subcommand adds them to its own argtable.
 */
typedef struct CommonArgs_ {
    struct arg_file *config;
    struct arg_str *output;
    struct arg_lit *help;
    struct arg_end *end;
} CommonArgs;

/** CommonArgs_Create() - create the options; arg_freetable() frees them */
CommonArgs CommonArgs_Create(void);

/**
 * CommonArgs_Parse() - parse the options; handle --help and invalid options
 * @table: @count argtable entries, including those of @this
 * @usage: text that --help prints above the list of options
 * @code: exit code if the subcommand must not continue
 *
 * Return: true if the subcommand continues.
 */
bool CommonArgs_Parse(const CommonArgs *this, int argc, char **argv,
                      void **table, size_t count, const char *usage,
                      int *code);

/** CommonArgs_IsJson() - whether --output json was given */
bool CommonArgs_IsJson(const CommonArgs *this);

/** CommonArgs_ReadSettings() - NULL after printing the errors */
CliSettings *CommonArgs_ReadSettings(const CommonArgs *this);

/** COMMAND_READ_EXIT_HELP - --help text on exit codes: read-only subcommands */
#define COMMAND_READ_EXIT_HELP                                                \
    "\nExit codes: 0 done, 1 wrong options or settings, 2 refused or not "    \
    "found,\n4 unavailable.\n\n"

/** COMMAND_CHANGE_EXIT_HELP - the same for subcommands that make changes */
#define COMMAND_CHANGE_EXIT_HELP                                              \
    "\nExit codes: 0 done, 1 wrong options, settings or file, 2 refused,\n"   \
    "3 not known whether it took effect, 4 unavailable and nothing was "      \
    "done.\n\n"

/** Command_PrintError() - print "agatecrank: step (peer): text" on stderr */
void Command_PrintError(const Error *error);

/** Command_PrintDiagnostics() - print on stderr; returns COMMAND_USAGE */
int Command_PrintDiagnostics(Diagnostics *diagnostics);

/**
 * Command_ReadSettings() - read the settings file
 * @path: argument of --config; NULL for the file named by AGATECRANK_CONFIG
 *
 * Return: NULL after printing the errors.
 */
CliSettings *Command_ReadSettings(const char *path);

/** Command_ReadFile() - text of a file; NULL after printing the error */
GString *Command_ReadFile(const char *path);

/* Handlers of the subcommands, listed in main.c. */
CommandHandler KeygenCommand_Run;
CommandHandler CheckCommand_Run;
CommandHandler DiffCommand_Run;
CommandHandler PublishCommand_Run;
CommandHandler HistoryCommand_Run;
CommandHandler StatusCommand_Run;
CommandHandler ReadCommand_Run;
CommandHandler ExplainCommand_Run;
CommandHandler DrainCommand_Run;
CommandHandler QuarantineCommand_Run;
CommandHandler TopCommand_Run;
CommandHandler TraceCommand_Run;
CommandHandler CallCommand_Run;

#endif
