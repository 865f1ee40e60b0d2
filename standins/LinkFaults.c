#include "LinkFaults.h"

#include <stdio.h>

#include "Error.h"
#include "LossyLink.h"

#define FAULT_TIME_MIN_US (300 * MICROS_PER_MS)
#define FAULT_TIME_MAX_US (3 * MICROS_PER_S)

struct LinkFaults_ {
    HttpLoop *loop;
    Random *random;
    LinkFaultsOnClear *on_clear;
    void *user;
    GPtrArray *links;                    /* Link */
    unsigned faulty_counts[LINK_GROUPS]; /* links that have a fault */
};

typedef struct Link_ {
    LinkFaults *owner;
    LossyLink *lossy_link;
    LinkGroup group;
    Timer clear_timer; /* runs while the link has a fault */
    bool cut;          /* the fault stops bytes */
} Link;

static void
free_link(gpointer data)
{
    Link *link = data;

    Timer_Stop(&link->clear_timer);
    LossyLink_Destroy(link->lossy_link);
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
    LossyLink *lossy_link = LossyLink_Create(this->loop, target);
    Link *link;

    if (lossy_link == NULL) {
        return ERR_UNAVAILABLE;
    }
    link = g_new0(Link, 1);
    link->owner = this;
    link->lossy_link = lossy_link;
    link->group = group;
    g_ptr_array_add(this->links, link);
    return LossyLink_Port(lossy_link);
}

static void
clear_link(Link *link)
{
    LinkFaults *owner = link->owner;

    LossyLink_SetFault(link->lossy_link, LINK_CLEAR);
    link->cut = false;
    if (--owner->faulty_counts[link->group] == 0) {
        owner->on_clear(owner->user, link->group);
    }
}

static void
on_clear_timer(Timer *timer)
{
    clear_link(TIMER_OWNER(timer, Link, clear_timer));
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
    unsigned choice = Random_Below(this->random, G_N_ELEMENTS(faults));
    Link *link = g_ptr_array_index(
        this->links, Random_Below(this->random, this->links->len));
    Micros duration = FAULT_TIME_MIN_US +
                      (Micros)Random_Below(
                          this->random, FAULT_TIME_MAX_US - FAULT_TIME_MIN_US);

    printf("fault=link-%s to=%s port=%d ms=%d\n", faults[choice].name,
           groups[link->group], LossyLink_Port(link->lossy_link),
           (int)(duration / MICROS_PER_MS));
    if (faults[choice].fault == LINK_CLEAR) {
        LossyLink_Reset(link->lossy_link);
        return;
    }
    LossyLink_SetFault(link->lossy_link, faults[choice].fault);
    link->cut = faults[choice].fault != LINK_DELAYED;
    if (link->clear_timer.queue == NULL) {
        this->faulty_counts[link->group]++;
    }
    Timer_Start(&link->clear_timer, this->loop->timers, duration,
                on_clear_timer);
}

void
LinkFaults_ClearAll(LinkFaults *this)
{
    for (guint i = 0; i < this->links->len; i++) {
        Link *link = g_ptr_array_index(this->links, i);

        if (link->clear_timer.queue != NULL) {
            Timer_Stop(&link->clear_timer);
            clear_link(link);
        }
        if (link->group == LINKS_TO_HOSTS) {
            LossyLink_Reset(link->lossy_link);
        }
    }
}

bool
LinkFaults_IsClear(const LinkFaults *this, LinkGroup group)
{
    return this->faulty_counts[group] == 0;
}

bool
LinkFaults_IsCut(const LinkFaults *this, LinkGroup group, unsigned index)
{
    for (guint i = 0; i < this->links->len; i++) {
        const Link *link = g_ptr_array_index(this->links, i);

        if (link->group == group && index-- == 0) {
            return link->cut;
        }
    }
    return false;
}

void
LinkFaults_SilenceSources(LinkFaults *this, LinkGroup group,
                          const GArray *sources)
{
    for (guint i = 0; i < this->links->len; i++) {
        const Link *link = g_ptr_array_index(this->links, i);

        if (link->group == group) {
            LossyLink_SilenceSources(link->lossy_link, sources);
        }
    }
}

void
LinkFaults_ResetSources(LinkFaults *this, LinkGroup group,
                        const GArray *sources)
{
    for (guint i = 0; i < this->links->len; i++) {
        const Link *link = g_ptr_array_index(this->links, i);

        if (link->group == group) {
            LossyLink_ResetSources(link->lossy_link, sources);
        }
    }
}

bool
LinkFaults_Delivers(const LinkFaults *this, int link, uint16_t port)
{
    for (guint i = 0; i < this->links->len; i++) {
        const Link *other = g_ptr_array_index(this->links, i);

        if (LossyLink_Port(other->lossy_link) == link) {
            return LossyLink_Delivers(other->lossy_link, port);
        }
    }
    return false;
}
