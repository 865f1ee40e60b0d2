#include "RequestTrace.h"

#include "Error.h"
#include "LogLine.h"

/* A change of an upstream or host explains a request this long before or after
 * it: the platform tells of drains in 2.5 s, and lapsed entries return in 2. */
#define NEARBY (5 * MICROS_PER_S)

typedef struct Event_ {
    Str line;
    Micros time;
} Event;

typedef struct Trace_ {
    Str id;
    GArray *request;       /* Event with the id, by time */
    GArray *nearby;        /* Event of its hosts and upstreams, by time */
    GHashTable *hosts;     /* set of text */
    GHashTable *upstreams; /* set of text */
    GString *text;         /* scratch */
    uint64_t dropped;
} Trace;

typedef struct Cause_ {
    const char *reason;
    const char *cause;
    const char *next;
} Cause;

static const Cause causes[] = {
    {"overloaded",
     "no upstream of the service had room in the time that the request may "
     "wait; with held_ms=0 the queue was too long already",
     "event=route lines of the service: busy near 0.8 everywhere is too much "
     "load, pace_percent far above 100 means slow upstreams"},
    {"upstream-full",
     "the upstreams that were tried refused it; it did not run",
     "event=attempt lines with result=not-run name them"},
    {"retry-budget",
     "an attempt failed, and the repeats of the retry window were spent",
     "event=attempt lines with another result than answer: what fails"},
    {"no-upstream", "no upstream of the service is listed and not draining",
     "event=upstream lines, then store-lost"},
    {"no-configuration",
     "the host had just started and had not read the routes",
     "started, store-lost and ready of this host"},
    {"no-route", "no route of the configuration in force fits host and path",
     "event=routes: whether the version is the one expected"},
    {"quarantined", "the same request has broken several upstreams",
     "event=attempt lines with result=broken and the same route"},
    {"upstream-broken",
     "the connection to the upstream ended, or its answer was not whole or "
     "not its own; the request may have run there, so it was not sent again",
     "the upstream's changes at that time, and its own log"},
    {"upstream-lost",
     "its upstream fell silent, and no other one could take it over; it may "
     "have run",
     "event=attempt result=upstream-lost, and the upstream's changes"},
    {"overdue",
     "its upstream did not answer within the objective, and no other one "
     "could take it over; it may have run",
     "event=attempt result=overdue, and others with the same upstream"},
    {"upstream-failed", "the upstream answered that it failed",
     "the upstream's own log"},
    {"upstream-moved", "another upstream has the address; it did not run",
     "event=upstream lines with the address"},
    {"upstream-unreachable",
     "no connection to the upstreams that were tried; it did not run",
     "event=upstream: whether they are still listed, or lapsed"},
    {"deadline", "no whole answer came before the request's time was over",
     "event=route lines with the same choice: whether others are late too; "
     "left_ms far below the route's time means that the caller came late"},
};

static gint
by_time(gconstpointer a, gconstpointer b)
{
    Micros x = ((const Event *)a)->time;
    Micros y = ((const Event *)b)->time;

    return x < y ? -1 : x > y;
}

static bool
is_event(Str line, const char *name)
{
    return LogLine_FieldEquals(line, STR("event"), Str_FromC(name));
}

static void
remember(Trace *this, GHashTable *set, Str line, const char *key)
{
    if (LogLine_Field(line, Str_FromC(key), this->text) &&
        this->text->len > 0) {
        g_hash_table_add(set, g_strdup(this->text->str));
    }
}

static void
find_request(Trace *this, Str lines)
{
    Str line;

    while (lines.length > 0) {
        Str_Split(&lines, '\n', &line);
        this->dropped += (uint64_t)LogLine_Int(line, STR("dropped"), 0);
        if (LogLine_FieldEquals(line, STR("request"), this->id)) {
            Event event = {line, LogLine_Time(line)};

            g_array_append_val(this->request, event);
            remember(this, this->hosts, line, "host");
            remember(this, this->upstreams, line, "choice");
            remember(this, this->upstreams, line, "upstream");
        }
    }
    g_array_sort(this->request, by_time);
}

static bool
is_member(Trace *this, const GHashTable *set, Str line, const char *key)
{
    return LogLine_Field(line, Str_FromC(key), this->text) &&
           g_hash_table_contains((GHashTable *)set, this->text->str);
}

/* Changes of the request's upstreams as its hosts saw them, and of the hosts
 * themselves. */
static bool
explains(Trace *this, Str line)
{
    static const char *const events[] = {
        "started",    "ready",          "not-ready", "stopping",
        "store-lost", "store-regained", "routes",
    };

    if (!is_member(this, this->hosts, line, "host")) {
        return false;
    }
    if (is_event(line, "upstream")) {
        return is_member(this, this->upstreams, line, "upstream");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (is_event(line, events[i])) {
            return true;
        }
    }
    return false;
}

static void
find_nearby(Trace *this, Str lines)
{
    Micros first = g_array_index(this->request, Event, 0).time;
    Micros last =
        g_array_index(this->request, Event, this->request->len - 1).time;
    Str line;

    while (lines.length > 0) {
        Event event;

        Str_Split(&lines, '\n', &line);
        event = (Event){line, LogLine_Time(line)};
        if (event.time >= first - NEARBY && event.time <= last + NEARBY &&
            explains(this, line)) {
            g_array_append_val(this->nearby, event);
        }
    }
    g_array_sort(this->nearby, by_time);
}

static void
write_events(const Trace *this, const GArray *events, GString *out)
{
    Micros first = g_array_index(this->request, Event, 0).time;

    for (guint i = 0; i < events->len; i++) {
        const Event *event = &g_array_index(events, Event, i);

        g_string_append_printf(out, "%+9.3f s  ",
                               (double)(event->time - first) / MICROS_PER_S);
        Str_AppendTo(event->line, out);
        g_string_append_c(out, '\n');
    }
}

static void
write_cause(GString *out, const char *cause, const char *next)
{
    g_string_append_printf(out, "cause: %s\nnext: %s\n", cause, next);
}

static void
explain_refusal(Trace *this, Str line, GString *out)
{
    LogLine_Field(line, STR("reason"), this->text);
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        if (g_strcmp0(this->text->str, causes[i].reason) == 0) {
            write_cause(out, causes[i].cause, causes[i].next);
            return;
        }
    }
    write_cause(out, this->text->str, "docs/logs.md");
}

static void
explain_late(const Trace *this, Str answer, GString *out)
{
    Str first = g_array_index(this->request, Event, 0).line;
    int64_t held = LogLine_Int(answer, STR("held_ms"), 0);
    int64_t took = LogLine_Int(answer, STR("took_ms"), 0);
    int64_t waited =
        is_event(first, "route") ? LogLine_Int(first, STR("held_ms"), 0) : 0;

    if (2 * waited > held) {
        write_cause(out, "it waited for room at the host before it was sent",
                    "event=route lines of the service: busy near 0.8 is too "
                    "much load");
    }
    else if (2 * took < held) {
        write_cause(out,
                    "an earlier attempt failed, or it waited for room at the "
                    "host, before the upstream that answered got it",
                    "its event=attempt lines; busy of the service's "
                    "event=route lines");
    }
    else {
        write_cause(out,
                    "the upstream took most of the time: it was busy or slow",
                    "cost, busy and age_us of the event=route line: above 1, "
                    "near 0.8, or old; other lines with the same choice");
    }
}

/* The last line that tells how the request ended decides. */
static void
explain(Trace *this, GString *out)
{
    for (guint i = this->request->len; i > 0; i--) {
        Str line = g_array_index(this->request, Event, i - 1).line;

        if (is_event(line, "refuse")) {
            explain_refusal(this, line, out);
            return;
        }
        if (is_event(line, "caller-gone")) {
            write_cause(out, "the caller closed before the answer was there",
                        "held_ms against the route's objective");
            return;
        }
        if (is_event(line, "attempt") &&
            LogLine_FieldEquals(line, STR("result"), STR("answer"))) {
            explain_late(this, line, out);
            return;
        }
    }
    write_cause(out,
                "it was sent, and nothing else is written: it was answered in "
                "time, or the process ended with the request open",
                "whether event=started follows on that host without "
                "event=stopped");
}

int
RequestTrace_Write(Str lines, Str id, GString *out)
{
    Trace this = {
        .id = id,
        .request = g_array_new(FALSE, FALSE, sizeof(Event)),
        .nearby = g_array_new(FALSE, FALSE, sizeof(Event)),
        .hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .upstreams =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .text = g_string_new(NULL),
    };
    int code = 0;

    find_request(&this, lines);
    if (this.request->len > 0) {
        find_nearby(&this, lines);
        write_events(&this, this.request, out);
        if (this.nearby->len > 0) {
            g_string_append(out, "its hosts and upstreams at that time:\n");
            write_events(&this, this.nearby, out);
        }
        explain(&this, out);
    }
    else {
        g_string_append_printf(
            out,
            "no line has this id; %" G_GUINT64_FORMAT
            " lines were left out to bound the volume\nnext: "
            "agatecrank_refusals_total of the hosts tells the reasons\n",
            this.dropped);
        code = ERR_NOT_FOUND;
    }
    g_array_free(this.request, TRUE);
    g_array_free(this.nearby, TRUE);
    g_hash_table_destroy(this.hosts);
    g_hash_table_destroy(this.upstreams);
    g_string_free(this.text, TRUE);
    return code;
}
