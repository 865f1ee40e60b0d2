#include "Replica.h"

#include <glib.h>

#define NEVER (365 * (Micros)24 * 3600 * MICROS_PER_S)
#define POLL (10 * MICROS_PER_MS)

struct Replica_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    LogClient *log;
    ConfigState *state;
    ConfigSync *sync;
    ConfigFollower *follower;
    LoopTimer *poll;
    Micros timeout;
    Micros until;
    bool (*done)(Replica *this);
    bool succeeded;
    bool appended;
    int append_code;
    Str author;
    Str id;
};

static void
poll_condition(void *user)
{
    Replica *this = user;

    if (this->done(this)) {
        this->succeeded = true;
        Loop_Stop(this->loop);
    }
    else if (Clock_Now(this->clock) >= this->until) {
        Loop_Stop(this->loop);
    }
    else {
        LoopTimer_Start(this->poll, POLL);
    }
}

static bool
run_until(Replica *this, bool (*done)(Replica *))
{
    this->done = done;
    this->succeeded = false;
    this->until = Clock_Now(this->clock) + this->timeout;
    LoopTimer_Start(this->poll, 1);
    Loop_Run(this->loop);
    return this->succeeded;
}

static void
ignore_change(void *user)
{
    (void)user;
}

static void
refuse_fetch(void *user, const ConfigFetch *fetch, uint64_t choice)
{
    Replica *this = user;

    ConfigSync_OnFetchFailed(this->sync);
}

Replica *
Replica_Create(const CliSettings *settings, Error *error)
{
    static const ConfigFollowerHandlers handlers = {ignore_change,
                                                    refuse_fetch};
    ConfigOptions config = {.bootstrap_keys = settings->bootstrap_keys};
    /* A command never writes snapshots. */
    ConfigSyncOptions sync = {
        .snapshots = {.interval = NEVER, .records_max = UINT64_MAX}};
    HttpClientOptions tls = {0};
    Replica *this = g_new0(Replica, 1);

    this->clock = Clock_CreateSystem();
    this->random = Random_Create((uint64_t)g_get_real_time());
    this->timeout = (Micros)settings->timeout_ms * MICROS_PER_MS;
    this->loop = Loop_Create(this->clock, NULL, error);
    this->log = LogClient_Create(this->loop, settings->log_url, &tls, error);
    if (this->log == NULL) {
        Replica_Destroy(this);
        return NULL;
    }
    this->state = ConfigState_Create(&config);
    this->sync =
        ConfigSync_Create(&sync, this->state, this->clock, this->random, NULL);
    this->follower =
        ConfigFollower_Create(this->loop, this->sync, this->state, this->log,
                              MICROS_PER_S, NULL, &handlers, this);
    this->poll = LoopTimer_Create(this->loop, poll_condition, this);
    return this;
}

void
Replica_Destroy(Replica *this)
{
    LoopTimer_Destroy(this->poll);
    if (this->follower != NULL) {
        ConfigFollower_Destroy(this->follower);
        ConfigSync_Destroy(this->sync);
        ConfigState_Destroy(this->state);
    }
    Random_Destroy(this->random);
    g_free(this);
}

static bool
is_current(Replica *this)
{
    ConfigSyncStatus status;

    ConfigSync_Status(this->sync, &status);
    return status.log_up && !status.gap && status.offset >= status.log_next;
}

int
Replica_CatchUp(Replica *this, Error *error)
{
    ConfigSyncStatus status;

    if (run_until(this, is_current)) {
        return 0;
    }
    ConfigSync_Status(this->sync, &status);
    return Error_Set(
        error, ERR_UNAVAILABLE, "read-config", STR("log service"), "%s",
        status.reason[0] != '\0' ? status.reason
                                 : "the log could not be read in time");
}

const ConfigState *
Replica_State(const Replica *this)
{
    return this->state;
}

static void
append_done(void *user, int code, uint64_t offset)
{
    Replica *this = user;

    this->append_code = code;
    this->appended = true;
}

static bool
is_appended(Replica *this)
{
    return this->appended;
}

int
Replica_Append(Replica *this, Str record)
{
    this->appended = false;
    LogClient_Append(this->log, STR("config"), record, this->timeout / 2,
                     append_done, this);
    if (!run_until(this, is_appended)) {
        return ERR_TIMEOUT;
    }
    return this->append_code;
}

static bool
is_decided(Replica *this)
{
    ConfigVerdict verdict;
    bool found;

    ConfigVerdict_Init(&verdict);
    found = ConfigState_Verdict(this->state, this->author, this->id,
                                &verdict) == 0;
    ConfigVerdict_Clear(&verdict);
    return found;
}

int
Replica_AwaitVerdict(Replica *this, Str author, Str id, ConfigVerdict *verdict)
{
    this->author = author;
    this->id = id;
    if (!run_until(this, is_decided)) {
        return ERR_TIMEOUT;
    }
    return ConfigState_Verdict(this->state, author, id, verdict);
}
