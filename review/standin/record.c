#include "record.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "net.h"

static FILE *file;
static double started;
static Outcome outcomes[REQUESTS_MAX];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void
record_open(const char *path)
{
    file = fopen(path, "w");
    if (file == NULL) {
        fprintf(stderr, "cannot write %s\n", path);
        exit(2);
    }
    started = now_s();
    for (int i = 0; i < REQUESTS_MAX; i++) {
        outcomes[i].status = -1;
    }
}

void
record_line(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&lock);
    fprintf(file, "%.4f ", now_s() - started);
    va_start(arguments, format);
    vfprintf(file, format, arguments);
    va_end(arguments);
    fputc('\n', file);
    pthread_mutex_unlock(&lock);
}

int
record_run(int number, const char *worker)
{
    int runs;

    if (number < 0 || number >= REQUESTS_MAX) {
        record_line("run of a request that nobody sent at %s", worker);
        return -1;
    }
    pthread_mutex_lock(&lock);
    runs = ++outcomes[number].runs;
    pthread_mutex_unlock(&lock);
    record_line("run request=%d worker=%s runs=%d", number, worker, runs);
    return runs;
}

void
record_status(int number, int status)
{
    pthread_mutex_lock(&lock);
    outcomes[number].status = status;
    pthread_mutex_unlock(&lock);
    record_line("answer request=%d status=%d", number, status);
}

Outcome
record_outcome(int number)
{
    Outcome outcome;

    pthread_mutex_lock(&lock);
    outcome = outcomes[number];
    pthread_mutex_unlock(&lock);
    return outcome;
}

void
record_close(void)
{
    pthread_mutex_lock(&lock);
    fclose(file);
}
