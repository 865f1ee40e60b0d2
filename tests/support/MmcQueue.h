#ifndef AGATECRANK_TESTS_MMCQUEUE_H
#define AGATECRANK_TESTS_MMCQUEUE_H

#include <stdint.h>

/**
 * MmcQueue_P99() - 99th percentile of the sojourn time in an M/M/c queue
 * @servers: number of servers, c
 * @load: offered load per server, below 1
 * @mean: mean service time
 *
 * Return: waiting and service time, in the unit of @mean.
 */
double MmcQueue_P99(uint32_t servers, double load, double mean);

#endif
