#include "HostEvents.h"

#include <glib.h>
#include <stdio.h>

#define NANOS_PER_MICRO 1000

struct HostEvents_ {
    char *path;
    const Clock *clock;
};

HostEvents *
HostEvents_Create(const char *path, const Clock *clock)
{
    HostEvents *this = g_new0(HostEvents, 1);

    this->path = g_strdup(path);
    this->clock = clock;
    return this;
}

void
HostEvents_Destroy(HostEvents *this)
{
    if (this != NULL) {
        g_free(this->path);
        g_free(this);
    }
}

Micros
HostEvents_Last(const HostEvents *this, unsigned host)
{
    return HostEvents_LastBefore(this, host, G_MAXINT64);
}

Micros
HostEvents_LastBefore(const HostEvents *this, unsigned host, Micros time)
{
    Micros offset = Clock_Wall(this->clock) - Clock_Now(this->clock);
    g_autofree char *text = NULL;
    g_auto(GStrv) lines = NULL;
    Micros last = -1;

    if (!g_file_get_contents(this->path, &text, NULL, NULL)) {
        return -1;
    }
    lines = g_strsplit(text, "\n", -1);
    for (int i = 0; lines[i] != NULL; i++) {
        unsigned number;
        int64_t nanos;

        if (sscanf(lines[i], "%u %" G_GINT64_FORMAT, &number, &nanos) == 2 &&
            number == host && nanos / NANOS_PER_MICRO - offset <= time) {
            last = MAX(last, nanos / NANOS_PER_MICRO - offset);
        }
    }
    return last;
}
