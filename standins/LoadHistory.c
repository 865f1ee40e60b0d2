#include "LoadHistory.h"

#include <glib.h>

/* Bounds the memory of a busy upstream whose load is never probed. */
#define SAMPLES_MAX 65536

struct LoadHistory_ {
    GQueue samples; /* LoadSample, oldest first */
};

LoadHistory *
LoadHistory_Create(void)
{
    LoadHistory *this = g_new0(LoadHistory, 1);

    g_queue_init(&this->samples);
    return this;
}

void
LoadHistory_Destroy(LoadHistory *this)
{
    if (this != NULL) {
        g_queue_clear_full(&this->samples, g_free);
        g_free(this);
    }
}

void
LoadHistory_Add(LoadHistory *this, LoadSample sample)
{
    g_queue_push_tail(&this->samples, g_memdup2(&sample, sizeof(sample)));
    if (this->samples.length > SAMPLES_MAX) {
        g_free(g_queue_pop_head(&this->samples));
    }
}

LoadSample
LoadHistory_At(LoadHistory *this, Micros time)
{
    LoadSample none = {0};
    const GList *head = this->samples.head;

    while (head != NULL && head->next != NULL &&
           ((const LoadSample *)head->next->data)->since <= time) {
        g_free(g_queue_pop_head(&this->samples));
        head = this->samples.head;
    }
    if (head == NULL || ((const LoadSample *)head->data)->since > time) {
        return none;
    }
    return *(const LoadSample *)head->data;
}
