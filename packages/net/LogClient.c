#include "LogClient.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define RESPONSE_BYTES_MAX (96 * 1024 * 1024)
#define PATH_BYTES_MAX 256

struct LogClient_ {
    HttpFetch *fetch;
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
} PendingCall;

LogClient *
LogClient_Create(Loop *loop, Str url, const HttpClientOptions *client_options,
                 Error *error)
{
    LogClient *this = g_new0(LogClient, 1);

    this->fetch =
        HttpFetch_Create(loop, url, RESPONSE_BYTES_MAX, client_options, error);
    if (this->fetch == NULL) {
        g_free(this);
        return NULL;
    }
    return this;
}

void
LogClient_Destroy(LogClient *this)
{
    if (this == NULL) {
        return;
    }
    HttpFetch_Destroy(this->fetch);
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

static void
on_read(void *user, const HttpFetchResponse *response)
{
    PendingCall *pending = user;
    GArray *records = g_array_new(FALSE, FALSE, sizeof(LogRecord));
    LogRead read = {0};

    read.code = parse_read(response, &read, records);
    read.records = (const LogRecord *)(void *)records->data;
    read.count = records->len;
    pending->client->bytes += response->body.length;
    pending->read(pending->user, &read);
    g_array_free(records, TRUE);
    g_free(pending);
}

void
LogClient_Read(LogClient *this, Str stream, uint64_t from, uint32_t max,
               Micros wait, Micros timeout, LogReadHandler *handler,
               void *user)
{
    PendingCall *pending = create_pending(this, user);
    char path[PATH_BYTES_MAX];

    pending->read = handler;
    g_snprintf(path, sizeof(path),
               "/streams/" STR_FORMAT "?from=%" G_GUINT64_FORMAT
               "&max=%u&wait_ms=%" G_GINT64_FORMAT,
               STR_ARGS(stream), from, max, wait / MICROS_PER_MS);
    HttpFetch_Send(this->fetch, STR("GET"), Str_FromC(path), NULL, STR(""),
                   wait + timeout, on_read, pending);
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
