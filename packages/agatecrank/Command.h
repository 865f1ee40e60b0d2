#ifndef AGATECRANK_AGATECRANK_COMMAND_H
#define AGATECRANK_AGATECRANK_COMMAND_H

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

/** Command_Table() - all subcommands, ended by a NULL name */
const Command *Command_Table(void);

/** Command_PrintError() - "agatecrank: step (peer): text" on stderr */
void Command_PrintError(const Error *error);

/** Command_PrintFaults() - all faults on stderr; returns COMMAND_USAGE */
int Command_PrintFaults(Faults *faults);

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

#endif
