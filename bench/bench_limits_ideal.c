/*
 * Latency of one central queue over all slots of a service (M/M/c). It is the
 * reference for bench_limits: no routing decision, no exchange between hosts
 * and no delay but the network round trip.
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

/* Erlang C formula: probability that a request waits at @load of @slots
 * slots. */
static double
erlang_c(int slots, double load)
{
    double offered_load = load * slots;
    double erlang_b = 1.0;

    for (int i = 1; i <= slots; i++) {
        erlang_b = offered_load * erlang_b / (i + offered_load * erlang_b);
    }
    return erlang_b / (1 - load * (1 - erlang_b));
}

/* Probability that wait and service time together exceed @t_ms. */
static double
tail_probability(int slots, double load, double t_ms)
{
    double wait_probability = erlang_c(slots, load);
    double service_rate = 1 / SERVICE_MS;
    double wait_rate = slots * (1 - load) / SERVICE_MS;
    double wait_and_service = (wait_rate * exp(-service_rate * t_ms) -
                               service_rate * exp(-wait_rate * t_ms)) /
                              (wait_rate - service_rate);

    return (1 - wait_probability) * exp(-service_rate * t_ms) +
           wait_probability * wait_and_service;
}

static double
quantile_ms(int slots, double load, double q)
{
    double low = 0;
    double high = 10000;

    for (int i = 0; i < 60; i++) {
        double mid = (low + high) / 2;

        if (tail_probability(slots, load, mid) > 1 - q) {
            low = mid;
        }
        else {
            high = mid;
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
        const Deployment *deployment = &deployments[i];

        for (size_t j = 0; j < sizeof(loads) / sizeof(loads[0]); j++) {
            printf("%s_central_queue_p99_us_at_%.0f=%.0f\n", deployment->name,
                   loads[j] * 100,
                   1000 * (deployment->round_trip_ms +
                           quantile_ms(deployment->slots, loads[j], 0.99)));
        }
    }
    return 0;
}
