/* Clients that send requests with many header fields, at one gateway host. */
#include "lab.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define WORKERS 36
#define CONNECTIONS 200
#define HEAD_BYTES 16000 /* maxHeaderBytes is 16384 */
#define ATTACK_S 45.0
#define ORDINARY_S 5.0 /* deadline of ordinary clients */

static bool
run_request(Worker *worker, int fd, const Message *request, const char *id)
{
    (void)worker;
    (void)request;
    lab_sleep(0.002);
    return lab_worker_answer(
        fd, id, 200, "Agatecrank-Response-Signature: s.1\r\n", "ok", 2);
}

#define ROUTE(name, prefix, objective, time, rank)                            \
    "{\"name\":\"" name "\",\"pathPrefix\":\"" prefix "\",\"kind\":\"safe\"," \
    "\"timeoutS\":" time ",\"targetLatencyS\":" objective                     \
    ",\"priority\":" rank                                                     \
    ",\"service\":\"desk\",\"maxAttempts\":2,\"public\":false}"

static const char config[] =
    "{\"version\":\"00000001\",\"services\":[{\"name\":\"desk\","
    "\"healthPath\":\"/health\",\"maxConns\":1160}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":\"00000000\","
    "\"hosts\":[{\"host\":\"a.example\",\"paths\":[" ROUTE(
        "coverage-lookup", "/r/", "1", "5",
        "2") "," ROUTE("hearing-status", "/h/", "2.5", "12", "2") "]}]}";

static const char bounds[] =
    "drainS = 2.5\ngraceS = 6\nretryBudgetRatio = 0.2\nretryWindowS = 10\n"
    "retryBudgetExtra = 212\nprobesPerS = 42\n";

static Worker workers[WORKERS];
static Host host;
static volatile bool stopped;
static long odd_sent, odd_answered;

/* With the trouble, half of the header block is a list of names in Connection,
 * the other half consists of fields with other names; without it, all is one
 * field that means nothing. */
static int
write_odd_request(char *text, int number, unsigned count)
{
    int n = sprintf(text,
                    "GET /h/x HTTP/1.1\r\nHost: a.example\r\n"
                    "Agatecrank-Attempt-Id: q%d-%u\r\n"
                    "Agatecrank-Timeout-Ms: 12000\r\n%s: ",
                    number, count, lab_trouble() ? "Connection" : "X-Padding");

    while (n < (lab_trouble() ? HEAD_BYTES / 2 : HEAD_BYTES - 10)) {
        n += sprintf(text + n, "q,");
    }
    n += sprintf(text + n, "q\r\n");
    while (n < HEAD_BYTES - 10) {
        n += sprintf(text + n, "a:\r\n");
    }
    return n + sprintf(text + n, "\r\n");
}

/* Sends a request, waits for the answer, and so on. */
static void *
run_odd_client(void *argument)
{
    char *text = malloc(HEAD_BYTES + 400);
    Reader *reader = calloc(1, sizeof(*reader));
    Message *answer = malloc(sizeof(*answer));
    int number = (int)(intptr_t)argument, n;
    unsigned count = 0;

    reader->fd = -1;
    while (!stopped) {
        if (reader->fd < 0) {
            reader->fd = lab_connect(host.address, host.callers);
            reader->start = reader->end = 0;
            if (reader->fd < 0) {
                lab_sleep(0.1);
                continue;
            }
        }
        n = write_odd_request(text, number, ++count);
        __atomic_add_fetch(&odd_sent, 1, __ATOMIC_RELAXED);
        if (lab_send(reader->fd, text, (size_t)n) < 0 ||
            lab_read(reader, answer) < 0) {
            close(reader->fd);
            reader->fd = -1;
            continue;
        }
        __atomic_add_fetch(&odd_answered, 1, __ATOMIC_RELAXED);
        lab_free(answer);
        lab_sleep(0.1);
    }
    return NULL;
}

/* Returns the status, 0 if there is no answer within the deadline. */
static int
ask_ordinary(int number)
{
    char text[200];
    double from = lab_now();
    int status;

    snprintf(text, sizeof(text),
             "GET /r/o HTTP/1.1\r\nHost: a.example\r\n"
             "Agatecrank-Attempt-Id: o%d\r\n"
             "Agatecrank-Timeout-Ms: 5000\r\n\r\n",
             number);
    status = lab_call(host.address, host.callers, text, ORDINARY_S, NULL);
    if (lab_now() - from > ORDINARY_S) {
        status = 0;
    }
    lab_record("ordinary %d: status=%d after_ms=%.0f", number, status,
               (lab_now() - from) * 1000);
    return status;
}

int
main(void)
{
    struct rlimit files = {16384, 16384};
    HostSettings settings = {.memory_mb = 160,
                             .descriptors = 4100,
                             .bounds = bounds,
                             .first_start = true};
    int asked = 0, calm = 0, served = 0, answered = 0, ready = 0, checks = 0;
    double end;

    signal(SIGPIPE, SIG_IGN);
    setrlimit(RLIMIT_NOFILE, &files);
    settings.store = lab_store_start(0);
    lab_store_put("keyed.op", "config", config);
    for (int i = 0; i < WORKERS; i++) {
        Worker *worker = &workers[i];

        snprintf(worker->id, sizeof(worker->id), "i-%d", i);
        snprintf(worker->service, sizeof(worker->service), "desk");
        snprintf(worker->zone, sizeof(worker->zone), "lac-a");
        worker->slots = 6;
        worker->handler = run_request;
        lab_worker_start(worker);
    }
    lab_host_init(&host, 1, "lac-a");
    lab_host_start(&host, &settings);
    lab_host_wait_ready(&host, 15);
    for (int i = 0; i < 10; i++) {
        calm += ask_ordinary(asked++) == 200;
    }
    if (calm < 9) {
        lab_unable("ordinary requests are not served in calm");
    }
    for (int i = 0; i < CONNECTIONS; i++) {
        pthread_t thread;

        pthread_create(&thread, NULL, run_odd_client, (void *)(intptr_t)i);
    }
    lab_sleep(2);
    end = lab_now() + ATTACK_S;
    asked = 0;
    while (lab_now() < end) {
        int status = ask_ordinary(1000 + asked++);

        answered += status > 0;
        served += status == 200;
        ready += lab_host_ready(&host);
        checks++;
        lab_sleep(0.1);
    }
    stopped = true;
    lab_record("odd requests sent=%ld answered=%ld", odd_sent, odd_answered);
    lab_record("ordinary requests=%d answered in time=%d served=%d; "
               "readiness answered %d of %d",
               asked, answered, served, ready, checks);
    printf("asked=%d answered=%d served=%d ready=%d/%d odd=%ld\n", asked,
           answered, served, ready, checks, odd_answered);
    lab_end_hosts();
    /* A quarter, as of requests that are starved by the rules. */
    return 4 * served < asked ? 1 : 0;
}
