#include "EventLog.h"

#include <glib.h>

/* Part of the token bucket that routine lines leave to other lines. */
#define ROUTINE_RESERVE_RATIO 0.5

struct EventLog_ {
    const Clock *clock;
    EventLogSink *sink;
    void *user;
    GString *line;
    LogLevel level;
    LogLevel line_level;
    uint32_t lines_per_s;
    double tokens; /* at most lines_per_s */
    Micros last_refill;
    uint64_t dropped;
    uint64_t dropped_since_line;
    bool line_open; /* between begin and end of a line that is written */
};

EventLog *
EventLog_Create(const Clock *clock, LogLevel level, uint32_t lines_per_s,
                EventLogSink *sink, void *user)
{
    EventLog *this = g_new0(EventLog, 1);

    this->clock = clock;
    this->level = level;
    this->lines_per_s = lines_per_s;
    this->tokens = lines_per_s;
    this->last_refill = Clock_Now(clock);
    this->sink = sink;
    this->user = user;
    this->line = g_string_sized_new(256);
    return this;
}

void
EventLog_Destroy(EventLog *this)
{
    if (this == NULL) {
        return;
    }
    g_string_free(this->line, TRUE);
    g_free(this);
}

/* Takes a token if at least @reserve_ratio of the bucket is left after it. */
static bool
take_token(EventLog *this, double reserve_ratio)
{
    Micros now;

    if (this->lines_per_s == 0) {
        return true;
    }
    now = Clock_Now(this->clock);
    this->tokens +=
        (double)(now - this->last_refill) * this->lines_per_s / MICROS_PER_S;
    this->last_refill = now;
    if (this->tokens > this->lines_per_s) {
        this->tokens = this->lines_per_s;
    }
    if (this->tokens < 1.0 + this->lines_per_s * reserve_ratio) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

static bool
begin_line(EventLog *this, LogLevel level, const char *event,
           double reserve_ratio)
{
    if (this == NULL) {
        return false;
    }
    this->line_open = false;
    if (level > this->level) {
        return false;
    }
    if (level >= LOG_LEVEL_INFO && !take_token(this, reserve_ratio)) {
        this->dropped++;
        this->dropped_since_line++;
        return false;
    }
    this->line_open = true;
    this->line_level = level;
    g_string_assign(this->line, "event=");
    g_string_append(this->line, event);
    if (this->dropped_since_line > 0) {
        EventLog_Int(this, "dropped", (int64_t)this->dropped_since_line);
        this->dropped_since_line = 0;
    }
    return true;
}

bool
EventLog_Begin(EventLog *this, LogLevel level, const char *event)
{
    return begin_line(this, level, event, 0.0);
}

bool
EventLog_BeginRoutine(EventLog *this, const char *event)
{
    return begin_line(this, LOG_LEVEL_INFO, event, ROUTINE_RESERVE_RATIO);
}

static bool
needs_quotes(Str value)
{
    for (size_t i = 0; i < value.length; i++) {
        unsigned char c = (unsigned char)value.data[i];

        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f) {
            return true;
        }
    }
    return value.length == 0;
}

static void
append_quoted(GString *line, Str value)
{
    g_string_append_c(line, '"');
    for (size_t i = 0; i < value.length; i++) {
        unsigned char c = (unsigned char)value.data[i];

        if (c == '"' || c == '\\') {
            g_string_append_c(line, '\\');
            g_string_append_c(line, (gchar)c);
        }
        else if (c < ' ' || c >= 0x7f) {
            g_string_append_printf(line, "\\x%02x", c);
        }
        else {
            g_string_append_c(line, (gchar)c);
        }
    }
    g_string_append_c(line, '"');
}

static bool
append_key(EventLog *this, const char *key)
{
    if (this == NULL || !this->line_open) {
        return false;
    }
    g_string_append_c(this->line, ' ');
    g_string_append(this->line, key);
    g_string_append_c(this->line, '=');
    return true;
}

void
EventLog_Str(EventLog *this, const char *key, Str value)
{
    if (!append_key(this, key)) {
        return;
    }
    if (needs_quotes(value)) {
        append_quoted(this->line, value);
        return;
    }
    Str_AppendTo(value, this->line);
}

void
EventLog_CStr(EventLog *this, const char *key, const char *value)
{
    EventLog_Str(this, key, Str_FromC(value));
}

void
EventLog_Int(EventLog *this, const char *key, int64_t value)
{
    if (append_key(this, key)) {
        g_string_append_printf(this->line, "%" G_GINT64_FORMAT, value);
    }
}

void
EventLog_Real(EventLog *this, const char *key, double value)
{
    if (append_key(this, key)) {
        g_string_append_printf(this->line, "%.3f", value);
    }
}

void
EventLog_Error(EventLog *this, const Error *error)
{
    EventLog_CStr(this, "error", Error_Name(error->code));
    EventLog_CStr(this, "step", error->step);
    if (error->peer[0] != '\0') {
        EventLog_CStr(this, "peer", error->peer);
    }
    EventLog_CStr(this, "text", error->text);
}

void
EventLog_End(EventLog *this)
{
    if (this == NULL || !this->line_open) {
        return;
    }
    this->line_open = false;
    this->sink(this->user, this->line_level, Str_FromString(this->line));
}

uint64_t
EventLog_Dropped(const EventLog *this)
{
    return this->dropped;
}
