#include "CutExcuse.h"

#include <glib.h>

#define SETTLE_TIME_US (3 * MICROS_PER_S)

struct CutExcuse_ {
    const HostStates *states;
    const LinkFaults *links;
};

CutExcuse *
CutExcuse_Create(const HostStates *states, const LinkFaults *links)
{
    CutExcuse *this = g_new0(CutExcuse, 1);

    this->states = states;
    this->links = links;
    return this;
}

void
CutExcuse_Destroy(CutExcuse *this)
{
    g_free(this);
}

bool
CutExcuse_Applies(const CutExcuse *this, unsigned host)
{
    return !HostStates_IsSteady(this->states, host, SETTLE_TIME_US) ||
           LinkFaults_IsCut(this->links, LINKS_TO_HOSTS, host);
}
