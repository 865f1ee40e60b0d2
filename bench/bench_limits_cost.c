/*
 * Time of one admission decision and memory of one line, for 1 to 1,100
 * services. All services are short of capacity and all lines are active.
 */
#include <glib.h>
#include <stdio.h>
#include <time.h>

#include "Admission.h"

#define SEED 20261203
#define HOSTS 20

static double
now_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

typedef struct DecisionCost_ {
    double ns;
    double bytes_idle; /* per service */
    double bytes_limited;
} DecisionCost;

/* All services are short of capacity, so every decision takes the longest code
 * path. */
static DecisionCost
measure_decision(uint32_t services, uint32_t lines)
{
    AdmissionOptions options = {.mode = ADMISSION_SHARED, .hosts = HOSTS};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(SEED);
    Admission *admission = Admission_Create(&options, clock, random);
    const int rounds = 300000;
    double start = 0;
    DecisionCost cost;

    for (uint32_t i = 0; i < services * lines; i++) {
        Admission_SetLine(admission, i / lines, i % lines, 1.0);
    }
    cost.bytes_idle = (double)Admission_Bytes(admission) / services;
    for (int i = -rounds; i < rounds; i++) {
        uint32_t service = (uint32_t)Random_Below(random, services);
        AdmissionRequest request = {
            .service = service,
            .line = (uint32_t)Random_Below(random, lines),
            .caller = Random_Below(random, 1000),
            .deadline = Clock_Now(clock) + MICROS_PER_S,
            .cost = 1,
        };
        AdmissionVerdict verdict;
        AdmissionResult result;

        if (i == 0) {
            start = now_ns();
        }
        verdict = Admission_Offer(admission, &request);
        Admission_OnLoad(admission, service, 12, 6);
        if (verdict.decision == ADMISSION_ADMIT) {
            result = (AdmissionResult){
                service,        request.line, request.caller,  1,
                verdict.charge, 10000,        ADMISSION_SERVED};
            Admission_OnFinished(admission, &result);
        }
        while (Admission_Next(admission, service, &verdict)) {
        }
        Clock_Advance(clock, 7);
    }
    cost.ns = (now_ns() - start) / rounds;
    cost.bytes_limited = (double)Admission_Bytes(admission) / services;
    Admission_Destroy(admission);
    Random_Destroy(random);
    Clock_Destroy(clock);
    return cost;
}

int
main(void)
{
    static const uint32_t services[] = {1, 35, 1100};
    static const uint32_t lines[] = {4, 40};
    double baseline_ns = 0;

    printf("seed=%d\n", SEED);
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(services); j++) {
            DecisionCost cost = measure_decision(services[j], lines[i]);

            baseline_ns = baseline_ns > 0 ? baseline_ns : cost.ns;
            printf("decision_%u_services_%u_lines_ns=%.0f\n", services[j],
                   lines[i], cost.ns);
            printf("decision_%u_services_%u_lines_ratio=%.2f\n", services[j],
                   lines[i], cost.ns / baseline_ns);
            printf("limited_bytes_per_line_%u_services_%u_lines=%.0f\n",
                   services[j], lines[i], cost.bytes_limited / lines[i]);
            printf("idle_bytes_per_line_%u_services_%u_lines=%.0f\n",
                   services[j], lines[i], cost.bytes_idle / lines[i]);
        }
    }
    return 0;
}
