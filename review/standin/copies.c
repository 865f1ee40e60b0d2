/*
 * Store, workers and clients of a small deployment whose workers do not report
 * their load. A faulty worker sends a second copy of some answers, late: at the
 * point where the next answer on the connection is expected.
 */
#define _GNU_SOURCE
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "record.h"
#include "store.h"

#define SERVICES 4
#define WORKERS (5 * SERVICES)
#define SLOTS 4
#define QUEUE 2
#define WORK_MS 100
#define COPY_SHARE 0.03 /* of the answers of a faulty worker */
#define FAULT_S 5.0     /* length of the disruption, which comes */
#define FAULT_GAP_S 2.0 /* again after this pause */
#define HEALTH_MS 1
#define CLIENTS (90 * SERVICES)
#define PAUSE_MS 180
#define LOAD_S 60
#define TIMEOUT_MS 1500

typedef struct Worker_ {
    char id[16];
    char address[32];
    int port, listener;
    int running, waiting;
    bool faulty;
    pthread_mutex_t lock;
    pthread_cond_t freed;
} Worker;

/* A connection to a worker. */
typedef struct Link_ {
    Worker *worker;
    Stream stream;
    char copy[1024]; /* answer that is sent again before the next one */
    unsigned seed;
} Link;

static Worker workers[WORKERS];
static const char *fronts[16];
static int front_count, front_port;
static bool trouble;
static volatile bool stop;
static int next_request;
static int copied_answers;
static double started;

/* ---- workers -------------------------------------------------------- */

/* Returns false if the worker is full. */
static bool
take_slot(Worker *worker)
{
    bool taken = false;

    pthread_mutex_lock(&worker->lock);
    if (worker->running < SLOTS || worker->waiting < QUEUE) {
        worker->waiting++;
        while (worker->running >= SLOTS) {
            pthread_cond_wait(&worker->freed, &worker->lock);
        }
        worker->waiting--;
        worker->running++;
        taken = true;
    }
    pthread_mutex_unlock(&worker->lock);
    return taken;
}

static void
free_slot(Worker *worker)
{
    pthread_mutex_lock(&worker->lock);
    worker->running--;
    pthread_cond_signal(&worker->freed);
    pthread_mutex_unlock(&worker->lock);
}

static bool
is_disrupted(void)
{
    return trouble && fmod(now_s() - started, FAULT_S + FAULT_GAP_S) < FAULT_S;
}

static bool
respond(Link *link, const char *text)
{
    if (link->worker->faulty && is_disrupted() &&
        rand_r(&link->seed) < COPY_SHARE * RAND_MAX) {
        snprintf(link->copy, sizeof(link->copy), "%s", text);
        __sync_fetch_and_add(&copied_answers, 1);
    }
    return send_all(link->stream.fd, text, strlen(text));
}

static bool
serve_health(Link *link)
{
    char text[512];

    if (!take_slot(link->worker)) {
        return respond(link, "HTTP/1.1 503 Service Unavailable\r\n"
                             "Agatecrank-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
    }
    usleep(HEALTH_MS * 1000);
    free_slot(link->worker);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAgatecrank-Instance-Id: %s\r\n"
             "Content-Length: 0\r\n\r\n",
             link->worker->id);
    return respond(link, text);
}

static bool
serve_request(Link *link, const Message *message)
{
    char id[64], target[64], text[512];
    int number;

    field(message, "agatecrank-attempt-id", id, sizeof(id));
    field(message, "agatecrank-target-instance", target, sizeof(target));
    if (target[0] != '\0' && strcmp(target, link->worker->id) != 0) {
        snprintf(text, sizeof(text),
                 "HTTP/1.1 421 Misdirected Request\r\n"
                 "Agatecrank-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
                 id);
        return respond(link, text);
    }
    if (!take_slot(link->worker)) {
        snprintf(text, sizeof(text),
                 "HTTP/1.1 503 Service Unavailable\r\n"
                 "Agatecrank-Attempt-Id: %s\r\n"
                 "Agatecrank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 id);
        return respond(link, text);
    }
    number = atoi(id + 2);
    record_run(number, link->worker->id);
    usleep((useconds_t)(WORK_MS * 1000 / 2 +
                        rand_r(&link->seed) % (WORK_MS * 1000)));
    free_slot(link->worker);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAgatecrank-Attempt-Id: %s\r\n"
             "Agatecrank-Response-Signature: %s.%d\r\n"
             "Content-Length: 3\r\n\r\nok\n",
             id, link->worker->id, number);
    return respond(link, text);
}

static void *
serve(void *argument)
{
    Link *link = argument;
    Message *message = malloc(sizeof(*message));
    bool open = true;

    while (open && read_message(&link->stream, message, false)) {
        if (link->copy[0] != '\0') {
            record_line("copy worker=%s before=%.5s text=%.12s",
                        link->worker->id, message->head, link->copy);
            send_all(link->stream.fd, link->copy, strlen(link->copy));
            link->copy[0] = '\0';
        }
        open = strncmp(message->head, "GET /health ", 12) == 0
                   ? serve_health(link)
                   : serve_request(link, message);
        release_message(message);
    }
    close(link->stream.fd);
    free(message);
    free(link);
    return NULL;
}

static void *
accept_links(void *argument)
{
    Worker *worker = argument;
    unsigned seed = 1;

    for (;;) {
        int fd = accept(worker->listener, NULL, NULL);
        Link *link;

        if (fd < 0) {
            continue;
        }
        link = calloc(1, sizeof(*link));
        link->worker = worker;
        link->stream.fd = fd;
        link->seed = ++seed * 7919 + (unsigned)worker->port;
        start_thread(serve, link);
    }
    return NULL;
}

static void
start_worker(int i, const char *address, int port)
{
    Worker *worker = &workers[i];
    char value[512];

    snprintf(worker->id, sizeof(worker->id), "i-%d", i);
    snprintf(worker->address, sizeof(worker->address), "%s", address);
    worker->port = port + i;
    worker->faulty = i % 5 < 3;
    pthread_mutex_init(&worker->lock, NULL);
    pthread_cond_init(&worker->freed, NULL);
    worker->listener = listen_on(address, worker->port);
    start_thread(accept_links, worker);
    snprintf(value, sizeof(value),
             "{\"address\":\"%s:%d\",\"born\":1700000000000,\"info\":{"
             "\"service\":\"desk-%d\",\"version\":\"v1\",\"zone\":\"d%d\","
             "\"slots\":%d},\"status\":{\"state\":\"ready\",\"seqNo\":1,"
             "\"warmupLeftS\":0}}",
             address, worker->port, i / 5, i % 2, SLOTS);
    store_put("keyed.servers", worker->id, value);
}

/* ---- clients -------------------------------------------------------- */

static void
send_payment(int number, int service, const char *front)
{
    Stream *stream = calloc(1, sizeof(*stream));
    Message *message = malloc(sizeof(*message));
    char id[32], got[64];
    int status = 0;

    snprintf(id, sizeof(id), "a-%d", number);
    stream->fd = connect_to(front, front_port, TIMEOUT_MS / 1000.0 + 0.5);
    if (stream->fd >= 0) {
        send_text(
            stream->fd,
            "POST /pay-%d/%d HTTP/1.1\r\nHost: desk.example\r\n"
            "Agatecrank-Attempt-Id: %s\r\n"
            "Agatecrank-Timeout-Ms: %d\r\nContent-Length: 4\r\n\r\npay\n",
            service, number, id, TIMEOUT_MS);
        if (read_message(stream, message, true)) {
            status = atoi(message->head + 9);
            field(message, "agatecrank-attempt-id", got, sizeof(got));
            if (strcmp(got, id) != 0) {
                record_line("answer of another request=%d id=%s", number, got);
            }
            release_message(message);
        }
        close(stream->fd);
    }
    record_status(number, status);
    free(message);
    free(stream);
}

static void *
run_client(void *argument)
{
    unsigned seed = (unsigned)(size_t)argument * 104729 + 17;

    while (!stop) {
        int number = __sync_fetch_and_add(&next_request, 1);

        if (number < REQUESTS_MAX) {
            send_payment(number, (int)((size_t)argument % SERVICES),
                         fronts[rand_r(&seed) % (unsigned)front_count]);
        }
        usleep(PAUSE_MS * 500 + (useconds_t)rand_r(&seed) % (PAUSE_MS * 1000));
    }
    return NULL;
}

/* ---- verdict -------------------------------------------------------- */

static bool
promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static int
judge(void)
{
    int twice = 0, refused = 0, served = 0;

    for (int i = 0; i < next_request && i < REQUESTS_MAX; i++) {
        Outcome outcome = record_outcome(i);

        served += outcome.status == 200;
        if (outcome.runs > 1) {
            record_line("TWICE request=%d runs=%d status=%d", i, outcome.runs,
                        outcome.status);
            twice++;
        }
        if (outcome.runs > 0 && promises_not_run(outcome.status)) {
            record_line("REFUSED request=%d runs=%d status=%d", i,
                        outcome.runs, outcome.status);
            refused++;
        }
    }
    record_line("requests=%d served=%d copies=%d twice=%d refused=%d",
                next_request, served, copied_answers, twice, refused);
    printf("requests=%d served=%d copies=%d twice=%d refused=%d\n",
           next_request, served, copied_answers, twice, refused);
    if (served < next_request / 4) {
        return 2;
    }
    return twice > 0 || refused > 0;
}

static void
put_config(void)
{
    char *text;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    fprintf(out, "{\"version\":\"00000001\",\"limits\":{"
                 "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                 "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"services\":[");
    for (int i = 0; i < SERVICES; i++) {
        fprintf(out,
                "%s{\"name\":\"desk-%d\",\"healthPath\":\"/health\","
                "\"maxConns\":260,\"protocol\":\"h1\",\"tls\":false}",
                i > 0 ? "," : "", i);
    }
    fprintf(out, "],\"hosts\":[{\"host\":\"desk.example\",\"paths\":[");
    for (int i = 0; i < SERVICES; i++) {
        fprintf(out,
                "%s{\"name\":\"r-pay-%d\",\"pathPrefix\":\"/pay-%d/\","
                "\"kind\":\"unsafe\",\"timeoutS\":1.2,"
                "\"targetLatencyS\":0.3,\"priority\":1,"
                "\"service\":\"desk-%d\",\"maxAttempts\":2}",
                i > 0 ? "," : "", i, i, i);
    }
    fprintf(out, "]}]}");
    fclose(out);
    store_put("keyed.op", "config", text);
    free(text);
}

/* copies RECORD TROUBLE STORE_ADDRESS PORT FRONT... : the store is at PORT,
 * workers at the ports after it, the hosts' front at PORT, too. */
int
main(int argc, char **argv)
{
    int port, verdict;

    if (argc < 6) {
        fprintf(stderr,
                "usage: copies RECORD TROUBLE ADDRESS PORT FRONT...\n");
        return 2;
    }
    trouble = atoi(argv[2]) != 0;
    port = front_port = atoi(argv[4]);
    for (int i = 5; i < argc && front_count < 16; i++) {
        fronts[front_count++] = argv[i];
    }
    started = now_s();
    record_open(argv[1]);
    store_start(argv[3], port);
    put_config();
    for (int i = 0; i < WORKERS; i++) {
        start_worker(i, argv[3], port + 1);
    }
    sleep(4); /* the hosts start and read the store */
    for (size_t i = 0; i < CLIENTS; i++) {
        start_thread(run_client, (void *)(i + 1));
    }
    sleep(LOAD_S);
    stop = true;
    sleep(4);
    verdict = judge();
    record_close();
    return verdict;
}
