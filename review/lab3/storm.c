/* Configurations in quick succession, of many routes, at one gateway host. */
#include "lab.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#ifndef ROUTES
#define ROUTES 1400 /* big_config of the site */
#endif
#define VERSIONS_PER_STORM 25
#define STORM_GAP_S 0.06
#define PAUSE_S 0.4
#define LOAD_S 75.0
#define MEMORY_MB 160

static bool
run_request(Worker *worker, int fd, const Message *request, const char *id)
{
    (void)worker;
    (void)request;
    return lab_worker_answer(
        fd, id, 200, "Agatecrank-Response-Signature: s.1\r\n", "ok", 2);
}

static const char bounds[] =
    "drainS = 2.5\ngraceS = 6\nretryBudgetRatio = 0.2\nretryWindowS = 10\n"
    "retryBudgetExtra = 212\nprobesPerS = 42\n";

static Worker worker;
static Host host;

static char *
write_config(unsigned version, int routes)
{
    char *text = malloc((size_t)routes * 256 + 4096);
    int n =
        sprintf(text,
                "{\"version\":\"%08x\",\"services\":[{\"name\":\"desk\","
                "\"healthPath\":\"/health\",\"maxConns\":1160}],\"limits\":{"
                "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                "\"headerTimeoutS\":3,\"idleTimeoutS\":%u},\"baseVersion\":"
                "\"00000000\",\"hosts\":[{\"host\":\"a.example\",\"paths\":[{"
                "\"name\":\"r\",\"pathPrefix\":\"/r/\",\"kind\":\"safe\","
                "\"timeoutS\":2.5,\"targetLatencyS\":1,\"priority\":2,"
                "\"service\":\"desk\",\"maxAttempts\":2,\"public\":false}",
                version, 15 + version % 5);

    for (int i = 0; i < routes; i++) {
        n += sprintf(text + n,
                     ",{\"name\":\"r-%06x\",\"pathPrefix\":\"/b%06x/\","
                     "\"kind\":\"safe\",\"timeoutS\":2.5,\"targetLatencyS\":1,"
                     "\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2,"
                     "\"public\":false}",
                     (unsigned)i, (unsigned)i);
    }
    sprintf(text + n, "]}]}");
    return text;
}

static int
ask(unsigned number)
{
    char text[200];

    snprintf(text, sizeof(text),
             "GET /r/o HTTP/1.1\r\nHost: a.example\r\n"
             "Agatecrank-Attempt-Id: o%u\r\n"
             "Agatecrank-Timeout-Ms: 5000\r\n\r\n",
             number);
    return lab_call(host.address, host.callers, text, 5, NULL);
}

int
main(void)
{
    HostSettings settings = {.memory_mb = MEMORY_MB,
                             .descriptors = 4100,
                             .bounds = bounds,
                             .first_start = true};
    unsigned version = 1;
    int routes = ROUTES, status = 0;
    long peak = 0;
    size_t bytes;
    char *text;
    double end;

    signal(SIGPIPE, SIG_IGN);
    settings.store = lab_store_start(0);
    text = write_config(version, routes);
    bytes = strlen(text);
    lab_store_put("keyed.op", "config", text);
    free(text);
    snprintf(worker.id, sizeof(worker.id), "i-1");
    snprintf(worker.service, sizeof(worker.service), "desk");
    snprintf(worker.zone, sizeof(worker.zone), "lac-a");
    worker.slots = 6;
    worker.handler = run_request;
    lab_worker_start(&worker);
    lab_host_init(&host, 1, "lac-a");
    lab_host_start(&host, &settings);
    lab_host_wait_ready(&host, 15);
    if (ask(0) != 200) {
        lab_unable("no request is served in calm");
    }
    lab_record("a configuration has %zu bytes; resident_kib=%ld", bytes,
               lab_host_kb(&host, "VmRSS"));
    end = lab_now() + LOAD_S;
    while (lab_now() < end && !lab_host_ended(&host, &status)) {
        for (int i = 0; i < VERSIONS_PER_STORM && lab_trouble(); i++) {
            text = write_config(++version, routes);
            lab_store_put("keyed.op", "config", text);
            free(text);
            lab_sleep(STORM_GAP_S);
        }
        lab_sleep(lab_trouble() ? PAUSE_S : 2);
        lab_record("versions=%u status=%d resident_kib=%ld", version,
                   ask(version), lab_host_kb(&host, "VmRSS"));
    }
    peak = lab_host_kb(&host, "VmHWM");
    lab_record("versions=%u peak_kib=%ld limit_kib=%d", version, peak,
               MEMORY_MB * 1024);
    printf("versions=%u peak_kib=%ld limit_kib=%d\n", version, peak,
           MEMORY_MB * 1024);
    lab_end_hosts();
    return peak > MEMORY_MB * 1024L ? 1 : 0;
}
