#include "ProxyHeaders.h"

#define DEADLINE_MAX_MS ((uint64_t)24 * 3600 * 1000)

static bool
is_internal(Str name)
{
    return Str_StartsWith(name, STR("agatecrank-"));
}

static void
copy_without_internal(const HeaderList *from, HeaderList *to)
{
    HeaderList *all = HeaderList_Create();
    Str name, value;

    HeaderList_CopyEndToEnd(from, all);
    for (size_t i = 0; i < HeaderList_Count(all); i++) {
        HeaderList_At(all, i, &name, &value);
        if (!is_internal(name)) {
            HeaderList_Add(to, name, value);
        }
    }
    HeaderList_Destroy(all);
}

HeaderList *
ProxyHeaders_ForUpstream(const HeaderList *from, const ForwardInfo *info)
{
    HeaderList *to = HeaderList_Create();

    copy_without_internal(from, to);
    HeaderList_Remove(to, STR("host"));
    HeaderList_Remove(to, STR("authorization"));
    HeaderList_Remove(to, STR("expect"));
    HeaderList_Set(to, STR("x-request-id"), info->request_id);
    HeaderList_Set(to, STR("x-forwarded-host"), info->host);
    HeaderList_Add(to, STR("agatecrank-caller"), info->caller);
    HeaderList_Add(to, STR("agatecrank-line"), info->line);
    HeaderList_AddInt(to, STR("agatecrank-deadline-ms"),
                      info->time_left > 0 ? info->time_left / MICROS_PER_MS
                                          : 0);
    HeaderList_AddInt(to, STR("agatecrank-hops"), info->hops);
    if (info->retrying) {
        HeaderList_Add(to, STR("agatecrank-retrying"), STR("1"));
    }
    return to;
}

HeaderList *
ProxyHeaders_ForCaller(const HeaderList *from, Str request_id, Outcome outcome)
{
    HeaderList *to = HeaderList_Create();

    copy_without_internal(from, to);
    HeaderList_Set(to, STR("x-request-id"), request_id);
    HeaderList_Add(to, STR("agatecrank-outcome"),
                   Str_FromC(Outcome_Name(outcome)));
    return to;
}

HeaderList *
ProxyHeaders_ForLocalResponse(Str request_id, Outcome outcome,
                              Outcome request_outcome, const char *reason,
                              Micros retry_after, GString *body)
{
    HeaderList *to = HeaderList_Create();
    Micros seconds = (retry_after + MICROS_PER_S - 1) / MICROS_PER_S;

    HeaderList_Add(to, STR("content-type"), STR("application/json"));
    HeaderList_Add(to, STR("x-request-id"), request_id);
    HeaderList_Add(to, STR("agatecrank-outcome"),
                   Str_FromC(Outcome_Name(outcome)));
    HeaderList_Add(to, STR("agatecrank-request-outcome"),
                   Str_FromC(Outcome_Name(request_outcome)));
    HeaderList_Add(to, STR("agatecrank-reason"), Str_FromC(reason));
    g_string_append_printf(body,
                           "{\"outcome\":\"%s\",\"request_outcome\":\"%s\","
                           "\"reason\":\"%s\","
                           "\"request_id\":\"" STR_FORMAT "\"",
                           Outcome_Name(outcome),
                           Outcome_Name(request_outcome), reason,
                           STR_ARGS(request_id));
    if (retry_after > 0) {
        HeaderList_AddInt(to, STR("retry-after"), seconds);
        g_string_append_printf(body, ",\"retry_after_ms\":%" G_GINT64_FORMAT,
                               retry_after / MICROS_PER_MS);
    }
    g_string_append(body, "}\n");
    return to;
}

Str
ProxyHeaders_Service(Str host)
{
    size_t length = 0;

    while (length < host.length && host.data[length] != '.' &&
           host.data[length] != ':') {
        length++;
    }
    return (Str){host.data, length};
}

Micros
ProxyHeaders_Deadline(const HeaderList *headers)
{
    uint64_t ms;
    Str text = HeaderList_Get(headers, STR("agatecrank-deadline-ms"));

    if (Str_ParseU64(text, &ms) < 0) {
        return 0;
    }
    if (ms > DEADLINE_MAX_MS) {
        ms = DEADLINE_MAX_MS;
    }
    /* 0 means a deadline that has passed: 1 us distinguishes it from no
     * deadline. */
    return ms > 0 ? (Micros)ms * MICROS_PER_MS : 1;
}
