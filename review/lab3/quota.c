/* A tenant that sends more than its allowance, at a few gateway hosts, one of
 * which is killed and started again. */
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#ifndef HOSTS
#define HOSTS 6
#endif
#define WORKERS 12
#define CLIENTS 24 /* threads for each host */
#define RATE 60.0
#define BURST 60.0
#define WINDOW_S 5.0
#define OVERSHOOT 0.1
#define SLACK 20.0
#ifndef DEMAND
#define DEMAND 450.0 /* requests a second of the tenant, at all hosts */
#endif
#define RUNS_MAX 200000

static const char config[] =
    "{\"version\":\"00000001\",\"services\":[{\"name\":\"desk\","
    "\"healthPath\":\"/health\",\"maxConns\":940}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"tenants\":[{\"name\":\"hot\","
    "\"apiKeys\":[\"key-of-hot\"],\"priority\":1,\"ratePerS\":60,"
    "\"burst\":60}],\"baseVersion\":\"00000000\",\"hosts\":[{\"host\":"
    "\"a.example\",\"paths\":[{\"name\":\"r\",\"pathPrefix\":\"/r/\","
    "\"kind\":\"safe\",\"timeoutS\":1.5,\"targetLatencyS\":0.5,"
    "\"priority\":0,\"service\":\"desk\",\"maxAttempts\":2,"
    "\"public\":false}]}]}";

static const char bounds[] =
    "drainS = 2.5\ngraceS = 6\nretryBudgetRatio = 0.2\nretryWindowS = 10\n"
    "retryBudgetExtra = 178\nprobesPerS = 42\nstrictRevoke = true\n"
    "revokeS = 5\nquotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\n";

typedef struct Run {
    double sent; /* by the client */
    double ran;  /* at the worker */
} Run;

static Worker workers[WORKERS];
static Host hosts[HOSTS];
static HostSettings settings = {
    .memory_mb = 160, .descriptors = 4100, .bounds = bounds};
static char seeds[128];
static Run runs[RUNS_MAX];
static long run_count, answered[600];
static volatile bool stopped;

static bool
run_request(Worker *worker, int fd, const Message *request, const char *id)
{
    long n = __atomic_fetch_add(&run_count, 1, __ATOMIC_SEQ_CST);
    double sent = 0;

    (void)request;
    sscanf(id, "%lf", &sent);
    if (n < RUNS_MAX) {
        runs[n] = (Run){sent, lab_now()};
    }
    __atomic_add_fetch(&worker->running, 1, __ATOMIC_SEQ_CST);
    lab_sleep(0.01);
    __atomic_sub_fetch(&worker->running, 1, __ATOMIC_SEQ_CST);
    return lab_worker_answer(
        fd, id, 200, "Agatecrank-Response-Signature: s.1\r\n", "ok", 2);
}

/* A client of one host; keeps its connection. */
static void *
run_client(void *argument)
{
    int number = (int)(intptr_t)argument;
    const Host *host = &hosts[number % HOSTS];
    double pause = HOSTS * CLIENTS / DEMAND;
    double next = lab_now() + pause * (number / HOSTS) / CLIENTS;
    struct timeval limit = {2, 0};
    Reader *reader = calloc(1, sizeof(*reader));
    Message *answer = malloc(sizeof(*answer));
    unsigned count = 0;

    reader->fd = -1;
    while (!stopped) {
        char text[400];
        int n;

        lab_sleep(next - lab_now());
        next = lab_now() > next + pause ? lab_now() + pause : next + pause;
        if (reader->fd < 0) {
            reader->fd = lab_connect(host->address, host->callers);
            reader->start = reader->end = 0;
            if (reader->fd < 0) {
                continue;
            }
            setsockopt(reader->fd, SOL_SOCKET, SO_RCVTIMEO, &limit,
                       sizeof(limit));
        }
        n = snprintf(text, sizeof(text),
                     "GET /r/x HTTP/1.1\r\nHost: a.example\r\n"
                     "Agatecrank-Attempt-Id: %.4f-%d-%u\r\n"
                     "Agatecrank-Key: key-of-hot\r\n"
                     "Agatecrank-Timeout-Ms: 1500\r\n\r\n",
                     lab_now(), number, ++count);
        if (lab_send(reader->fd, text, (size_t)n) < 0 ||
            lab_read(reader, answer) < 0) {
            close(reader->fd);
            reader->fd = -1;
            continue;
        }
        __atomic_add_fetch(&answered[answer->status % 600], 1,
                           __ATOMIC_RELAXED);
        lab_free(answer);
    }
    return NULL;
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Most requests that were both sent and run within a window. */
static long
most_in_window(long count, double *when)
{
    double *times = calloc((size_t)count, sizeof(double));
    long most = 0;

    /* A request counts from its sending; the few that ran after the end of the
     * window are left out. */
    for (long i = 0; i < count; i++) {
        times[i] = runs[i].sent;
    }
    qsort(times, (size_t)count, sizeof(double), compare);
    for (long i = 0; i < count; i += 10) {
        double from = times[i];
        long n = 0;

        for (long k = 0; k < count; k++) {
            n += runs[k].sent >= from && runs[k].ran <= from + WINDOW_S;
        }
        if (n > most) {
            most = n;
            *when = from;
        }
    }
    free(times);
    return most;
}

static void
print_rates(long count)
{
    long second[200] = {0};

    for (long i = 0; i < count; i++) {
        int at = (int)runs[i].ran;

        if (at >= 0 && at < 200) {
            second[at]++;
        }
    }
    for (int i = 0; i < 200; i++) {
        if (second[i] > 0) {
            lab_record("run in second %d: %ld", i, second[i]);
        }
    }
}

int
main(void)
{
    struct rlimit files = {16384, 16384};
    double allowed = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK,
           when = 0;
    long most;

    signal(SIGPIPE, SIG_IGN);
    setrlimit(RLIMIT_NOFILE, &files);
    settings.store = lab_store_start(0);
    lab_store_put("keyed.op", "config", config);
    for (int i = 0; i < WORKERS; i++) {
        Worker *worker = &workers[i];

        snprintf(worker->id, sizeof(worker->id), "i-%d", i);
        snprintf(worker->service, sizeof(worker->service), "desk");
        snprintf(worker->zone, sizeof(worker->zone), "z%d", i % 2);
        worker->slots = 8;
        worker->handler = run_request;
        lab_worker_start(worker);
    }
    for (int i = 0; i < HOSTS; i++) {
        lab_host_init(&hosts[i], (unsigned)i + 1, i % 2 == 0 ? "z0" : "z1");
    }
    snprintf(seeds, sizeof(seeds), "\"%s:8166\",\"%s:8166\"", hosts[0].address,
             hosts[1].address);
    settings.seeds = seeds;
    settings.first_start = true;
    for (int i = 0; i < HOSTS; i++) {
        lab_host_start(&hosts[i], &settings);
    }
    for (int i = 0; i < HOSTS; i++) {
        lab_host_wait_ready(&hosts[i], 15);
    }
    settings.first_start = false;
    /* Traffic starts 8 s after the machines do. */
    lab_sleep(8 - lab_now());
    for (int i = 0; i < HOSTS * CLIENTS; i++) {
        pthread_t thread;

        pthread_create(&thread, NULL, run_client, (void *)(intptr_t)i);
    }
    lab_sleep(8);
    for (int i = 0; i < HOSTS; i++) {
        if (lab_trouble()) {
            lab_record("host %s killed", hosts[i].name);
            lab_host_kill(&hosts[i]);
            lab_sleep(0.5);
            lab_host_start(&hosts[i], &settings);
        }
        lab_sleep(8.5);
    }
    stopped = true;
    lab_sleep(1);
    most = run_count < RUNS_MAX ? run_count : RUNS_MAX;
    for (int i = 0; i < 600; i++) {
        if (answered[i] > 0) {
            lab_record("answers with status %d: %ld", i, answered[i]);
        }
    }
    print_rates(most);
    most = most_in_window(most, &when);
    lab_record("most in %.0f s: %ld from %.2f on; allowed %.0f", WINDOW_S,
               most, when, allowed);
    printf("most=%ld allowed=%.0f\n", most, allowed);
    lab_end_hosts();
    return (double)most > allowed ? 1 : 0;
}
