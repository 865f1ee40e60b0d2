/* What was sent, answered and run, written to a file and counted by request. */
#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include <stdbool.h>

/* Requests of one run. */
#define REQUESTS_MAX 400000

typedef struct Outcome_ {
    int status; /* 0: no answer, -1: not sent */
    int runs;
} Outcome;

/** record_open() - ends the process on an error */
void record_open(const char *path);

/** record_line() - one line with the time since the start */
void record_line(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/** record_run() - a worker begins to work on request @number; returns how
 * often it has run with this */
int record_run(int number, const char *worker);

/** record_status() - final status that the client got; 0 for none */
void record_status(int number, int status);

/** record_outcome() - of request @number */
Outcome record_outcome(int number);

/** record_close() */
void record_close(void);

#endif
