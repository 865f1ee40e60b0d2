#include "NoticeReader.h"

#include <glib.h>

/* Interval of log lines for malformed fields. */
#define LOG_INTERVAL_US (1 * MICROS_PER_S)
/* Bytes of a malformed field that are logged. */
#define LOGGED_BYTES_MAX 64

struct NoticeReader_ {
    const Dialect *dialect;
    const Clock *clock;
    EventLog *log;
    Counters *counters;
    Micros next_log_at;
    int64_t unlogged; /* malformed fields since the last line */
};

NoticeReader *
NoticeReader_Create(const Dialect *dialect, const Clock *clock, EventLog *log,
                    Counters *counters)
{
    NoticeReader *this = g_new0(NoticeReader, 1);

    this->dialect = dialect;
    this->clock = clock;
    this->log = log;
    this->counters = counters;
    return this;
}

void
NoticeReader_Destroy(NoticeReader *this)
{
    g_free(this);
}

static void
report_invalid(NoticeReader *this, const char *field, Str text)
{
    CounterLabel label = {"field", Str_FromC(field)};
    Micros now = Clock_Now(this->clock);

    Counters_Add(this->counters, "agatecrank_bad_notices_total", &label, 1, 1);
    if (now < this->next_log_at) {
        this->unlogged++;
        return;
    }
    this->next_log_at = now + LOG_INTERVAL_US;
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "bad-notice")) {
        text.length = MIN(text.length, LOGGED_BYTES_MAX);
        EventLog_CStr(this->log, "field", field);
        EventLog_Str(this->log, "text", text);
        EventLog_Int(this->log, "unlogged", this->unlogged);
        EventLog_End(this->log);
    }
    this->unlogged = 0;
}

static size_t
count_fields(const HeaderList *headers, Str name)
{
    size_t n = 0;
    Str field, value;

    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &field, &value);
        n += Str_EqualIgnoreCase(field, name);
    }
    return n;
}

static bool
read_leaving(NoticeReader *this, const HeaderList *headers)
{
    Str name = this->dialect->leaving;
    Str text = HeaderList_Get(headers, name);

    if (!HeaderList_Has(headers, name)) {
        return false;
    }
    if (count_fields(headers, name) > 1 ||
        this->dialect->parse_leaving(text) < 0) {
        report_invalid(this, "leaving", text);
        return false;
    }
    return true;
}

static Micros
read_pause(NoticeReader *this, const HeaderList *headers)
{
    Str name = this->dialect->pause;
    Str text = HeaderList_Get(headers, name);
    Micros pause = 0;
    int code;

    if (!HeaderList_Has(headers, name)) {
        return 0;
    }
    code = count_fields(headers, name) > 1
               ? ERR_PARSE
               : this->dialect->parse_pause(text, &pause);
    if (code < 0) {
        report_invalid(this, "pause", text);
    }
    return code == 0 || code == ERR_LIMIT ? pause : 0;
}

static Micros
read_warmup(NoticeReader *this, const HeaderList *headers)
{
    Str name = this->dialect->warmup;
    Str text = HeaderList_Get(headers, name);
    Micros warmup = 0;

    if (!HeaderList_Has(headers, name)) {
        return 0;
    }
    if (count_fields(headers, name) > 1 ||
        this->dialect->parse_warmup(text, &warmup) < 0) {
        report_invalid(this, "warmup", text);
        return 0;
    }
    return warmup;
}

UpstreamNotice
NoticeReader_Read(NoticeReader *this, int status, const HeaderList *headers)
{
    return (UpstreamNotice){
        .leaving = read_leaving(this, headers),
        .pause = status == 503 ? read_pause(this, headers) : 0,
        .warmup = read_warmup(this, headers),
    };
}

bool
NoticeReader_IsOwn(const NoticeReader *this, int status,
                   const HeaderList *headers, Str attempt_id)
{
    /* Another upstream uses the address. */
    if (status == 421) {
        return false;
    }
    return Str_Equal(HeaderList_Get(headers, this->dialect->attempt_id),
                     attempt_id);
}
