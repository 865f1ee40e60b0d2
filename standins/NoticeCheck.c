#include "NoticeCheck.h"

#include <glib.h>
#include <stdio.h>

#define LEAVING_ALLOWED_US (2 * MICROS_PER_S)
#define PAUSE_ALLOWED_US (500 * MICROS_PER_MS)
#define PAUSE_ALLOWED_COUNT 2
/* Responses of the incarnation before may still be on their way. */
#define RESTART_SETTLED_US (500 * MICROS_PER_MS)
#define NEVER (-1)

typedef struct Sent_ {
    unsigned host;
    Micros at;
} Sent;

typedef struct Pause_ {
    Micros from; /* the rule applies from then on */
    Micros to;
    unsigned arrivals;
} Pause;

/* What a host has been told by an upstream. */
typedef struct Told_ {
    Micros leaving_at; /* NEVER if it was not */
    GArray *pauses;    /* Pause */
} Told;

typedef struct Upstream_ {
    GHashTable *told; /* Told by host */
    Micros settled_at;
} Upstream;

struct NoticeCheck_ {
    GHashTable *sent;      /* Sent by id */
    GHashTable *upstreams; /* Upstream by id */
    unsigned leaving_count;
    unsigned pause_count;
};

static void
free_told(gpointer data)
{
    Told *told = data;

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
NoticeCheck_Create(void)
{
    NoticeCheck *this = g_new0(NoticeCheck, 1);

    this->sent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_upstream);
    return this;
}

void
NoticeCheck_Destroy(NoticeCheck *this)
{
    g_hash_table_destroy(this->sent);
    g_hash_table_destroy(this->upstreams);
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
        told->leaving_at = NEVER;
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

void
NoticeCheck_OnLeavingRelayed(NoticeCheck *this, const char *id,
                             const char *upstream, Micros now)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    Upstream *known = find_upstream(this, upstream);
    Told *told = sent != NULL ? find_told(known, sent->host) : NULL;

    if (told != NULL && told->leaving_at == NEVER &&
        now >= known->settled_at) {
        told->leaving_at = now;
        this->leaving_count++;
    }
}

void
NoticeCheck_OnPause(NoticeCheck *this, const char *id, const char *upstream,
                    Micros now, Micros pause)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    Pause entry = {now + PAUSE_ALLOWED_US, now + pause, 0};

    if (sent != NULL) {
        g_array_append_val(
            find_told(find_upstream(this, upstream), sent->host)->pauses,
            entry);
        this->pause_count++;
    }
}

void
NoticeCheck_OnRestart(NoticeCheck *this, const char *upstream, Micros now)
{
    Upstream *known = find_upstream(this, upstream);

    g_hash_table_remove_all(known->told);
    known->settled_at = now + RESTART_SETTLED_US;
}

static Told *
told_of_request(const NoticeCheck *this, const Sent *sent,
                const char *upstream)
{
    const Upstream *known = g_hash_table_lookup(this->upstreams, upstream);

    return sent != NULL && known != NULL
               ? g_hash_table_lookup(known->told, GUINT_TO_POINTER(sent->host))
               : NULL;
}

bool
NoticeCheck_IsLate(const NoticeCheck *this, const char *id,
                   const char *upstream)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    const Told *told = told_of_request(this, sent, upstream);

    return told != NULL && told->leaving_at != NEVER &&
           sent->at > told->leaving_at + LEAVING_ALLOWED_US;
}

bool
NoticeCheck_IsEarly(NoticeCheck *this, const char *id, const char *upstream,
                    Micros now)
{
    const Sent *sent = g_hash_table_lookup(this->sent, id);
    const Told *told = told_of_request(this, sent, upstream);
    bool early = false;

    for (guint i = 0; told != NULL && i < told->pauses->len; i++) {
        Pause *pause = &g_array_index(told->pauses, Pause, i);

        if (now >= pause->from && now < pause->to &&
            ++pause->arrivals > PAUSE_ALLOWED_COUNT) {
            early = true;
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
