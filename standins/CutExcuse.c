#include "CutExcuse.h"

#include <glib.h>

#define SETTLE_TIME_US (3 * MICROS_PER_S)

/* Whether a host reaches the store. */
typedef struct Reach_ {
    bool away;
    Micros away_since; /* begin of the last outage; short gaps belong to it */
    Micros back_since; /* end of the last outage */
} Reach;

struct CutExcuse_ {
    const HostStates *states;
    const LinkFaults *links;
    const Clock *clock;
    unsigned hosts;
    unsigned cut_hosts;
    Reach *reach; /* of each host */
};

CutExcuse *
CutExcuse_Create(const HostStates *states, const LinkFaults *links,
                 unsigned hosts, unsigned cut_hosts, const Clock *clock)
{
    CutExcuse *this = g_new0(CutExcuse, 1);

    this->states = states;
    this->links = links;
    this->clock = clock;
    this->hosts = hosts;
    this->cut_hosts = cut_hosts;
    this->reach = g_new0(Reach, hosts);
    for (unsigned i = 0; i < hosts; i++) {
        this->reach[i].back_since = Clock_Now(clock) - SETTLE_TIME_US;
    }
    return this;
}

void
CutExcuse_Destroy(CutExcuse *this)
{
    if (this == NULL) {
        return;
    }
    g_free(this->reach);
    g_free(this);
}

static bool
is_settled(const CutExcuse *this, unsigned host)
{
    const Reach *reach = &this->reach[host];

    return !reach->away &&
           Clock_Now(this->clock) - reach->back_since >= SETTLE_TIME_US;
}

void
CutExcuse_OnStore(CutExcuse *this, unsigned host, bool in_reach)
{
    Reach *reach = &this->reach[host];
    Micros now = Clock_Now(this->clock);

    if (in_reach != reach->away) {
        return;
    }
    if (is_settled(this, host)) {
        reach->away_since = now;
    }
    if (in_reach) {
        reach->back_since = now;
    }
    reach->away = !in_reach;
}

/* Returns whether a host was started some time ago, and before the present
 * outage of @reader, which reads its key. */
static bool
ran_before_outage(const CutExcuse *this, unsigned host, unsigned reader)
{
    Micros least = SETTLE_TIME_US;

    if (!is_settled(this, reader)) {
        least += Clock_Now(this->clock) - this->reach[reader].away_since;
    }
    return HostStates_HasRun(this->states, host, least);
}

/* Returns whether a host and one with a path can know the keys of each other.
 */
static bool
has_known_peer(const CutExcuse *this, unsigned host)
{
    for (unsigned i = this->cut_hosts; i < this->hosts; i++) {
        if (ran_before_outage(this, i, host) &&
            ran_before_outage(this, host, i) &&
            ran_before_outage(this, i, i)) {
            return true;
        }
    }
    return false;
}

bool
CutExcuse_Applies(const CutExcuse *this, unsigned host)
{
    return !HostStates_IsSteady(this->states, host, SETTLE_TIME_US) ||
           !ran_before_outage(this, host, host) ||
           LinkFaults_IsCut(this->links, LINKS_TO_HOSTS, host) ||
           (host < this->cut_hosts && !has_known_peer(this, host));
}
