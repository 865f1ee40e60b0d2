#include "ConfigFollower.h"

#include <glib.h>

#define TICK_INTERVAL_US (50 * MICROS_PER_MS)
#define STREAM_COUNT 2

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
    Reader readers[STREAM_COUNT];
    uint64_t offset;      /* last one reported to the owner */
    bool running_actions; /* prevents recursion */
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
on_read(void *user, const LogRead *read)
{
    const Reader *reader = user;
    ConfigFollower *this = reader->follower;
    ConfigRecord *records;

    if (read->code < 0) {
        ConfigSync_OnReadFailed(this->sync, reader->stream);
        ConfigFollower_RunActions(this);
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
    ConfigFollower_RunActions(this);
}

static void
on_appended(void *user, int code, uint64_t offset)
{
    ConfigFollower *this = user;

    ConfigSync_OnAppended(this->sync, code);
    ConfigFollower_RunActions(this);
}

static void
run_action(ConfigFollower *this, const ConfigAction *action)
{
    switch (action->type) {
    case CONFIG_ACTION_READ:
        LogClient_Read(this->log,
                       action->read.stream == STREAM_CONFIG ? STR("config")
                                                            : STR("snapshots"),
                       action->read.from, action->read.max,
                       (Micros)action->read.wait_ms * MICROS_PER_MS,
                       this->timeout, on_read,
                       &this->readers[action->read.stream]);
        return;
    case CONFIG_ACTION_FETCH:
        this->handlers.on_fetch(this->user, &action->fetch.request,
                                action->fetch.choice);
        return;
    case CONFIG_ACTION_APPEND:
        LogClient_Append(this->log, STR("snapshots"), action->append.record,
                         this->timeout, on_appended, this);
        return;
    }
}

void
ConfigFollower_RunActions(ConfigFollower *this)
{
    ConfigAction action;

    if (this->running_actions) {
        return;
    }
    this->running_actions = true;
    while (ConfigSync_NextAction(this->sync, &action)) {
        run_action(this, &action);
    }
    this->running_actions = false;
    report_change(this);
}

static void
on_tick(void *user)
{
    ConfigFollower *this = user;

    LoopTimer_Start(this->timer, TICK_INTERVAL_US);
    ConfigSync_OnTick(this->sync);
    ConfigFollower_RunActions(this);
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
    for (int i = 0; i < STREAM_COUNT; i++) {
        this->readers[i].follower = this;
        this->readers[i].stream = (ConfigStream)i;
    }
    this->timer = LoopTimer_Create(loop, on_tick, this);
    LoopTimer_Start(this->timer, 1);
    return this;
}

void
ConfigFollower_Destroy(ConfigFollower *this)
{
    LoopTimer_Destroy(this->timer);
    g_free(this);
}
