/*
 * Store, workers and clients of a small deployment. Lookups come on kept
 * connections all the time; uploads that are as long as the configuration
 * allows come together for a moment. The platform ends a host that exceeds its
 * memory, as the machine's limit says, and starts it again.
 */
#define _GNU_SOURCE
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net.h"
#include "record.h"
#include "store.h"

#define WORKERS 4
#define SLOTS 6
#define LOOKUP_MS 89
#define UPLOAD_MS 120
#define LOOKUP_CLIENTS 24
#define LOOKUP_PAUSE_MS 150
#define LOOKUP_TIMEOUT_MS 1200
#define UPLOAD_TIMEOUT_MS 1500
#define UPLOADS 2
#define UPLOAD_BYTES 67108864  /* maxBodyBytes */
#define LINK_BYTES_PER_S 125e6 /* 1,000 Mbit/s, shared by the uploads */
#define WORKER_BYTES_PER_S 125e6
#define CHUNK_BYTES 65536
#define BURSTS 3
#define BURST_GAP_S 6
#define MEMORY_MB 260
#define RESTART_MS 500

typedef struct Worker_ {
    char id[16];
    int port, listener, running;
} Worker;

typedef struct Link_ {
    Worker *worker;
    Stream stream;
} Link;

static Worker workers[WORKERS];
static const char *front;
static int port;
static volatile bool stop;
static int next_request;
static volatile int host_pid;
static char **host_command;
static int host_ends;
static long peak_kb;

/* ---- the platform: memory of the host -------------------------------- */

static void
start_host(void)
{
    int pid = fork();

    if (pid == 0) {
        execv(host_command[0], host_command);
        _exit(127);
    }
    host_pid = pid;
    record_line("host started pid=%d", pid);
}

static long
resident_kb(int pid)
{
    char path[64], line[256];
    long kb = 0;
    FILE *in;

    snprintf(path, sizeof(path), "/proc/%d/status", pid);
    in = fopen(path, "r");
    while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
        if (sscanf(line, "VmRSS: %ld", &kb) == 1) {
            break;
        }
    }
    if (in != NULL) {
        fclose(in);
    }
    return kb;
}

static void *
watch_host(void *argument)
{
    (void)argument;
    while (!stop) {
        long kb = resident_kb(host_pid);
        int status;

        peak_kb = kb > peak_kb ? kb : peak_kb;
        if (kb > MEMORY_MB * 1024L) {
            record_line("host exceeds its memory: %ld kB of %d MB", kb,
                        MEMORY_MB);
            kill(host_pid, SIGKILL);
        }
        if (waitpid(host_pid, &status, WNOHANG) == host_pid) {
            record_line("host has ended, status=%d", status);
            host_ends++;
            usleep(RESTART_MS * 1000);
            start_host();
        }
        usleep(2000);
    }
    return NULL;
}

/* ---- workers -------------------------------------------------------- */

static void
drop_body(Stream *stream, size_t length)
{
    double started = now_s();
    size_t done = 0;

    while (done < length) {
        size_t n = stream->end - stream->start;
        ssize_t got;

        n = n < length - done ? n : length - done;
        stream->start += n;
        done += n;
        if (done == length) {
            return;
        }
        got = recv(stream->fd, stream->data, sizeof(stream->data), 0);
        if (got <= 0) {
            return;
        }
        stream->start = 0;
        stream->end = (size_t)got;
        while (now_s() - started < (double)done / WORKER_BYTES_PER_S) {
            usleep(500);
        }
    }
}

static bool
serve_request(Link *link, Message *message)
{
    char id[64], text[512];
    int number;

    field(message, "agatecrank-attempt-id", id, sizeof(id));
    number = atoi(id + 2);
    __sync_fetch_and_add(&link->worker->running, 1);
    record_run(number, link->worker->id);
    usleep((message->head[0] == 'G' ? LOOKUP_MS : UPLOAD_MS) * 1000);
    __sync_fetch_and_sub(&link->worker->running, 1);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAgatecrank-Attempt-Id: %s\r\n"
             "Agatecrank-Response-Signature: %s.%d\r\n"
             "Agatecrank-Server-Load: %d,0,%d\r\n"
             "Content-Length: 3\r\n\r\nok\n",
             id, link->worker->id, number, link->worker->running, SLOTS);
    return send_all(link->stream.fd, text, strlen(text));
}

/* Reads a head without its body, which may be long. */
static bool
read_request(Stream *stream, Message *message)
{
    char length[32];
    bool found = read_head_only(stream, message);

    if (found) {
        field(message, "content-length", length, sizeof(length));
        drop_body(stream, strtoull(length, NULL, 10));
    }
    return found;
}

static void *
serve(void *argument)
{
    Link *link = argument;
    Message *message = malloc(sizeof(*message));
    bool open = true;

    while (open && read_request(&link->stream, message)) {
        if (strncmp(message->head, "GET /health ", 12) == 0) {
            open = send_text(link->stream.fd,
                             "HTTP/1.1 200 OK\r\n"
                             "Agatecrank-Instance-Id: %s\r\n"
                             "Agatecrank-Server-Load: %d,0,%d\r\n"
                             "Content-Length: 0\r\n\r\n",
                             link->worker->id, link->worker->running, SLOTS);
        }
        else {
            open = serve_request(link, message);
        }
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

/* ---- clients -------------------------------------------------------- */

static int
take_number(void)
{
    return __sync_fetch_and_add(&next_request, 1);
}

/* Returns the status, or 0 if the connection ended without an answer. */
static int
read_status(Stream *stream, Message *message)
{
    int status = 0;

    if (read_message(stream, message, true)) {
        status = message->complete ? atoi(message->head + 9) : 0;
        release_message(message);
    }
    return status;
}

/* Sends lookups on one connection as long as it stays open. */
static void *
run_lookups(void *argument)
{
    unsigned seed = (unsigned)(size_t)argument * 104729 + 17;
    Stream *stream = calloc(1, sizeof(*stream));
    Message *message = malloc(sizeof(*message));

    stream->fd = -1;
    while (!stop) {
        int number, status;

        if (stream->fd < 0) {
            stream->fd = connect_to(front, port, 1.0);
            stream->start = stream->end = 0;
        }
        if (stream->fd < 0) {
            usleep(100000);
            continue;
        }
        number = take_number();
        send_text(stream->fd,
                  "GET /look/%d HTTP/1.1\r\nHost: desk.example\r\n"
                  "Agatecrank-Attempt-Id: a-%d\r\n"
                  "Agatecrank-Timeout-Ms: %d\r\n\r\n",
                  number, number, LOOKUP_TIMEOUT_MS);
        status = read_status(stream, message);
        record_status(number, status);
        if (status == 0) {
            close(stream->fd);
            stream->fd = -1;
        }
        usleep(LOOKUP_PAUSE_MS * 500 +
               (useconds_t)rand_r(&seed) % (LOOKUP_PAUSE_MS * 1000));
    }
    return NULL;
}

static void *
run_upload(void *argument)
{
    static char zeros[CHUNK_BYTES];
    Stream *stream = calloc(1, sizeof(*stream));
    Message *message = malloc(sizeof(*message));
    int number = take_number(), status = 0;
    double started = now_s();
    size_t sent = 0;

    (void)argument;
    stream->fd = connect_to(front, port, UPLOAD_TIMEOUT_MS / 1000.0);
    if (stream->fd >= 0) {
        record_line("upload request=%d bytes=%d", number, UPLOAD_BYTES);
        send_text(stream->fd,
                  "POST /pay/%d HTTP/1.1\r\nHost: desk.example\r\n"
                  "Agatecrank-Attempt-Id: a-%d\r\n"
                  "Agatecrank-Timeout-Ms: %d\r\n"
                  "Content-Length: %d\r\n\r\n",
                  number, number, UPLOAD_TIMEOUT_MS, UPLOAD_BYTES);
        while (sent < UPLOAD_BYTES &&
               send_all(stream->fd, zeros, CHUNK_BYTES)) {
            sent += CHUNK_BYTES;
            while ((now_s() - started) * LINK_BYTES_PER_S / UPLOADS <
                   (double)sent) {
                usleep(300);
            }
        }
        record_line("uploaded request=%d bytes=%zu after=%.3f", number, sent,
                    now_s() - started);
        status = read_status(stream, message);
        close(stream->fd);
    }
    record_status(number, status);
    free(message);
    free(stream);
    return NULL;
}

/* ---- verdict -------------------------------------------------------- */

/* LOST: lookups that a sound worker ran and whose connection was closed
 * without an answer, more than three. */
static int
judge(void)
{
    int cut = 0, served = 0;

    for (int i = 0; i < next_request && i < REQUESTS_MAX; i++) {
        Outcome outcome = record_outcome(i);

        served += outcome.status == 200;
        if (outcome.status == 0 && outcome.runs > 0) {
            record_line("LOST request=%d", i);
            cut++;
        }
    }
    record_line("requests=%d served=%d cut=%d host_ends=%d peak_mb=%ld",
                next_request, served, cut, host_ends, peak_kb / 1024);
    printf("requests=%d served=%d cut=%d host_ends=%d peak_mb=%ld\n",
           next_request, served, cut, host_ends, peak_kb / 1024);
    if (served < next_request / 4) {
        return 2;
    }
    return cut > 3;
}

static const char config[] =
    "{\"version\":\"00000001\",\"services\":[{\"name\":\"desk\","
    "\"healthPath\":\"/health\",\"maxConns\":260,\"protocol\":\"h1\","
    "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
    "\"hosts\":[{\"host\":\"desk.example\",\"paths\":["
    "{\"name\":\"r-pay\",\"pathPrefix\":\"/pay/\",\"kind\":\"unsafe\","
    "\"timeoutS\":1.5,\"targetLatencyS\":0.3,\"priority\":1,"
    "\"service\":\"desk\",\"maxAttempts\":2},"
    "{\"name\":\"r-look\",\"pathPrefix\":\"/look/\",\"kind\":\"safe\","
    "\"timeoutS\":1.2,\"targetLatencyS\":0.25,\"priority\":2,"
    "\"service\":\"desk\",\"maxAttempts\":2}]}]}";

/* uploads RECORD TROUBLE ADDRESS PORT FRONT COMMAND...: the store is at PORT,
 * workers at the ports after it, the host's front at PORT, too. */
int
main(int argc, char **argv)
{
    bool trouble;
    int verdict;

    if (argc < 7) {
        fprintf(stderr, "usage: uploads RECORD TROUBLE ADDRESS PORT FRONT "
                        "COMMAND...\n");
        return 2;
    }
    trouble = atoi(argv[2]) != 0;
    port = atoi(argv[4]);
    front = argv[5];
    host_command = &argv[6];
    signal(SIGPIPE, SIG_IGN);
    record_open(argv[1]);
    store_start(argv[3], port);
    store_put("keyed.op", "config", config);
    for (int i = 0; i < WORKERS; i++) {
        start_worker(i, argv[3]);
    }
    start_host();
    start_thread(watch_host, NULL);
    sleep(4); /* the host reads the store */
    for (size_t i = 0; i < LOOKUP_CLIENTS; i++) {
        start_thread(run_lookups, (void *)(i + 1));
    }
    for (int i = 0; i < BURSTS; i++) {
        sleep(BURST_GAP_S);
        for (int k = 0; k < UPLOADS && trouble; k++) {
            start_thread(run_upload, NULL);
        }
    }
    sleep(BURST_GAP_S);
    stop = true;
    sleep(2);
    verdict = judge();
    kill(host_pid, SIGKILL);
    record_close();
    return verdict;
}
