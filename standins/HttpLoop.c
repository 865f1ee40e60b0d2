#include "HttpLoop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Error.h"

#define RECEIVE_BUFFER_BYTES (64 * 1024)
#define LISTEN_BACKLOG_MAX 4096
#define OPEN_FILES_MAX 16384

static volatile sig_atomic_t stopping;
static struct lws_context *running;

static void
on_signal(int number)
{
    (void)number;
    stopping = 1;
    if (running != NULL) {
        lws_cancel_service(running);
    }
}

/* libwebsockets allocates memory for each file that the limit allows, so the
 * limit is set to OPEN_FILES_MAX at most. */
static void
set_open_file_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = MIN(limit.rlim_max, OPEN_FILES_MAX);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

HttpLoop *
HttpLoop_Create(void)
{
    HttpLoop *this = g_new0(HttpLoop, 1);
    struct lws_context_creation_info info;

    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    set_open_file_limit();
    lws_set_log_level(LLL_ERR, NULL);
    memset(&info, 0, sizeof(info));
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.pt_serv_buf_size = RECEIVE_BUFFER_BYTES;
    this->context = lws_create_context(&info);
    this->timers = TimerQueue_Create(this->context);
    return this;
}

void
HttpLoop_Close(HttpLoop *this)
{
    lws_context_destroy(this->context);
    this->context = NULL;
}

void
HttpLoop_Destroy(HttpLoop *this)
{
    TimerQueue_Destroy(this->timers);
    g_free(this);
}

void
HttpLoop_Run(HttpLoop *this, bool spin)
{
    int timeout_ms = spin ? -1 : 0; /* lws_service(): -1 does not wait */

    running = this->context;
    while (!stopping && lws_service(this->context, timeout_ms) >= 0) {
    }
    running = NULL;
}

void
HttpLoop_Stop(void)
{
    on_signal(0);
}

int
HttpLoop_Listen(int *port)
{
    static const int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)*port);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
        listen(fd, LISTEN_BACKLOG_MAX) < 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) < 0) {
        close(fd);
        return ERR_UNAVAILABLE;
    }
    *port = ntohs(address.sin_port);
    return fd;
}
