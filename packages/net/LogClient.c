#include "LogClient.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* The service takes no longer record. */
#define RECORD_BYTES_MAX (256 * 1024)
/* The line before a record, with three numbers of up to 20 digits, and the line
 * feed after it. */
#define RECORD_FRAME_BYTES_MAX 64
/* Records that always fit into a response. */
#define FITTING_RECORDS                                                       \
    (LOG_RESPONSE_BYTES_MAX / (RECORD_BYTES_MAX + RECORD_FRAME_BYTES_MAX))
#define PATH_BYTES_MAX 256

struct LogClient_ {
    HttpFetch *fetch;
    EventLog *log;
    GHashTable *limits; /* records of a read by stream, where responses were
                         * too long */
    uint64_t bytes;
    uint64_t appends;
};

typedef struct PendingCall_ {
    LogClient *client;
    union {
        LogReadHandler *read;
        LogAppendHandler *append;
    };
    void *user;
    struct {
        char *stream;
        uint64_t from;
        uint32_t max; /* of the caller */
        uint32_t limited_max;
        Micros wait;
        Micros timeout;
    } request; /* of a read */
} PendingCall;

LogClient *
LogClient_Create(Loop *loop, Str url, const HttpClientOptions *client_options,
                 EventLog *log, Error *error)
{
    HttpFetch *fetch = HttpFetch_Create(loop, url, LOG_RESPONSE_BYTES_MAX,
                                        client_options, error);
    LogClient *this;

    if (fetch == NULL) {
        return NULL;
    }
    this = g_new0(LogClient, 1);
    this->fetch = fetch;
    this->log = log;
    this->limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return this;
}

void
LogClient_Destroy(LogClient *this)
{
    if (this == NULL) {
        return;
    }
    HttpFetch_Destroy(this->fetch);
    g_hash_table_destroy(this->limits);
    g_free(this);
}

static PendingCall *
create_pending(LogClient *this, void *user)
{
    PendingCall *pending = g_new0(PendingCall, 1);

    pending->client = this;
    pending->user = user;
    return pending;
}

static bool
parse_offset(Str body, uint64_t *offset)
{
    static const char key[] = "\"offset\"";
    char *text = g_strndup(body.data, body.length);
    const char *found = strstr(text, key);
    char *end = NULL;
    bool valid = false;

    if (found != NULL) {
        found = strchr(found + sizeof(key) - 1, ':');
    }
    if (found != NULL) {
        *offset = strtoull(found + 1, &end, 10);
        valid = end != found + 1;
    }
    g_free(text);
    return valid;
}

static void
on_appended(void *user, const HttpFetchResponse *response)
{
    PendingCall *pending = user;
    uint64_t offset = 0;
    int code = response->code;

    if (code < 0 && !response->maybe_sent) {
        code = ERR_UNAVAILABLE;
    }
    else if (code == 0 && response->status == 503) {
        code = ERR_UNAVAILABLE;
    }
    else if (code == 0 && (response->status != 200 ||
                           !parse_offset(response->body, &offset))) {
        code = ERR_PROTOCOL;
    }
    pending->append(pending->user, code, offset);
    g_free(pending);
}

void
LogClient_Append(LogClient *this, Str stream, Str record, Micros timeout,
                 LogAppendHandler *handler, void *user)
{
    PendingCall *pending = create_pending(this, user);
    char path[PATH_BYTES_MAX];

    pending->append = handler;
    this->appends++;
    this->bytes += record.length;
    g_snprintf(path, sizeof(path), "/streams/" STR_FORMAT, STR_ARGS(stream));
    HttpFetch_Send(this->fetch, STR("POST"), Str_FromC(path), NULL, record,
                   timeout, on_appended, pending);
}

int
LogClient_ParseRecords(Str body, GArray *records)
{
    while (body.length > 0) {
        Str line, field;
        LogRecord record;
        uint64_t length;

        Str_Split(&body, '\n', &line);
        if (!Str_Split(&line, ' ', &field) ||
            Str_ParseU64(field, &record.offset) < 0 ||
            !Str_Split(&line, ' ', &field) ||
            Str_ParseU64(field, &record.time_ms) < 0 ||
            Str_ParseU64(line, &length) < 0 || length >= body.length ||
            body.data[length] != '\n') {
            return ERR_PROTOCOL;
        }
        record.data = (Str){body.data, (size_t)length};
        body.data += length + 1;
        body.length -= (size_t)length + 1;
        g_array_append_val(records, record);
    }
    return 0;
}

static int
parse_read(const HttpFetchResponse *response, LogRead *read, GArray *records)
{
    Str first, next;

    if (response->code < 0) {
        return response->code;
    }
    if (response->status != 200) {
        return response->status == 503 ? ERR_UNAVAILABLE : ERR_PROTOCOL;
    }
    first = HeaderList_Get(response->headers, STR("log-first"));
    next = HeaderList_Get(response->headers, STR("log-next"));
    if (Str_ParseU64(first, &read->first) < 0 ||
        Str_ParseU64(next, &read->next) < 0) {
        return ERR_PROTOCOL;
    }
    return LogClient_ParseRecords(response->body, records);
}

static void send_read(PendingCall *pending);

static void
log_dropped(const PendingCall *pending)
{
    EventLog *log = pending->client->log;

    if (EventLog_Begin(log, LOG_LEVEL_WARN, "log-read-dropped")) {
        EventLog_CStr(log, "stream", pending->request.stream);
        EventLog_Int(log, "offset", (int64_t)pending->request.from);
        EventLog_Int(log, "records_max", pending->request.limited_max);
        EventLog_CStr(log, "reason", "too-long");
        EventLog_End(log);
    }
}

/* Doubles the limit of the stream while twice the records would fit. */
static void
raise_limit(const PendingCall *pending, size_t bytes, size_t count)
{
    GHashTable *limits = pending->client->limits;
    uint32_t max = pending->request.limited_max;

    if (max == pending->request.max || count < max ||
        bytes > LOG_RESPONSE_BYTES_MAX / 2) {
        return;
    }
    if (max >= pending->request.max / 2) {
        g_hash_table_remove(limits, pending->request.stream);
    }
    else {
        g_hash_table_insert(limits, g_strdup(pending->request.stream),
                            GUINT_TO_POINTER(2 * max));
    }
}

static void
on_read(void *user, const HttpFetchResponse *response)
{
    PendingCall *pending = user;
    LogClient *this = pending->client;
    GArray *records;
    LogRead read = {.too_long = response->too_long};

    this->bytes += response->body.length;
    if (response->too_long) {
        log_dropped(pending);
        g_hash_table_insert(this->limits, g_strdup(pending->request.stream),
                            GUINT_TO_POINTER(FITTING_RECORDS));
        if (pending->request.limited_max > FITTING_RECORDS) {
            send_read(pending);
            return;
        }
    }
    records = g_array_new(FALSE, FALSE, sizeof(LogRecord));
    read.code = parse_read(response, &read, records);
    read.records = (const LogRecord *)(void *)records->data;
    read.count = records->len;
    if (read.code == 0) {
        raise_limit(pending, response->body.length, read.count);
    }
    pending->read(pending->user, &read);
    g_array_free(records, TRUE);
    g_free(pending->request.stream);
    g_free(pending);
}

static uint32_t
limit_records(const LogClient *this, const char *stream, uint32_t max)
{
    uint32_t limit =
        GPOINTER_TO_UINT(g_hash_table_lookup(this->limits, stream));

    return limit > 0 ? MIN(max, limit) : max;
}

static void
send_read(PendingCall *pending)
{
    LogClient *this = pending->client;
    char path[PATH_BYTES_MAX];

    pending->request.limited_max =
        limit_records(this, pending->request.stream, pending->request.max);
    g_snprintf(path, sizeof(path),
               "/streams/%s?from=%" G_GUINT64_FORMAT
               "&max=%u&wait_ms=%" G_GINT64_FORMAT,
               pending->request.stream, pending->request.from,
               pending->request.limited_max,
               pending->request.wait / MICROS_PER_MS);
    HttpFetch_Send(this->fetch, STR("GET"), Str_FromC(path), NULL, STR(""),
                   pending->request.wait + pending->request.timeout, on_read,
                   pending);
}

void
LogClient_Read(LogClient *this, Str stream, uint64_t from, uint32_t max,
               Micros wait, Micros timeout, LogReadHandler *handler,
               void *user)
{
    PendingCall *pending = create_pending(this, user);

    pending->read = handler;
    pending->request.stream = g_strndup(stream.data, stream.length);
    pending->request.from = from;
    pending->request.max = max;
    pending->request.wait = wait;
    pending->request.timeout = timeout;
    send_read(pending);
}

uint64_t
LogClient_BytesTransferred(const LogClient *this)
{
    return this->bytes;
}

uint64_t
LogClient_Appends(const LogClient *this)
{
    return this->appends;
}
