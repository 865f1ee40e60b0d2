#include "Journal.h"

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct Journal_ {
    const Clock *clock;
    EventLog *log;
    int fd;
};

static void
write_line(void *user, LogLevel level, Str line)
{
    const Journal *this = user;
    g_autofree char *text = NULL;
    ssize_t written;

    (void)level;
    if (this->fd < 0) {
        return;
    }
    text = g_malloc(line.length + 1);
    memcpy(text, line.data, line.length);
    text[line.length] = '\n';
    written = write(this->fd, text, line.length + 1);
    if (written != (ssize_t)line.length + 1) {
        fprintf(stderr, "journal: can not write a line\n");
    }
}

Journal *
Journal_Open(const char *path, const Clock *clock)
{
    Journal *this = g_new0(Journal, 1);

    this->clock = clock;
    this->fd = -1;
    if (*path != '\0') {
        this->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (this->fd < 0) {
            g_free(this);
            return NULL;
        }
    }
    this->log = EventLog_Create(clock, LOG_LEVEL_INFO, 0, write_line, this);
    return this;
}

void
Journal_Close(Journal *this)
{
    if (this == NULL) {
        return;
    }
    EventLog_Destroy(this->log);
    if (this->fd >= 0) {
        close(this->fd);
    }
    g_free(this);
}

EventLog *
Journal_Begin(Journal *this, const char *event)
{
    EventLog_Begin(this->log, LOG_LEVEL_INFO, event);
    EventLog_Int(this->log, "time_us", Clock_Wall(this->clock));
    return this->log;
}
