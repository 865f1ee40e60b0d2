#ifndef AGATECRANK_STANDINS_JOURNALFILE_H
#define AGATECRANK_STANDINS_JOURNALFILE_H

#include "Error.h"
#include "Str.h"

/** typedef JournalLineHandler - one line; its texts live for the call only */
typedef struct JournalLine_ JournalLine;
typedef void JournalLineHandler(void *user, const JournalLine *line);

/**
 * JournalFile_Read() - hand each line of a journal to @handler
 *
 * A last line without its newline, as a killed process may leave, is skipped.
 * Return: 0, ERR_IO, or ERR_PARSE for a malformed line.
 */
int JournalFile_Read(const char *path, JournalLineHandler *handler, void *user,
                     Error *error);

/** JournalLine_Get() - value of a field, or an empty string */
const char *JournalLine_Get(const JournalLine *this, const char *key);

#endif
