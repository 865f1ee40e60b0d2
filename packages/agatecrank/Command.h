#ifndef AGATECRANK_AGATECRANK_COMMAND_H
#define AGATECRANK_AGATECRANK_COMMAND_H

#include <argtable2.h>
#include <glib.h>

#include "CliSettings.h"

/** Exit codes of agatecrank, as documented in its manual page */
enum CommandExit {
    COMMAND_OK = 0,
    COMMAND_USAGE = 1,       /* wrong options, settings or document */
    COMMAND_REFUSED = 2,     /* decided and refused, or not found */
    COMMAND_UNKNOWN = 3,     /* may have taken effect; ask again */
    COMMAND_UNAVAILABLE = 4, /* nothing was done */
};

/** typedef CommandHandler - runs one subcommand; returns its exit code */
typedef int CommandHandler(int argc, char **argv);

/**
 * struct Command_ - one subcommand
 * @name: word on the command line
 * @summary: one line for the list of commands
 */
typedef struct Command_ {
    const char *name;
    const char *summary;
    CommandHandler *handler;
} Command;

/**
 * struct CommonArgs_ - options that most subcommands have
 *
 * Each subcommand puts them into its own argtable.
 */
typedef struct CommonArgs_ {
    struct arg_file *config;
    struct arg_str *output;
    struct arg_lit *help;
    struct arg_end *end;
} CommonArgs;

/** CommonArgs_Create() - to be freed with the argtable */
CommonArgs CommonArgs_Create(void);

/**
 * CommonArgs_Parse() - parse, and handle --help and wrong options
 * @table: @count argtable entries, with those of @this
 * @usage: text of --help above the list of options
 *
 * Return: true if the subcommand goes on; otherwise @code is its exit code.
 */
bool CommonArgs_Parse(const CommonArgs *this, int argc, char **argv,
                      void **table, size_t count, const char *usage,
                      int *code);

/** CommonArgs_IsJson() - --output json was given */
bool CommonArgs_IsJson(const CommonArgs *this);

/** CommonArgs_ReadSettings() - settings, or NULL after printing what is wrong */
CliSettings *CommonArgs_ReadSettings(const CommonArgs *this);

/** COMMAND_READ_EXIT_HELP - exit codes of a subcommand that only reads */
#define COMMAND_READ_EXIT_HELP                                                \
    "\nExit codes: 0 done, 1 wrong options or settings, 2 refused or not "    \
    "found,\n4 nobody answered.\n\n"

/** COMMAND_CHANGE_EXIT_HELP - exit codes of a subcommand that changes something */
#define COMMAND_CHANGE_EXIT_HELP                                              \
    "\nExit codes: 0 done, 1 wrong options, settings or file, 2 refused,\n"   \
    "3 not known whether it took effect, 4 unavailable and nothing was "      \
    "done.\n\n"

/** Command_PrintError() - "agatecrank: step (peer): text" on stderr */
void Command_PrintError(const Error *error);

/** Command_PrintDiagnostics() - all faults on stderr; returns COMMAND_USAGE */
int Command_PrintDiagnostics(Diagnostics *diagnostics);

/**
 * Command_ReadSettings() - the file of --config, or of AGATECRANK_CONFIG
 *
 * Return: NULL after printing what is wrong.
 */
CliSettings *Command_ReadSettings(const char *path);

/** Command_ReadFile() - text of a file; NULL after printing what is wrong */
GString *Command_ReadFile(const char *path);

/** subcommands */
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
