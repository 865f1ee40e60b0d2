/*
 * What one central queue over all slots of a service would give (M/M/c), as
 * the reference for bench_limits: no routing, no exchange, no delay.
 */
#include <math.h>
#include <stddef.h>
#include <stdio.h>

#define SERVICE_MS 10.0

typedef struct Deployment_ {
    const char *name;
    int slots;
    double round_trip_ms;
} Deployment;

/* Erlang C: part of the requests that wait at @load of @slots slots. */
static double
waiting_part(int slots, double load)
{
    double offered = load * slots;
    double blocked = 1.0;

    for (int i = 1; i <= slots; i++) {
        blocked = offered * blocked / (i + offered * blocked);
    }
    return blocked / (1 - load * (1 - blocked));
}

/* Part of the requests that take longer than @t ms, wait and service. */
static double
tail(int slots, double load, double t)
{
    double waiting = waiting_part(slots, load);
    double service = 1 / SERVICE_MS;
    double drain = slots * (1 - load) / SERVICE_MS;
    double both = (drain * exp(-service * t) - service * exp(-drain * t)) /
                  (drain - service);

    return (1 - waiting) * exp(-service * t) + waiting * both;
}

static double
quantile_ms(int slots, double load, double q)
{
    double low = 0;
    double high = 10000;

    for (int i = 0; i < 60; i++) {
        double middle = (low + high) / 2;

        if (tail(slots, load, middle) > 1 - q) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}

int
main(void)
{
    static const Deployment deployments[] = {
        {"tunis", 120, 1.0},
        {"puntarenas", 80, 3.0},
    };
    static const double loads[] = {0.8, 0.95, 0.98};

    for (size_t i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
        const Deployment *d = &deployments[i];

        for (size_t j = 0; j < sizeof(loads) / sizeof(loads[0]); j++) {
            printf("%s_central_queue_p99_us_at_%.0f=%.0f\n", d->name,
                   loads[j] * 100,
                   1000 * (d->round_trip_ms +
                           quantile_ms(d->slots, loads[j], 0.99)));
        }
    }
    return 0;
}
