#include "HostStates.h"

#include <glib.h>
#include <glib/gstdio.h>

struct HostStates_ {
    char *folder;
    const Clock *clock;
};

HostStates *
HostStates_Create(const char *folder, const Clock *clock)
{
    HostStates *this = g_new0(HostStates, 1);

    this->folder = g_strdup(folder);
    this->clock = clock;
    return this;
}

void
HostStates_Destroy(HostStates *this)
{
    if (this == NULL) {
        return;
    }
    g_free(this->folder);
    g_free(this);
}

static bool
is_up_for(const HostStates *this, const char *name, unsigned host,
          Micros least)
{
    g_autofree char *path =
        g_strdup_printf("%s/%s-%u", this->folder, name, host);
    g_autofree char *text = NULL;
    GStatBuf status;
    Micros changed;

    if (g_stat(path, &status) < 0 ||
        !g_file_get_contents(path, &text, NULL, NULL)) {
        return true;
    }
    changed = (Micros)status.st_mtim.tv_sec * MICROS_PER_S +
              (Micros)status.st_mtim.tv_nsec / 1000;
    return g_str_has_prefix(text, "up") &&
           Clock_Wall(this->clock) - changed >= least;
}

bool
HostStates_HasRun(const HostStates *this, unsigned host, Micros least)
{
    return is_up_for(this, "host", host, least);
}

bool
HostStates_IsSteady(const HostStates *this, unsigned host, Micros least)
{
    return HostStates_HasRun(this, host, least) &&
           is_up_for(this, "freeze", host, least);
}
