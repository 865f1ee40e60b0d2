#include "StopCheck.h"

#include <stdbool.h>

#define LATE_SEND_US (3 * MICROS_PER_S)
#define AFTER_GRACE_US (1 * MICROS_PER_S)

typedef enum End_ {
    END_NONE,
    END_HOST_RESPONSE,
    END_CUT,
} End;

typedef struct Attempt_ {
    unsigned host;
    Micros sent;
    Micros broken_off; /* -1 if it was not */
    Micros ended;
    End end;
    int status;
    bool executed;
    bool ended_by_upstream;
} Attempt;

struct StopCheck_ {
    StopCheckOptions options;
    GHashTable *attempts; /* id to Attempt, owned */
};

StopCheck *
StopCheck_Create(const StopCheckOptions *options)
{
    StopCheck *this = g_new0(StopCheck, 1);

    this->options = *options;
    this->attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return this;
}

void
StopCheck_Destroy(StopCheck *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->attempts);
        g_free(this);
    }
}

void
StopCheck_OnSent(StopCheck *this, const char *id, unsigned host, Micros now)
{
    Attempt *attempt = g_new0(Attempt, 1);

    attempt->host = host;
    attempt->sent = now;
    attempt->broken_off = -1;
    g_hash_table_insert(this->attempts, g_strdup(id), attempt);
}

static Attempt *
find(const StopCheck *this, const char *id)
{
    return g_hash_table_lookup(this->attempts, id);
}

void
StopCheck_OnExecution(StopCheck *this, const char *id)
{
    Attempt *attempt = find(this, id);

    if (attempt != NULL) {
        attempt->executed = true;
    }
}

void
StopCheck_OnUpstreamEnd(StopCheck *this, const char *id)
{
    Attempt *attempt = find(this, id);

    if (attempt != NULL) {
        attempt->ended_by_upstream = true;
    }
}

void
StopCheck_OnBrokenOff(StopCheck *this, const char *id, int sender, Micros now)
{
    Attempt *attempt = find(this, id);

    if (attempt == NULL) {
        return;
    }
    if (sender >= 0 && (unsigned)sender < this->options.cut_hosts) {
        attempt->ended_by_upstream = true;
        return;
    }
    attempt->broken_off = now;
}

static void
end_attempt(StopCheck *this, const char *id, End end, Micros now)
{
    Attempt *attempt = find(this, id);

    if (attempt != NULL) {
        attempt->end = end;
        attempt->ended = now;
    }
}

void
StopCheck_OnHostResponse(StopCheck *this, const char *id, int status,
                         Micros now)
{
    Attempt *attempt = find(this, id);

    if (attempt != NULL) {
        attempt->status = status;
    }
    end_attempt(this, id, END_HOST_RESPONSE, now);
}

void
StopCheck_OnCut(StopCheck *this, const char *id, Micros now)
{
    end_attempt(this, id, END_CUT, now);
}

static gboolean
is_open(gpointer id, gpointer value, gpointer user)
{
    return ((const Attempt *)value)->end == END_NONE;
}

void
StopCheck_ExcuseOpen(StopCheck *this)
{
    g_hash_table_foreach_remove(this->attempts, is_open, NULL);
}

static bool
is_lost(const StopCheck *this, const Attempt *attempt, Micros stop)
{
    const StopCheckOptions *options = &this->options;
    Micros broken_off = attempt->end == END_HOST_RESPONSE ? attempt->broken_off
                                                          : attempt->ended;

    if (attempt->end == END_HOST_RESPONSE && attempt->broken_off < stop) {
        return false;
    }
    return attempt->executed && !attempt->ended_by_upstream &&
           attempt->ended - attempt->sent < options->route_time &&
           (broken_off - stop < options->grace * 5 / 6 ||
            attempt->sent - stop > LATE_SEND_US);
}

static char *
describe(const char *id, const Attempt *attempt, Micros stop)
{
    return g_strdup_printf(
        "lost id=%s host=%u status=%d sent_ms=%d broken_off_ms=%d ended_ms=%d",
        id, attempt->host, attempt->status,
        (int)((attempt->sent - stop) / MICROS_PER_MS),
        (int)((attempt->broken_off - stop) / MICROS_PER_MS),
        (int)((attempt->ended - stop) / MICROS_PER_MS));
}

unsigned
StopCheck_Judge(const StopCheck *this, StopReport *report, void *user)
{
    GHashTableIter iter;
    gpointer id, value;
    unsigned judged = 0;

    g_hash_table_iter_init(&iter, this->attempts);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const Attempt *attempt = value;
        Micros stop;

        if (attempt->end == END_NONE) {
            continue;
        }
        stop = HostEvents_LastBefore(this->options.stops, attempt->host,
                                     attempt->ended);
        if (stop < 0 ||
            attempt->ended - stop > this->options.grace + AFTER_GRACE_US) {
            continue;
        }
        judged++;
        if (is_lost(this, attempt, stop)) {
            g_autofree char *text = describe(id, attempt, stop);

            report(user, text);
        }
    }
    return judged;
}
