#ifndef AGATECRANK_STANDINS_JOURNAL_H
#define AGATECRANK_STANDINS_JOURNAL_H

#include "EventLog.h"

/**
 * typedef Journal - file of key=value lines
 *
 * Each line is one write() without a buffer, so that it survives a crash of
 * the process.
 */
typedef struct Journal_ Journal;

/**
 * Journal_Open() - open a journal for appending
 * @path: created if missing; "" for a journal that discards its lines
 *
 * Return: NULL if the file cannot be opened.
 */
Journal *Journal_Open(const char *path, const Clock *clock);

/** Journal_Close() - close the file and free the journal */
void Journal_Close(Journal *this);

/**
 * Journal_Begin() - start a line: event=NAME time_us=WALL_TIME
 *
 * Return: the log to add fields to; EventLog_End() writes the line.
 */
EventLog *Journal_Begin(Journal *this, const char *event);

#endif
