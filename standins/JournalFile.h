#ifndef AGATECRANK_STANDINS_JOURNALFILE_H
#define AGATECRANK_STANDINS_JOURNALFILE_H

#include "Error.h"
#include "Str.h"

/** typedef JournalLine - parsed fields of one line */
typedef struct JournalLine_ JournalLine;

/** typedef JournalLineHandler - @line is valid during the call only */
typedef void JournalLineHandler(void *user, const JournalLine *line);

/**
 * JournalFile_Read() - call @handler for each line of a journal
 *
 * A last line without a newline is skipped: a killed process may leave one.
 * Return: 0, ERR_IO, or ERR_PARSE for a malformed line.
 */
int JournalFile_Read(const char *path, JournalLineHandler *handler, void *user,
                     Error *error);

/** JournalLine_Get() - value of a field, or an empty string */
const char *JournalLine_Get(const JournalLine *this, const char *key);

#endif
