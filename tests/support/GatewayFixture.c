#include "GatewayFixture.h"

void
GatewayFixture_AddRoute(RouteTable *table, const char *prefix, RouteKind kind,
                        uint32_t priority, Micros objective, Micros timeout)
{
    static const RoutePart parts[] = {{{"desk", 4}, 1}};
    Route route = {
        .name = Str_FromC(prefix),
        .host = GATEWAY_FIXTURE_HOST,
        .prefix = Str_FromC(prefix),
        .kind = kind,
        .timeout = timeout,
        .objective = objective,
        .priority = priority,
        .attempts_max = 2,
        .parts = parts,
        .part_count = 1,
    };

    g_assert_cmpint(RouteTable_Add(table, &route, NULL), ==, 0);
}

UpstreamEntry
GatewayFixture_Upstream(const char *id, uint16_t port, uint32_t slots)
{
    return (UpstreamEntry){
        .id = Str_FromC(id),
        .started = 1,
        .sequence = 1,
        .service = GATEWAY_FIXTURE_SERVICE,
        .address = STR("10.0.0.1"),
        .port = port,
        .domain = STR("a"),
        .slots = slots,
    };
}
