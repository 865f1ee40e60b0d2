#include "LinkFaults.h"

#include <stdio.h>

#include "Error.h"
#include "LossyLink.h"

#define FAULT_TIME_MIN (300 * MICROS_PER_MS)
#define FAULT_TIME_MAX (3 * MICROS_PER_S)

struct LinkFaults_ {
    HttpLoop *loop;
    Random *random;
    LinkFaultsOnClear *on_clear;
    void *user;
    GPtrArray *links; /* Link */
    unsigned disturbed[LINK_GROUPS];
};

typedef struct Link_ {
    LinkFaults *owner;
    LossyLink *lossy;
    LinkGroup group;
    Timer clear; /* runs while the link is disturbed */
} Link;

static void
free_link(gpointer data)
{
    Link *link = data;

    Timer_Stop(&link->clear);
    LossyLink_Destroy(link->lossy);
    g_free(link);
}

LinkFaults *
LinkFaults_Create(HttpLoop *loop, Random *random, LinkFaultsOnClear *on_clear,
                  void *user)
{
    LinkFaults *this = g_new0(LinkFaults, 1);

    this->loop = loop;
    this->random = random;
    this->on_clear = on_clear;
    this->user = user;
    this->links = g_ptr_array_new_with_free_func(free_link);
    return this;
}

void
LinkFaults_Destroy(LinkFaults *this)
{
    g_ptr_array_free(this->links, TRUE);
    g_free(this);
}

int
LinkFaults_Add(LinkFaults *this, LinkGroup group, const char *target)
{
    LossyLink *lossy = LossyLink_Create(this->loop, target);
    Link *link;

    if (lossy == NULL) {
        return ERR_UNAVAILABLE;
    }
    link = g_new0(Link, 1);
    link->owner = this;
    link->lossy = lossy;
    link->group = group;
    g_ptr_array_add(this->links, link);
    return LossyLink_Port(lossy);
}

static void
clear_link(Link *link)
{
    LinkFaults *owner = link->owner;

    LossyLink_SetFault(link->lossy, LINK_CLEAR);
    if (--owner->disturbed[link->group] == 0) {
        owner->on_clear(owner->user, link->group);
    }
}

static void
on_clear_time(Timer *timer)
{
    clear_link(TIMER_OWNER(timer, Link, clear));
}

void
LinkFaults_Inject(LinkFaults *this)
{
    static const struct {
        LinkFault fault;
        const char *name;
    } faults[] = {{LINK_CLEAR, "reset"},
                  {LINK_DELAYED, "delayed"},
                  {LINK_CUT_TO_TARGET, "cut-to-target"},
                  {LINK_CUT_FROM_TARGET, "cut-from-target"},
                  {LINK_SILENT, "silent"}};
    static const char *const groups[] = {"hosts", "store", "upstreams"};
    unsigned which = Random_Below(this->random, G_N_ELEMENTS(faults));
    Link *link = g_ptr_array_index(
        this->links, Random_Below(this->random, this->links->len));
    Micros time =
        FAULT_TIME_MIN +
        (Micros)Random_Below(this->random, FAULT_TIME_MAX - FAULT_TIME_MIN);

    printf("fault=link-%s to=%s port=%d ms=%d\n", faults[which].name,
           groups[link->group], LossyLink_Port(link->lossy),
           (int)(time / MICROS_PER_MS));
    if (faults[which].fault == LINK_CLEAR) {
        LossyLink_Reset(link->lossy);
        return;
    }
    LossyLink_SetFault(link->lossy, faults[which].fault);
    if (link->clear.queue == NULL) {
        this->disturbed[link->group]++;
    }
    Timer_Start(&link->clear, this->loop->timers, time, on_clear_time);
}

void
LinkFaults_ClearAll(LinkFaults *this)
{
    for (guint i = 0; i < this->links->len; i++) {
        Link *link = g_ptr_array_index(this->links, i);

        if (link->clear.queue != NULL) {
            Timer_Stop(&link->clear);
            clear_link(link);
        }
        if (link->group == LINKS_TO_HOSTS) {
            LossyLink_Reset(link->lossy);
        }
    }
}

bool
LinkFaults_IsClear(const LinkFaults *this, LinkGroup group)
{
    return this->disturbed[group] == 0;
}
