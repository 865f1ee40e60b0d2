/*
 * Store, workers and clients of a small deployment whose configuration raises
 * maxHeaderBytes. Clients keep their connections; from a second after the new
 * configuration has to be in force they send larger heads, within its limit.
 */
#define _GNU_SOURCE
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "record.h"
#include "store.h"

#define WORKERS 4
#define SLOTS 6
#define WORK_MS 50
#define CLIENTS 40
#define PAUSE_MS 400
#define TIMEOUT_MS 1200
#define CONFIG_APPLY_S 2
#define OLD_HEADER_BYTES 8192
#define NEW_HEADER_BYTES 16384
#define LARGE_FIELD_BYTES 10000

typedef struct Worker_ {
    char id[16];
    int port, listener, running;
} Worker;

typedef struct Link_ {
    Worker *worker;
    Stream stream;
} Link;

static Worker workers[WORKERS];
static const char *fronts[16];
static int front_count, port;
static volatile bool stop, large;
static int next_request;

static void *
serve(void *argument)
{
    Link *link = argument;
    Message *message = malloc(sizeof(*message));
    char id[64];
    bool open = true;

    while (open && read_message(&link->stream, message, false)) {
        if (strncmp(message->head, "GET /health ", 12) == 0) {
            open = send_text(link->stream.fd,
                             "HTTP/1.1 200 OK\r\n"
                             "Agatecrank-Instance-Id: %s\r\n"
                             "Agatecrank-Server-Load: %d,0,%d\r\n"
                             "Content-Length: 0\r\n\r\n",
                             link->worker->id, link->worker->running, SLOTS);
            release_message(message);
            continue;
        }
        field(message, "agatecrank-attempt-id", id, sizeof(id));
        __sync_fetch_and_add(&link->worker->running, 1);
        record_run(atoi(id + 2), link->worker->id);
        usleep(WORK_MS * 1000);
        __sync_fetch_and_sub(&link->worker->running, 1);
        open = send_text(link->stream.fd,
                         "HTTP/1.1 200 OK\r\nAgatecrank-Attempt-Id: %s\r\n"
                         "Agatecrank-Response-Signature: %s\r\n"
                         "Agatecrank-Server-Load: %d,0,%d\r\n"
                         "Content-Length: 3\r\n\r\nok\n",
                         id, link->worker->id, link->worker->running, SLOTS);
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

    for (;;) {
        int fd = accept(worker->listener, NULL, NULL);
        Link *link;

        if (fd < 0) {
            continue;
        }
        link = calloc(1, sizeof(*link));
        link->worker = worker;
        link->stream.fd = fd;
        start_thread(serve, link);
    }
    return NULL;
}

static void
start_worker(int i, const char *address)
{
    Worker *worker = &workers[i];
    char value[512];

    snprintf(worker->id, sizeof(worker->id), "i-%d", i);
    worker->port = port + 1 + i;
    worker->listener = listen_on(address, worker->port);
    start_thread(accept_links, worker);
    snprintf(value, sizeof(value),
             "{\"address\":\"%s:%d\",\"born\":1700000000000,\"info\":{"
             "\"service\":\"desk\",\"version\":\"v1\",\"zone\":\"d%d\","
             "\"slots\":%d},\"status\":{\"state\":\"ready\",\"seqNo\":1,"
             "\"warmupLeftS\":0}}",
             address, worker->port, i % 2, SLOTS);
    store_put("keyed.servers", worker->id, value);
}

static void
put_config(int version, int header_bytes)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":\"%08x\",\"services\":[{\"name\":\"desk\","
             "\"healthPath\":\"/health\",\"maxConns\":260,"
             "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
             "\"maxHeaderBytes\":%d,\"maxBodyBytes\":67108864,"
             "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
             "\"hosts\":[{\"host\":\"desk.example\",\"paths\":["
             "{\"name\":\"r-look\",\"pathPrefix\":\"/look/\","
             "\"kind\":\"safe\",\"timeoutS\":1.2,\"targetLatencyS\":0.25,"
             "\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}]}]}",
             version, header_bytes);
    store_put("keyed.op", "config", text);
    record_line("configuration version=%d maxHeaderBytes=%d acknowledged",
                version, header_bytes);
}

static void *
run_client(void *argument)
{
    unsigned seed = (unsigned)(size_t)argument * 104729 + 17;
    const char *front = fronts[(size_t)argument % (size_t)front_count];
    Stream *stream = calloc(1, sizeof(*stream));
    Message *message = malloc(sizeof(*message));
    char *filler = malloc(LARGE_FIELD_BYTES + 1);

    memset(filler, 'x', LARGE_FIELD_BYTES);
    filler[LARGE_FIELD_BYTES] = '\0';
    stream->fd = -1;
    while (!stop) {
        int number = __sync_fetch_and_add(&next_request, 1), status = 0;

        if (stream->fd < 0) {
            stream->fd = connect_to(front, port, 1.5);
            stream->start = stream->end = 0;
        }
        send_text(stream->fd,
                  "GET /look/%d HTTP/1.1\r\nHost: desk.example\r\n"
                  "Agatecrank-Attempt-Id: a-%d\r\n"
                  "Agatecrank-Timeout-Ms: %d\r\n",
                  number, number, TIMEOUT_MS);
        if (large) {
            send_all(stream->fd, "Cookie: ", 8);
            send_all(stream->fd, filler, LARGE_FIELD_BYTES);
            send_all(stream->fd, "\r\n", 2);
        }
        send_all(stream->fd, "\r\n", 2);
        if (read_message(stream, message, true)) {
            status = atoi(message->head + 9);
            release_message(message);
        }
        record_status(number, status);
        if (status != 200) {
            close(stream->fd);
            stream->fd = -1;
        }
        usleep(PAUSE_MS * 500 + (useconds_t)rand_r(&seed) % (PAUSE_MS * 1000));
    }
    return NULL;
}

/* DENIED: more than 5 + one in 500 of all requests. */
static int
judge(void)
{
    int denied = 0, served = 0;

    for (int i = 0; i < next_request && i < REQUESTS_MAX; i++) {
        Outcome outcome = record_outcome(i);

        served += outcome.status == 200;
        denied += outcome.status >= 300 && outcome.status < 500 &&
                  outcome.status != 408 && outcome.status != 421 &&
                  outcome.status != 429;
    }
    record_line("requests=%d served=%d denied=%d", next_request, served,
                denied);
    printf("requests=%d served=%d denied=%d\n", next_request, served, denied);
    if (served < next_request / 4) {
        return 2;
    }
    return denied > 5 + next_request / 500;
}

int
main(int argc, char **argv)
{
    bool trouble;
    int verdict;

    if (argc < 6) {
        fprintf(stderr, "usage: heads RECORD TROUBLE ADDRESS PORT FRONT...\n");
        return 2;
    }
    trouble = atoi(argv[2]) != 0;
    port = atoi(argv[4]);
    for (int i = 5; i < argc && front_count < 16; i++) {
        fronts[front_count++] = argv[i];
    }
    signal(SIGPIPE, SIG_IGN);
    record_open(argv[1]);
    store_start(argv[3], port);
    put_config(1, trouble ? OLD_HEADER_BYTES : NEW_HEADER_BYTES);
    for (int i = 0; i < WORKERS; i++) {
        start_worker(i, argv[3]);
    }
    sleep(4); /* the hosts start and read the store */
    for (size_t i = 0; i < CLIENTS; i++) {
        start_thread(run_client, (void *)(i + 1));
    }
    sleep(5);
    if (trouble) {
        put_config(2, NEW_HEADER_BYTES);
    }
    sleep(CONFIG_APPLY_S + 1);
    large = true;
    record_line("larger heads");
    sleep(6);
    stop = true;
    sleep(3);
    verdict = judge();
    record_close();
    return verdict;
}
