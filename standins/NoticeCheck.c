#include "NoticeCheck.h"

#include <glib.h>
#include <stdio.h>

#define LEAVING_ALLOWED_US (2 * MICROS_PER_S)
#define PAUSE_ALLOWED_US (500 * MICROS_PER_MS)
#define PAUSE_ALLOWED_COUNT 2
#define NEVER (-1)

typedef struct Sent_ {
    unsigned host;
    Micros at;
} Sent;

typedef struct Pause_ {
    Micros told_at;
    Micros from; /* the rule applies from then on */
    Micros to;
    unsigned arrivals;
} Pause;

/* What a host has been told by an upstream. */
typedef struct Told_ {
    GArray *leaving; /* Micros: when the host has passed it on */
    GArray *pauses;  /* Pause */
} Told;

typedef struct Upstream_ {
    GHashTable *told; /* Told by host */
    Micros started_at;
} Upstream;

struct NoticeCheck_ {
    const HostEvents *events;
    GHashTable *sent;      /* Sent by id */
    GHashTable *upstreams; /* Upstream by id */
    GHashTable *cut_at;    /* Micros by host: last begin or end of a cut */
    unsigned leaving_count;
    unsigned pause_count;
};

static void
free_told(gpointer data)
{
    Told *told = data;

    g_array_free(told->leaving, TRUE);
    g_array_free(told->pauses, TRUE);
    g_free(told);
}

static void
free_upstream(gpointer data)
{
    Upstream *upstream = data;

    g_hash_table_destroy(upstream->told);
    g_free(upstream);
}

NoticeCheck *
NoticeCheck_Create(const HostEvents *events)
{
    NoticeCheck *this = g_new0(NoticeCheck, 1);

    this->events = events;
    this->sent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_upstream);
    this->cut_at = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return this;
}

void
NoticeCheck_Destroy(NoticeCheck *this)
{
    g_hash_table_destroy(this->sent);
    g_hash_table_destroy(this->upstreams);
    g_hash_table_destroy(this->cut_at);
    g_free(this);
}

static Upstream *
find_upstream(NoticeCheck *this, const char *id)
{
    Upstream *upstream = g_hash_table_lookup(this->upstreams, id);

    if (upstream == NULL) {
        upstream = g_new0(Upstream, 1);
        upstream->told = g_hash_table_new_full(NULL, NULL, NULL, free_told);
        g_hash_table_insert(this->upstreams, g_strdup(id), upstream);
    }
    return upstream;
}

static Told *
find_told(Upstream *upstream, unsigned host)
{
    gpointer key = GUINT_TO_POINTER(host);
    Told *told = g_hash_table_lookup(upstream->told, key);

    if (told == NULL) {
        told = g_new0(Told, 1);
        told->leaving = g_array_new(FALSE, FALSE, sizeof(Micros));
        told->pauses = g_array_new(FALSE, FALSE, sizeof(Pause));
        g_hash_table_insert(upstream->told, key, told);
    }
    return told;
}

void
NoticeCheck_OnSent(NoticeCheck *this, const char *id, unsigned host,
                   Micros now)
{
    Sent *sent = g_new0(Sent, 1);

    *sent = (Sent){host, now};
    g_hash_table_insert(this->sent, g_strdup(id), sent);
}

/* A request that was sent before the upstream was started may have been
 * answered by the incarnation before. */
void
NoticeCheck_OnLeavingRelayed(NoticeCheck *this, const char *id,
                             const char *upstream, Micros now)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    Upstream *known = find_upstream(this, upstream);
    Told *told;

    if (sent == NULL || sent->at < known->started_at) {
        return;
    }
    told = find_told(known, sent->host);
    this->leaving_count += told->leaving->len == 0;
    g_array_append_val(told->leaving, now);
}

static int
host_of(const NoticeCheck *this, const char *id, int sender)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);

    if (sender != NOTICE_HOST_UNKNOWN || sent == NULL) {
        return sender;
    }
    return (int)sent->host;
}

void
NoticeCheck_OnPause(NoticeCheck *this, const char *id, int sender,
                    const char *upstream, Micros now, Micros pause)
{
    int host = host_of(this, id, sender);
    Pause entry = {now, now + PAUSE_ALLOWED_US, now + pause, 0};

    if (host != NOTICE_HOST_UNKNOWN) {
        g_array_append_val(
            find_told(find_upstream(this, upstream), (unsigned)host)->pauses,
            entry);
        this->pause_count++;
    }
}

void
NoticeCheck_OnRestart(NoticeCheck *this, const char *upstream, Micros now)
{
    Upstream *known = find_upstream(this, upstream);

    g_hash_table_remove_all(known->told);
    known->started_at = now;
}

void
NoticeCheck_OnCut(NoticeCheck *this, unsigned host, Micros now)
{
    g_hash_table_insert(this->cut_at, GUINT_TO_POINTER(host),
                        g_memdup2(&now, sizeof(now)));
}

static Micros
last_event(const NoticeCheck *this, int host)
{
    return this->events != NULL ? HostEvents_Last(this->events, (unsigned)host)
                                : NEVER;
}

static Micros
last_cut(const NoticeCheck *this, int host)
{
    const Micros *at =
        g_hash_table_lookup(this->cut_at, GINT_TO_POINTER(host));

    return at != NULL ? *at : NEVER;
}

static Told *
told_of_host(const NoticeCheck *this, int host, const char *upstream)
{
    const Upstream *known = g_hash_table_lookup(this->upstreams, upstream);

    return host != NOTICE_HOST_UNKNOWN && known != NULL
               ? g_hash_table_lookup(known->told, GINT_TO_POINTER(host))
               : NULL;
}

/* Returns whether the host had passed on that the upstream leaves after some
 * time, and 2 s or more before @sent_at. */
static bool
was_told(const Told *told, Micros after, Micros sent_at)
{
    for (guint i = 0; i < told->leaving->len; i++) {
        Micros at = g_array_index(told->leaving, Micros, i);

        if (at > after && sent_at > at + LEAVING_ALLOWED_US) {
            return true;
        }
    }
    return false;
}

bool
NoticeCheck_IsLate(const NoticeCheck *this, const char *id, int sender,
                   const char *upstream)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    int host = host_of(this, id, sender);
    const Told *told = told_of_host(this, host, upstream);

    return told != NULL && sent != NULL && was_told(told, NEVER, sent->at) &&
           was_told(told, last_event(this, host), sent->at);
}

bool
NoticeCheck_IsEarly(NoticeCheck *this, const char *id, int sender,
                    const char *upstream, Micros now)
{
    int host = host_of(this, id, sender);
    const Told *told = told_of_host(this, host, upstream);
    bool early = false;

    for (guint i = 0; told != NULL && i < told->pauses->len; i++) {
        Pause *pause = &g_array_index(told->pauses, Pause, i);

        if (now >= pause->from && now < pause->to &&
            ++pause->arrivals > PAUSE_ALLOWED_COUNT && !early) {
            early = pause->told_at > last_event(this, host) &&
                    pause->told_at > last_cut(this, host);
        }
    }
    return early;
}

void
NoticeCheck_PrintTotals(const NoticeCheck *this)
{
    printf("leaving_told=%u\npauses_told=%u\n", this->leaving_count,
           this->pause_count);
}
