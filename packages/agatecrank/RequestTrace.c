#include "RequestTrace.h"

#include "Error.h"
#include "LogLine.h"

/* A change of an upstream or host this long before or after a request may
 * explain its outcome: the platform reports drains within 2.5 s, and expired
 * entries return within 2 s. */
#define NEARBY_WINDOW_US (5 * MICROS_PER_S)

typedef struct LogEvent_ {
    Str line;
    Micros time;
} LogEvent;

typedef struct Trace_ {
    Str id;
    GArray *request;       /* LogEvent of the request, by time */
    GArray *nearby;        /* LogEvent of its hosts and upstreams, by time */
    GHashTable *hosts;     /* set of names */
    GHashTable *upstreams; /* set of names */
    GString *text;         /* value of the last field read */
    uint64_t dropped;
} Trace;

typedef struct RejectionCause_ {
    const char *reason;
    const char *cause;
    const char *next;
} RejectionCause;

static const RejectionCause rejection_causes[] = {
    {"overloaded",
     "no upstream of the service had spare capacity in the time that the "
     "request may wait; with held_ms=0 the queue was too long already",
     "event=route lines of the service: busy near 0.8 everywhere is too much "
     "load, pace_percent far above 100 means slow upstreams"},
    {"upstream-full",
     "every upstream that was tried rejected the request; it was not "
     "executed",
     "event=attempt lines with result=not-run: the upstreams that were tried"},
    {"retry-budget",
     "an attempt failed, and the retry budget of the window was exhausted",
     "event=attempt lines with a result other than answer: the failures"},
    {"no-upstream",
     "all listed upstreams of the service are draining or leaving, or none is "
     "listed",
     "excluded of the refusal; event=upstream and event=upstream-notice "
     "lines, "
     "then store-lost"},
    {"upstream-pauses",
     "every upstream of the service that is not draining or leaving has asked "
     "this host for a pause",
     "event=upstream-notice lines with kind=pause: pause_ms; excluded of the "
     "refusal"},
    {"upstream-limits",
     "every upstream of the service that is not draining has named a request "
     "limit, and this host has used its part or has none",
     "event=upstream-limit lines: per_s is the limit, part_per_s the part of "
     "the host; event=hosts: the hosts that share it"},
    {"no-configuration",
     "the host had just started and had not yet read the routes",
     "event=started, store-lost and ready of this host"},
    {"no-route",
     "no route of the active configuration matches the host and path",
     "event=routes: whether it has the expected version"},
    {"cut-off",
     "the host that was asked to execute it reached no upstream itself; it "
     "was "
     "not executed",
     "event=path lines, and the network of the host"},
    {"no-peer",
     "the host reached no upstream, and no host that it sent the request to "
     "could execute it; it was not executed",
     "event=forward-end lines: refusal"},
    {"path-lost",
     "the host lost its path to the upstreams, and the request may have been "
     "executed or had used its attempts",
     "event=path of the host, and its network"},
    {"peer-broken",
     "the host reached no upstream, and the connection to the host that it "
     "sent "
     "the request to ended, or the response was not that host's",
     "event=forward-refused and event=stopping of the peer"},
    {"peer-failed",
     "the host reached no upstream, and the host that it sent the request to "
     "answered with a failure of its own",
     "the lines of the peer from event=forwarded on"},
    {"forward-limit",
     "the host executes as many requests of other hosts as it may; it was not "
     "executed there",
     "event=forwarded lines of that host: how many hosts are cut off"},
    {"quarantined",
     "several upstreams failed while running the same request, at this or "
     "other hosts",
     "event=loss lines of all hosts with the fingerprint of the refuse line"},
    {"upstream-broken",
     "the connection to the upstream ended, or its response was incomplete "
     "or not marked as its own; the request may have been executed, so it "
     "was not retried",
     "event=upstream lines of the upstream at that time, and its own log"},
    {"upstream-lost",
     "the upstream stopped responding, and the request could not be moved to "
     "another one; it may have been executed",
     "event=attempt result=upstream-lost, and event=upstream lines of the "
     "upstream"},
    {"overdue",
     "the upstream did not respond within the objective, and the request "
     "could not be moved to another one; it may have been executed",
     "event=attempt result=overdue, also those of other requests to the "
     "same upstream"},
    {"upstream-failed", "the upstream responded with an error",
     "the upstream's own log"},
    {"upstream-moved",
     "another upstream now has the address; the request was not executed",
     "event=upstream lines with the address"},
    {"upstream-unreachable",
     "no connection to the upstreams that were tried could be opened; the "
     "request was not executed",
     "event=upstream: whether they are still listed, or lapsed"},
    {"stopping",
     "the host stops, and might have ended before the request; it was not "
     "executed",
     "event=stopping of the host; none is needed, other hosts serve it"},
    {"stopping-retry",
     "an attempt failed while the host stops, and the host might have ended "
     "before another one",
     "event=attempt lines with a result other than answer: the failure"},
    {"stopped",
     "the host ended while the request was open; it may have been executed",
     "event=interrupted and event=stopping of the host: a stop time shorter "
     "than the timeouts of the routes"},
    {"deadline",
     "no complete response came before the deadline of the request",
     "event=route lines with the same choice: whether other requests are late "
     "too; left_ms far below the route's timeout means that the request "
     "arrived late"},
};

static gint
by_time(gconstpointer a, gconstpointer b)
{
    Micros x = ((const LogEvent *)a)->time;
    Micros y = ((const LogEvent *)b)->time;

    return x < y ? -1 : x > y;
}

static bool
is_event(Str line, const char *name)
{
    return LogLine_FieldEquals(line, STR("event"), Str_FromC(name));
}

static void
add_field_value(Trace *this, GHashTable *set, Str line, const char *key)
{
    if (LogLine_Field(line, Str_FromC(key), this->text) &&
        this->text->len > 0) {
        g_hash_table_add(set, g_strdup(this->text->str));
    }
}

static void
collect_request_lines(Trace *this, Str lines)
{
    Str line;

    while (lines.length > 0) {
        Str_Split(&lines, '\n', &line);
        this->dropped += (uint64_t)LogLine_Int(line, STR("dropped"), 0);
        if (LogLine_FieldEquals(line, STR("request"), this->id)) {
            LogEvent event = {line, LogLine_Time(line)};

            g_array_append_val(this->request, event);
            add_field_value(this, this->hosts, line, "host");
            add_field_value(this, this->upstreams, line, "choice");
            add_field_value(this, this->upstreams, line, "upstream");
        }
    }
    g_array_sort(this->request, by_time);
}

static bool
field_in_set(Trace *this, const GHashTable *set, Str line, const char *key)
{
    return LogLine_Field(line, Str_FromC(key), this->text) &&
           g_hash_table_contains((GHashTable *)set, this->text->str);
}

/* Selects changes of the request's upstreams, as its hosts logged them, and
 * of the hosts themselves. */
static bool
is_related_change(Trace *this, Str line)
{
    static const char *const events[] = {
        "started",    "ready",          "not-ready", "stopping",
        "store-lost", "store-regained", "routes",
    };

    if (!field_in_set(this, this->hosts, line, "host")) {
        return false;
    }
    if (is_event(line, "upstream")) {
        return field_in_set(this, this->upstreams, line, "upstream");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (is_event(line, events[i])) {
            return true;
        }
    }
    return false;
}

static void
collect_nearby_lines(Trace *this, Str lines)
{
    Micros first = g_array_index(this->request, LogEvent, 0).time;
    Micros last =
        g_array_index(this->request, LogEvent, this->request->len - 1).time;
    Str line;

    while (lines.length > 0) {
        LogEvent event;

        Str_Split(&lines, '\n', &line);
        event = (LogEvent){line, LogLine_Time(line)};
        if (event.time >= first - NEARBY_WINDOW_US &&
            event.time <= last + NEARBY_WINDOW_US &&
            is_related_change(this, line)) {
            g_array_append_val(this->nearby, event);
        }
    }
    g_array_sort(this->nearby, by_time);
}

static void
write_events(const Trace *this, const GArray *events, GString *out)
{
    Micros first = g_array_index(this->request, LogEvent, 0).time;

    for (guint i = 0; i < events->len; i++) {
        const LogEvent *event = &g_array_index(events, LogEvent, i);

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
explain_reason(const char *reason, GString *out)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rejection_causes); i++) {
        if (g_strcmp0(reason, rejection_causes[i].reason) == 0) {
            write_cause(out, rejection_causes[i].cause,
                        rejection_causes[i].next);
            return;
        }
    }
    write_cause(out, reason, "docs/logs.md");
}

static void
explain_rejection(Trace *this, Str line, GString *out)
{
    LogLine_Field(line, STR("reason"), this->text);
    explain_reason(this->text->str, out);
}

/* Returns the reason that a rejection after an attempt with that result has. */
static const char *
reason_of_result(const char *result)
{
    static const char *const reasons[][2] = {
        {"broken", "upstream-broken"},
        {"not-run", "upstream-full"},
        {"moved", "upstream-moved"},
        {"unsent", "upstream-unreachable"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
        if (g_strcmp0(result, reasons[i][0]) == 0) {
            return reasons[i][1];
        }
    }
    return result;
}

/* The rate limit of the log may have dropped the line of the response. */
static void
explain_failed_attempt(Trace *this, Str line, GString *out)
{
    LogLine_Field(line, STR("result"), this->text);
    explain_reason(reason_of_result(this->text->str), out);
}

static void
explain_latency(const Trace *this, Str attempt, GString *out)
{
    Str first = g_array_index(this->request, LogEvent, 0).line;
    int64_t held_ms = LogLine_Int(attempt, STR("held_ms"), 0);
    int64_t took_ms = LogLine_Int(attempt, STR("took_ms"), 0);
    int64_t queue_ms =
        is_event(first, "route") ? LogLine_Int(first, STR("held_ms"), 0) : 0;

    if (2 * queue_ms > held_ms) {
        write_cause(
            out, "it waited for spare capacity at the host before it was sent",
            "event=route lines of the service: busy near 0.8 is too "
            "much load");
    }
    else if (2 * took_ms < held_ms) {
        write_cause(out,
                    "an earlier attempt failed, or the request waited at the "
                    "host, before it was sent to the upstream that responded",
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

static void
explain_forward(Str line, GString *out)
{
    if (LogLine_FieldEquals(line, STR("result"), STR("answer"))) {
        write_cause(
            out,
            "the host reached no upstream and had another host execute "
            "the request",
            "the lines of that host from event=forwarded on");
        return;
    }
    write_cause(
        out,
        "the host reached no upstream, and the host that it sent the "
        "request to gave no response of an upstream",
        "result and refusal of event=forward-end, and the lines of its "
        "peer");
}

/* The last line with the outcome of the request determines the cause. */
static void
write_conclusion(Trace *this, GString *out)
{
    for (guint i = this->request->len; i > 0; i--) {
        Str line = g_array_index(this->request, LogEvent, i - 1).line;

        if (is_event(line, "refuse")) {
            explain_rejection(this, line, out);
            return;
        }
        if (is_event(line, "caller-gone")) {
            write_cause(out,
                        "the caller closed the connection before the response",
                        "held_ms against the route's objective");
            return;
        }
        if (is_event(line, "attempt") &&
            LogLine_FieldEquals(line, STR("result"), STR("answer"))) {
            explain_latency(this, line, out);
            return;
        }
        if (is_event(line, "forward-end")) {
            explain_forward(line, out);
            return;
        }
        if (is_event(line, "attempt")) {
            explain_failed_attempt(this, line, out);
            return;
        }
        if (is_event(line, "route")) {
            break;
        }
    }
    write_cause(out,
                "it was sent, and nothing else was logged: it was answered in "
                "time, or the host process ended before the response",
                "whether event=started follows on that host without "
                "event=stopped");
}

int
RequestTrace_Write(Str lines, Str id, GString *out)
{
    Trace this = {
        .id = id,
        .request = g_array_new(FALSE, FALSE, sizeof(LogEvent)),
        .nearby = g_array_new(FALSE, FALSE, sizeof(LogEvent)),
        .hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .upstreams =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .text = g_string_new(NULL),
    };
    int code = 0;

    collect_request_lines(&this, lines);
    if (this.request->len > 0) {
        collect_nearby_lines(&this, lines);
        write_events(&this, this.request, out);
        if (this.nearby->len > 0) {
            g_string_append(out, "its hosts and upstreams at that time:\n");
            write_events(&this, this.nearby, out);
        }
        write_conclusion(&this, out);
    }
    else {
        g_string_append_printf(
            out,
            "no line has this id; %" G_GUINT64_FORMAT
            " lines were dropped by the rate limit of the log\nnext: "
            "agatecrank_refusals_total of the hosts has the reasons\n",
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
