#ifndef AGATECRANK_STANDINS_JOURNAL_H
#define AGATECRANK_STANDINS_JOURNAL_H

#include "EventLog.h"

/**
 * typedef Journal - file of key=value lines, each written at once
 *
 * A line that was written survives the end of the process at any point.
 */
typedef struct Journal_ Journal;

/** Journal_Open() - append to @path; NULL if that fails; "" writes nothing */
Journal *Journal_Open(const char *path, const Clock *clock);

/** Journal_Close() - release the journal */
void Journal_Close(Journal *this);

/**
 * Journal_Begin() - start a line: event=NAME time_us=WALL_TIME
 *
 * Return: the log to add fields to; ended by EventLog_End().
 */
EventLog *Journal_Begin(Journal *this, const char *event);

#endif
