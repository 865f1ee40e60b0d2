#include "MmcQueue.h"

#include <math.h>

/* Erlang C formula: probability that a request waits in an M/M/c queue with
 * @load per server. */
static double
erlang_c(uint32_t servers, double load)
{
    double offered = servers * load;
    double blocked = 1;

    for (uint32_t n = 1; n <= servers; n++) {
        blocked = offered * blocked / (n + offered * blocked);
    }
    return blocked / (1 - load * (1 - blocked));
}

/* Probability that the time in an M/M/c system exceeds @time. */
static double
mmc_tail(uint32_t servers, double load, double mean, double time)
{
    double wait_probability = erlang_c(servers, load);
    double rate = 1 / mean;
    double drain_rate = servers * (1 - load) * rate;
    double waiting_tail =
        (drain_rate * exp(-rate * time) - rate * exp(-drain_rate * time)) /
        (drain_rate - rate);

    return (1 - wait_probability) * exp(-rate * time) +
           wait_probability * waiting_tail;
}

double
MmcQueue_P99(uint32_t servers, double load, double mean)
{
    double low = 0;
    double high = 1000 * mean;

    for (int i = 0; i < 100; i++) {
        double middle = (low + high) / 2;

        if (mmc_tail(servers, load, mean, middle) > 0.01) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return high;
}
