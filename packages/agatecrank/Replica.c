#include "Replica.h"

#include <glib.h>

#define SNAPSHOT_INTERVAL_NEVER_US (365 * (Micros)24 * 3600 * MICROS_PER_S)
#define POLL_INTERVAL_US (10 * MICROS_PER_MS)

struct Replica_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    LogClient *log;
    ConfigState *state;
    ConfigSync *sync;
    ConfigFollower *follower;
    LoopTimer *poll_timer;
    Micros timeout;
    Micros deadline;
    bool (*condition)(Replica *this);
    bool condition_met;
    bool appended;
    int append_code;
    Str author;
    Str id;
};

static void
poll_condition(void *user)
{
    Replica *this = user;

    if (this->condition(this)) {
        this->condition_met = true;
        Loop_Stop(this->loop);
    }
    else if (Clock_Now(this->clock) >= this->deadline) {
        Loop_Stop(this->loop);
    }
    else {
        LoopTimer_Start(this->poll_timer, POLL_INTERVAL_US);
    }
}

static bool
wait_for(Replica *this, bool (*condition)(Replica *))
{
    this->condition = condition;
    this->condition_met = false;
    this->deadline = Clock_Now(this->clock) + this->timeout;
    LoopTimer_Start(this->poll_timer, 1);
    Loop_Run(this->loop);
    return this->condition_met;
}

static void
ignore_changes(void *user)
{
    (void)user;
}

static void
reject_fetch(void *user, const ConfigFetch *fetch, uint64_t choice)
{
    Replica *this = user;

    ConfigSync_OnFetchFailed(this->sync);
}

Replica *
Replica_Create(const CliSettings *settings, Error *error)
{
    static const ConfigFollowerHandlers handlers = {ignore_changes,
                                                    reject_fetch};
    ConfigOptions config = {.bootstrap_keys = settings->bootstrap_keys};
    /* The command never writes snapshots. */
    ConfigSyncOptions sync = {
        .snapshots = {.interval = SNAPSHOT_INTERVAL_NEVER_US,
                      .records_max = UINT64_MAX}};
    HttpClientOptions tls = {0};
    Replica *this = g_new0(Replica, 1);

    this->clock = Clock_CreateSystem();
    this->random = Random_Create((uint64_t)g_get_real_time());
    this->timeout = (Micros)settings->timeout_ms * MICROS_PER_MS;
    this->loop = Loop_Create(this->clock, NULL, error);
    this->log =
        LogClient_Create(this->loop, settings->log_url, &tls, NULL, error);
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
    this->poll_timer = LoopTimer_Create(this->loop, poll_condition, this);
    return this;
}

void
Replica_Destroy(Replica *this)
{
    LoopTimer_Destroy(this->poll_timer);
    if (this->follower != NULL) {
        ConfigFollower_Destroy(this->follower);
        ConfigSync_Destroy(this->sync);
        ConfigState_Destroy(this->state);
    }
    Random_Destroy(this->random);
    g_free(this);
}

static bool
is_caught_up(Replica *this)
{
    ConfigSyncStatus status;

    ConfigSync_Status(this->sync, &status);
    return status.log_up && !status.gap && status.offset >= status.log_next;
}

int
Replica_CatchUp(Replica *this, Error *error)
{
    ConfigSyncStatus status;

    if (wait_for(this, is_caught_up)) {
        return 0;
    }
    ConfigSync_Status(this->sync, &status);
    return Error_Set(
        error, ERR_UNAVAILABLE, "read-config", STR("log service"), "%s",
        status.reason[0] != '\0' ? status.reason
                                 : "timed out before the end of the log");
}

const ConfigState *
Replica_State(const Replica *this)
{
    return this->state;
}

static void
on_appended(void *user, int code, uint64_t offset)
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
                     on_appended, this);
    if (!wait_for(this, is_appended)) {
        return ERR_TIMEOUT;
    }
    return this->append_code;
}

static bool
has_verdict(Replica *this)
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
    if (!wait_for(this, has_verdict)) {
        return ERR_TIMEOUT;
    }
    return ConfigState_Verdict(this->state, author, id, verdict);
}
