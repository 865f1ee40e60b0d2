#ifndef AGATECRANK_TESTS_MMCQUEUE_H
#define AGATECRANK_TESTS_MMCQUEUE_H

#include <stdint.h>

/**
 * MmcQueue_P99() - 99% quantile of waiting and service in an M/M/c queue
 * @servers: c
 * @load: offered load for each server, below 1
 * @mean: mean service time; the result has the same unit
 */
double MmcQueue_P99(uint32_t servers, double load, double mean);

#endif
