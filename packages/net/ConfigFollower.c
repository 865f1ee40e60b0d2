#include "ConfigFollower.h"

#include <glib.h>

#define TICK (50 * MICROS_PER_MS)
#define STREAMS 2

typedef struct Reader_ {
    ConfigFollower *follower;
    ConfigStream stream;
} Reader;

struct ConfigFollower_ {
    Loop *loop;
    ConfigSync *sync;
    ConfigState *state;
    LogClient *log;
    EventLog *events;
    Micros timeout;
    ConfigFollowerHandlers handlers;
    void *user;
    LoopTimer *timer;
    Reader readers[STREAMS];
    uint64_t offset;
    bool draining;
};

static void
report_change(ConfigFollower *this)
{
    if (ConfigState_Offset(this->state) == this->offset) {
        return;
    }
    this->offset = ConfigState_Offset(this->state);
    if (EventLog_Begin(this->events, LOG_LEVEL_INFO, "config-applied")) {
        EventLog_Int(this->events, "offset", (int64_t)this->offset);
        EventLog_Int(this->events, "accepted",
                     (int64_t)ConfigState_AcceptedOffset(this->state));
        EventLog_End(this->events);
    }
    this->handlers.on_changed(this->user);
}

static void
read_done(void *user, const LogRead *read)
{
    const Reader *reader = user;
    ConfigFollower *this = reader->follower;
    ConfigRecord *records;

    if (read->code < 0) {
        ConfigSync_OnReadFailed(this->sync, reader->stream);
        ConfigFollower_Drain(this);
        return;
    }
    records = g_new(ConfigRecord, read->count + 1);
    for (size_t i = 0; i < read->count; i++) {
        records[i] =
            (ConfigRecord){read->records[i].offset, read->records[i].time_ms,
                           read->records[i].data};
    }
    ConfigSync_OnRecords(this->sync, reader->stream, read->first, read->next,
                         records, read->count);
    g_free(records);
    ConfigFollower_Drain(this);
}

static void
append_done(void *user, int code, uint64_t offset)
{
    ConfigFollower *this = user;

    ConfigSync_OnAppended(this->sync, code);
    ConfigFollower_Drain(this);
}

static void
do_action(ConfigFollower *this, const ConfigAction *action)
{
    switch (action->type) {
    case CONFIG_ACTION_READ:
        LogClient_Read(this->log,
                       action->read.stream == STREAM_CONFIG ? STR("config")
                                                            : STR("snapshots"),
                       action->read.from, action->read.max,
                       (Micros)action->read.wait_ms * MICROS_PER_MS,
                       this->timeout, read_done,
                       &this->readers[action->read.stream]);
        return;
    case CONFIG_ACTION_FETCH:
        this->handlers.on_fetch(this->user, &action->fetch.request,
                                action->fetch.choice);
        return;
    case CONFIG_ACTION_APPEND:
        LogClient_Append(this->log, STR("snapshots"), action->append.record,
                         this->timeout, append_done, this);
        return;
    }
}

void
ConfigFollower_Drain(ConfigFollower *this)
{
    ConfigAction action;

    if (this->draining) {
        return;
    }
    this->draining = true;
    while (ConfigSync_NextAction(this->sync, &action)) {
        do_action(this, &action);
    }
    this->draining = false;
    report_change(this);
}

static void
tick(void *user)
{
    ConfigFollower *this = user;

    LoopTimer_Start(this->timer, TICK);
    ConfigSync_OnTick(this->sync);
    ConfigFollower_Drain(this);
}

ConfigFollower *
ConfigFollower_Create(Loop *loop, ConfigSync *sync, ConfigState *state,
                      LogClient *log, Micros timeout, EventLog *events,
                      const ConfigFollowerHandlers *handlers, void *user)
{
    ConfigFollower *this = g_new0(ConfigFollower, 1);

    this->loop = loop;
    this->sync = sync;
    this->state = state;
    this->log = log;
    this->events = events;
    this->timeout = timeout;
    this->handlers = *handlers;
    this->user = user;
    for (int i = 0; i < STREAMS; i++) {
        this->readers[i].follower = this;
        this->readers[i].stream = (ConfigStream)i;
    }
    this->timer = LoopTimer_Create(loop, tick, this);
    LoopTimer_Start(this->timer, 1);
    return this;
}

void
ConfigFollower_Destroy(ConfigFollower *this)
{
    LoopTimer_Destroy(this->timer);
    g_free(this);
}
