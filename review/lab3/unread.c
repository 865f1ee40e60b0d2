/* Clients that send requests and read no answers, at one gateway host; without
 * the trouble they read. The memory of the process is that in /proc, which leaves
 * out what the system has received for it or has to send. */
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define WORKERS 8
#define MEMORY_MB 260
#define DESCRIPTORS 4100
/* Largest answer in the site file (resp_bytes max). */
#define ANSWER_BYTES 30000
#define CONNECTIONS 2900
#define REQUESTS 6         /* on each connection */
#define PADDING_BYTES 3500 /* of a header field; maxHeaderBytes is 16384 */
#define WATCH_S 20.0

static char body[ANSWER_BYTES];

static bool
run_request(Worker *worker, int fd, const Message *request, const char *id)
{
    (void)worker;
    (void)request;
    return lab_worker_answer(fd, id, 200,
                             "Agatecrank-Response-Signature: s.1\r\n", body,
                             ANSWER_BYTES);
}

static const char config[] =
    "{\"version\":\"00000001\",\"services\":[{\"name\":\"desk\","
    "\"healthPath\":\"/health\",\"maxConns\":260}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"baseVersion\":\"00000000\","
    "\"hosts\":[{\"host\":\"a.example\",\"paths\":[{\"name\":\"r\","
    "\"pathPrefix\":\"/r/\",\"kind\":\"safe\",\"timeoutS\":1.2,"
    "\"targetLatencyS\":0.25,\"priority\":2,\"service\":\"desk\","
    "\"maxAttempts\":2,\"public\":false}]}]}";

static const char bounds[] =
    "drainS = 2\ngraceS = 6\nretryBudgetRatio = 0.2\nretryWindowS = 10\n"
    "retryBudgetExtra = 64\nprobesPerS = 60\n";

static Worker workers[WORKERS];
static Host host;
static int fds[CONNECTIONS];
static long received[CONNECTIONS];

static int
open_client(void)
{
    struct sockaddr_in peer = {.sin_family = AF_INET,
                               .sin_port = htons(host.callers)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int window = 4096, segment = 536;

    inet_pton(AF_INET, host.address, &peer.sin_addr);
    /* As over a wide-area link, and of a client with little memory. */
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
send_requests(int fd, int number)
{
    static char text[REQUESTS * (PADDING_BYTES + 300)];
    static char padding[PADDING_BYTES + 1];
    size_t n = 0;

    memset(padding, 'p', PADDING_BYTES);
    for (int i = 0; i < REQUESTS; i++) {
        n += (size_t)snprintf(text + n, sizeof(text) - n,
                              "GET /r/x HTTP/1.1\r\nHost: a.example\r\n"
                              "Agatecrank-Attempt-Id: u%d-%d\r\n"
                              "Agatecrank-Timeout-Ms: 1200\r\n"
                              "X-Padding: %s\r\n\r\n",
                              number, i, padding);
    }
    lab_send(fd, text, n);
}

static void
read_all(int count)
{
    static struct pollfd polled[CONNECTIONS];
    static char buffer[65536];

    for (int i = 0; i < count; i++) {
        polled[i] = (struct pollfd){fds[i], POLLIN, 0};
    }
    if (poll(polled, (nfds_t)count, 0) <= 0) {
        return;
    }
    for (int i = 0; i < count; i++) {
        if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            ssize_t n = recv(fds[i], buffer, sizeof(buffer), MSG_DONTWAIT);

            if (n > 0) {
                received[i] += n;
            }
            else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
                close(fds[i]);
                fds[i] = -1;
            }
        }
    }
}

static bool
serves(void)
{
    for (int i = 0; i < 10; i++) {
        Message answer;
        char text[200];
        int status;

        snprintf(text, sizeof(text),
                 "GET /r/o HTTP/1.1\r\nHost: a.example\r\n"
                 "Agatecrank-Attempt-Id: o%.4f\r\n"
                 "Agatecrank-Timeout-Ms: 1200\r\n\r\n",
                 lab_now());
        status = lab_call(host.address, host.callers, text, 2, &answer);
        lab_free(&answer);
        if (status == 200) {
            return true;
        }
        lab_sleep(0.3);
    }
    return false;
}

int
main(void)
{
    struct rlimit files = {16384, 16384};
    HostSettings settings = {.memory_mb = MEMORY_MB,
                             .descriptors = DESCRIPTORS,
                             .bounds = bounds,
                             .first_start = true};
    int opened = 0, status = 0;
    long peak = 0;
    double end;

    signal(SIGPIPE, SIG_IGN);
    if (setrlimit(RLIMIT_NOFILE, &files) != 0) {
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
    }
    memset(body, 'x', sizeof(body));
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
    if (!serves()) {
        lab_unable("no request is served in calm");
    }
    lab_record("idle: resident_kb=%ld", lab_host_kb(&host, "VmRSS"));
    while (opened < CONNECTIONS) {
        fds[opened] = open_client();
        if (fds[opened] < 0) {
            lab_record("connection %d: %s", opened, strerror(errno));
            break;
        }
        send_requests(fds[opened], opened);
        opened++;
        if (!lab_trouble()) {
            read_all(opened);
        }
        if (opened % 10 == 0) {
            lab_sleep(0.02);
        }
    }
    lab_record("connections=%d requests=%d bytes_each=%d read=%d", opened,
               opened * REQUESTS, ANSWER_BYTES, !lab_trouble());
    if (opened < CONNECTIONS && host.pid > 0 &&
        !lab_host_ended(&host, &status)) {
        lab_unable("too few connections");
    }
    end = lab_now() + WATCH_S;
    while (lab_now() < end && !lab_host_ended(&host, &status)) {
        long now = lab_host_kb(&host, "VmRSS");

        peak = now > peak ? now : peak;
        if (!lab_trouble()) {
            read_all(opened);
        }
        lab_sleep(0.02);
    }
    if (host.pid > 0) {
        long high = lab_host_kb(&host, "VmHWM");

        peak = high > peak ? high : peak;
        lab_record("ordinary client served: %s", serves() ? "yes" : "no");
    }
    else {
        lab_record("the host has ended with status %d", status);
    }
    for (int i = 0; i < opened; i++) {
        if (i % 290 == 0) {
            lab_record("client %d has read %ld bytes", i, received[i]);
        }
    }
    /* In the larger reading of MB, units of 1,024 x 1,024 bytes. */
    lab_record("peak_kib=%ld limit_kib=%d", peak, MEMORY_MB * 1024);
    printf("peak_kib=%ld limit_kib=%d\n", peak, MEMORY_MB * 1024);
    lab_end_hosts();
    return peak > MEMORY_MB * 1024L ? 1 : 0;
}
