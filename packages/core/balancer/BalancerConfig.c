#include "BalancerPrivate.h"

/* Connections of all hosts together to each upstream of a service that the
 * configuration does not contain. */
#define DEFAULT_CONNECTIONS_MAX 250

static void
set_service(Balancer *this, uint32_t index, const ConfigService *service)
{
    ServiceInfo info = {.connections = DEFAULT_CONNECTIONS_MAX};

    if (service != NULL) {
        info.connections = service->connections;
        info.probes.requests_per_s = service->probe_requests_per_s;
        info.probes.bytes_per_s = service->probe_bytes_per_s;
        info.probes.time_share = service->probe_time_share;
    }
    Router_SetService(this->router, index, &info);
    Balancer_GetService(this, index);
}

static void
add_to_router(Balancer *this, const DirectoryUpstream *upstream)
{
    const ConfigService *service = ConfigState_FindService(
        this->config, NameTable_Name(this->services, upstream->service));
    UpstreamInfo info = {
        .key = Str_Hash(upstream->id),
        .domain = upstream->domain,
        .slots = service != NULL ? service->slots : 1,
        .cold = this->ready,
    };

    set_service(this, upstream->service, service);
    Router_AddUpstream(this->router, upstream->service, upstream->index,
                       &info);
}

/* An upstream drains if an operator or the host list says so. */
static void
apply_drain(Balancer *this, const DirectoryUpstream *upstream)
{
    const ConfigService *service = ConfigState_FindService(
        this->config, NameTable_Name(this->services, upstream->service));
    bool drained =
        service != NULL && StrList_Contains(&service->drained, upstream->id);

    Router_SetDraining(this->router, upstream->index,
                       drained || upstream->leaving);
}

void
Balancer_OnDirectoryChange(void *user, const DirectoryUpstream *upstream,
                           DirectoryChange change)
{
    static const char *const names[] = {"added", "removed", "leaving",
                                        "staying"};
    Balancer *this = user;

    switch (change) {
    case DIRECTORY_ADDED:
        add_to_router(this, upstream);
        apply_drain(this, upstream);
        break;
    case DIRECTORY_REMOVED:
        Router_RemoveUpstream(this->router, upstream->index);
        break;
    case DIRECTORY_LEAVING:
    case DIRECTORY_LEAVING_CANCELLED:
        apply_drain(this, upstream);
        break;
    }
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "upstream")) {
        EventLog_Str(this->log, "upstream", upstream->id);
        EventLog_CStr(this->log, "change", names[change]);
        EventLog_End(this->log);
    }
}

static void
set_line_weight(Balancer *this, const ConfigObject *selector)
{
    const ConfigObject *line =
        ConfigState_Find(this->config, CONFIG_LINE, selector->selector.line);

    if (line == NULL) {
        return;
    }
    Admission_SetLine(
        this->admission,
        NameTable_Intern(this->services, selector->selector.service),
        NameTable_Intern(this->lines, selector->selector.line),
        (double)line->product_line.weight * selector->selector.share / 100.0);
}

void
Balancer_OnConfigChanged(Balancer *this)
{
    const ConfigObject *object;
    ConfigCursor services = {0}, selectors = {0};

    while ((object = ConfigState_Next(this->config, CONFIG_SERVICE,
                                      &services)) != NULL) {
        set_service(this, NameTable_Intern(this->services, object->name),
                    &object->service);
    }
    while ((object = ConfigState_Next(this->config, CONFIG_SELECTOR,
                                      &selectors)) != NULL) {
        set_line_weight(this, object);
    }
    for (uint32_t i = 0; i < Directory_IndexLimit(this->directory); i++) {
        const DirectoryUpstream *upstream = Directory_At(this->directory, i);

        if (upstream != NULL && upstream->present) {
            add_to_router(this, upstream);
            apply_drain(this, upstream);
        }
    }
}

void
Balancer_OnHostList(Balancer *this, const HostEntry *entries, size_t count)
{
    Directory_Update(this->directory, entries, count);
}

void
Balancer_SetHosts(Balancer *this, const Str *hosts, size_t count, size_t own)
{
    uint64_t *keys = g_new(uint64_t, count);

    for (size_t i = 0; i < count; i++) {
        keys[i] = Str_Hash(hosts[i]);
    }
    Router_SetHosts(this->router, keys, (uint32_t)count, (uint32_t)own);
    Admission_SetHosts(this->admission, (uint32_t)count);
    Claims_SetHosts(this->claims, hosts, count);
    g_free(keys);
}
