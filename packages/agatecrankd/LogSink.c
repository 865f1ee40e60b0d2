#include "LogSink.h"

#include <glib.h>
#include <log4c.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define CATEGORY "agatecrank"
#define LAYOUT "agatecrank-line"
#define APPENDER "agatecrank-descriptor"
/* A writable pipe accepts this much without blocking (POSIX PIPE_BUF, as
 * defined on Linux). */
#define LINE_MAX_BYTES 4096

struct LogSink_ {
    const Clock *clock;
    char *host;
    log4c_category_t *category;
};

/* The message is a complete line, so the layout only adds the newline. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static GString *buffer;

    (void)layout;
    if (buffer == NULL) {
        buffer = g_string_sized_new(1024);
    }
    g_string_assign(buffer, event->evt_msg);
    g_string_append_c(buffer, '\n');
    return buffer->str;
}

static const log4c_layout_type_t line_layout = {LAYOUT, format_line};

static int output_fd;
static unsigned long dropped_lines;

/* Drops a line rather than block requests if the reader of the output stops
 * reading. log4c's own stderr appender blocks, and puts its name before each
 * line. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    struct pollfd writable = {.fd = output_fd, .events = POLLOUT};
    size_t length = strlen(event->evt_rendered_msg);

    (void)appender;
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0 ||
        write(output_fd, event->evt_rendered_msg,
              MIN(length, LINE_MAX_BYTES)) < 0) {
        dropped_lines++;
        return -1;
    }
    return 0;
}

static const log4c_appender_type_t line_appender = {APPENDER, NULL,
                                                    append_line, NULL};

LogSink *
LogSink_Create(const Clock *clock, Str host, int fd)
{
    LogSink *this = g_new0(LogSink, 1);
    log4c_layout_t *layout;
    log4c_appender_t *appender;

    this->clock = clock;
    output_fd = fd;
    this->host = g_strndup(host.data, host.length);
    log4c_init();
    log4c_layout_type_set(&line_layout);
    layout = log4c_layout_get(LAYOUT);
    log4c_layout_set_type(layout, &line_layout);
    log4c_appender_type_set(&line_appender);
    appender = log4c_appender_get(APPENDER);
    log4c_appender_set_type(appender, &line_appender);
    log4c_appender_set_layout(appender, layout);
    this->category = log4c_category_get(CATEGORY);
    if (log4c_category_get_appender(this->category) == NULL) {
        log4c_category_set_appender(this->category, appender);
    }
    log4c_category_set_priority(this->category, LOG4C_PRIORITY_DEBUG);
    return this;
}

uint64_t
LogSink_DroppedLines(void)
{
    return dropped_lines;
}

void
LogSink_Destroy(LogSink *this)
{
    if (this == NULL) {
        return;
    }
    log4c_fini();
    g_free(this->host);
    g_free(this);
}

static const struct {
    int priority;
    const char *name;
} levels[] = {
    [LOG_LEVEL_ERROR] = {LOG4C_PRIORITY_ERROR, "error"},
    [LOG_LEVEL_WARN] = {LOG4C_PRIORITY_WARN, "warn"},
    [LOG_LEVEL_INFO] = {LOG4C_PRIORITY_INFO, "info"},
    [LOG_LEVEL_DEBUG] = {LOG4C_PRIORITY_DEBUG, "debug"},
};

void
LogSink_Write(void *user, LogLevel level, Str line)
{
    LogSink *this = user;
    Micros wall = Clock_Wall(this->clock);
    GDateTime *time = g_date_time_new_from_unix_utc(wall / MICROS_PER_S);
    char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");

    log4c_category_log(this->category, levels[level].priority,
                       "time=%s.%06dZ level=%s host=%s " STR_FORMAT, text,
                       (int)(wall % MICROS_PER_S), levels[level].name,
                       this->host, STR_ARGS(line));
    g_free(text);
    g_date_time_unref(time);
}
