/*
 * Store, workers and clients of a small deployment with customers. A key is
 * withdrawn. Later the store comes back from a copy that is older than that,
 * and one host is killed and started again; then the operator writes the
 * configuration again.
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

#define HOSTS 2
#define WORKERS 4
#define SLOTS 6
#define WORK_MS 40
#define CLIENTS 8 /* half of them have the key that is withdrawn */
#define PAUSE_MS 60
#define TIMEOUT_MS 1000
#define REVOKE_S 5
#define AWAY_MS 500       /* of the store */
#define WRITTEN_AGAIN_S 2 /* after the return of the store */
#define RESTART_MS 300

typedef struct Worker_ {
    char id[16];
    int port, listener, running;
} Worker;

typedef struct Link_ {
    Worker *worker;
    Stream stream;
} Link;

static Worker workers[WORKERS];
static const char *fronts[HOSTS];
static const char *daemon_path, *settings_folder;
static int port;
static volatile bool stop;
static int next_request;
static double sent_at[REQUESTS_MAX];
static bool has_old_key[REQUESTS_MAX];
static int host_pids[HOSTS];

static void
start_host(int i)
{
    char path[256];
    int pid;

    snprintf(path, sizeof(path), "%s/host-%d.toml", settings_folder, i + 1);
    pid = fork();
    if (pid == 0) {
        setenv("AGATECRANK_NODE_FILE", path, 1);
        execl(daemon_path, daemon_path, (char *)NULL);
        _exit(127);
    }
    host_pids[i] = pid;
    record_line("host %d started pid=%d", i + 1, pid);
}

/* ---- workers -------------------------------------------------------- */

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

/* ---- operator and clients ------------------------------------------- */

static void
put_config(int version, const char *keys)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "{\"version\":\"%08x\",\"services\":[{\"name\":\"desk\","
             "\"healthPath\":\"/health\",\"maxConns\":260,"
             "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
             "\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
             "\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
             "\"tenants\":[{\"name\":\"notary\",\"apiKeys\":[%s]}],"
             "\"hosts\":[{\"host\":\"desk.example\",\"paths\":["
             "{\"name\":\"r-look\",\"pathPrefix\":\"/look/\","
             "\"kind\":\"safe\",\"timeoutS\":1.0,\"targetLatencyS\":0.25,"
             "\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2}]}]}",
             version, keys);
    store_put("keyed.op", "config", text);
    record_line("configuration version=%d keys=%s acknowledged", version,
                keys);
}

static void *
run_client(void *argument)
{
    size_t index = (size_t)argument;
    unsigned seed = (unsigned)index * 104729 + 17;
    bool old = index % 2 == 0;
    Stream *stream = calloc(1, sizeof(*stream));
    Message *message = malloc(sizeof(*message));

    while (!stop) {
        int number = __sync_fetch_and_add(&next_request, 1), status = 0;

        sent_at[number] = now_s();
        has_old_key[number] = old;
        stream->start = stream->end = 0;
        stream->fd = connect_to(fronts[index / 2 % HOSTS], port, 1.5);
        if (stream->fd >= 0) {
            send_text(stream->fd,
                      "GET /look/%d HTTP/1.1\r\nHost: desk.example\r\n"
                      "Agatecrank-Attempt-Id: a-%d\r\n"
                      "Agatecrank-Key: %s\r\n"
                      "Agatecrank-Timeout-Ms: %d\r\n\r\n",
                      number, number, old ? "key-old" : "key-new", TIMEOUT_MS);
            if (read_message(stream, message, true)) {
                status = atoi(message->head + 9);
                release_message(message);
            }
            close(stream->fd);
        }
        record_line("sent request=%d key=%s host=%zu", number,
                    old ? "old" : "new", index / 2 % HOSTS + 1);
        record_status(number, status);
        usleep(PAUSE_MS * 500 + (useconds_t)rand_r(&seed) % (PAUSE_MS * 1000));
    }
    return NULL;
}

/* CONFIG, strictRevoke: requests with the key that was withdrawn, sent later
 * than REVOKE_S after the ack of the version that withdrew it, and run. */
static int
judge(double acknowledged)
{
    int stale = 0, served = 0, before = 0;

    for (int i = 0; i < next_request; i++) {
        Outcome outcome = record_outcome(i);

        served += outcome.status == 200 && !has_old_key[i];
        before += outcome.status == 200 && has_old_key[i] &&
                  sent_at[i] < acknowledged;
        if (has_old_key[i] && outcome.runs > 0 &&
            sent_at[i] > acknowledged + REVOKE_S) {
            record_line("CONFIG request=%d sent %.3f s after the ack", i,
                        sent_at[i] - acknowledged);
            stale++;
        }
    }
    record_line("requests=%d served=%d old_key_before=%d stale=%d",
                next_request, served, before, stale);
    printf("requests=%d served=%d old_key_before=%d stale=%d\n", next_request,
           served, before, stale);
    if (served < next_request / 4 || before == 0) {
        return 2;
    }
    return stale > 0;
}

/* @trouble: 1: both disruptions, 2: only that of the store, 3: only that of the
 * host */
static void
disrupt(int trouble)
{
    int status;

    if (trouble != 3) {
        record_line("the store is away");
        store_set_down();
    }
    if (trouble != 2) {
        record_line("host 1 is killed");
        kill(host_pids[0], SIGKILL);
        waitpid(host_pids[0], &status, 0);
    }
    usleep(RESTART_MS * 1000);
    if (trouble != 2) {
        start_host(0);
    }
    usleep((AWAY_MS - RESTART_MS) * 1000);
    if (trouble != 3) {
        store_restore();
        record_line("the store is back from the copy");
        sleep(WRITTEN_AGAIN_S);
        put_config(2, "\"key-new\"");
    }
}

/* keys RECORD TROUBLE ADDRESS PORT FRONT FRONT DAEMON FOLDER: the store is at
 * PORT, workers at the ports after it, the hosts' fronts at PORT, too. */
int
main(int argc, char **argv)
{
    double acknowledged;
    int trouble, verdict;

    if (argc < 9) {
        fprintf(stderr, "usage: keys RECORD TROUBLE ADDRESS PORT FRONT FRONT "
                        "DAEMON FOLDER\n");
        return 2;
    }
    trouble = atoi(argv[2]);
    port = atoi(argv[4]);
    fronts[0] = argv[5];
    fronts[1] = argv[6];
    daemon_path = argv[7];
    settings_folder = argv[8];
    signal(SIGPIPE, SIG_IGN);
    record_open(argv[1]);
    store_start(argv[3], port);
    put_config(1, "\"key-old\",\"key-new\"");
    for (int i = 0; i < WORKERS; i++) {
        start_worker(i, argv[3]);
    }
    for (int i = 0; i < HOSTS; i++) {
        start_host(i);
    }
    sleep(5); /* the hosts start and read the store */
    for (size_t i = 0; i < CLIENTS; i++) {
        start_thread(run_client, (void *)i);
    }
    sleep(2);
    store_copy();
    usleep(100000);
    put_config(2, "\"key-new\"");
    acknowledged = now_s();
    usleep((REVOKE_S * 1000 - 300) * 1000);
    if (trouble != 0) {
        disrupt(trouble);
    }
    sleep(4);
    stop = true;
    sleep(2);
    verdict = judge(acknowledged);
    for (int i = 0; i < HOSTS; i++) {
        kill(host_pids[i], SIGKILL);
    }
    record_close();
    return verdict;
}
