#include "ScriptedUpstream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Clock.h"

#define HEAD_BYTES_MAX 8192
/* The host reads the copy long before the response follows. */
#define RESPONSE_DELAY_US (50 * MICROS_PER_MS)
#define HELD_POLL_US (2 * MICROS_PER_MS)

/* One thread accepts connections, and one serves each connection. */
struct ScriptedUpstream_ {
    const ScriptedReply *replies;
    unsigned reply_count;
    const char *probe_response; /* NULL for a reply */
    int listen_fd;
    uint16_t port;
    gint requests;
    gint open; /* connections that are served */
    gint held; /* a reply waits */
    GThread *thread;
};

typedef struct Served_ {
    ScriptedUpstream *owner;
    int fd;
} Served;

/* Returns false at the end of the connection. */
static bool
read_head(int fd, char head[HEAD_BYTES_MAX])
{
    size_t n = 0;

    while (n < HEAD_BYTES_MAX - 1) {
        if (recv(fd, head + n, 1, 0) <= 0) {
            return false;
        }
        head[++n] = '\0';
        if (g_str_has_suffix(head, "\r\n\r\n")) {
            return true;
        }
    }
    return false;
}

static void
write_text(int fd, const char *text)
{
    if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
        g_test_message("the host has closed the connection");
    }
}

static void
read_to_end(int fd)
{
    char buffer[HEAD_BYTES_MAX];

    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
}

/* Returns whether the connection stays open. */
static bool
end_connection(int fd, ScriptedEnd end)
{
    static const struct linger at_once = {.l_onoff = 1};

    switch (end) {
    case SCRIPTED_END_NONE:
        return true;
    case SCRIPTED_END_CLOSE:
        break;
    case SCRIPTED_END_HALF_CLOSE:
        shutdown(fd, SHUT_WR);
        read_to_end(fd);
        break;
    case SCRIPTED_END_HALF_CLOSE_RESET:
        shutdown(fd, SHUT_WR);
        /* fall through */
    case SCRIPTED_END_RESET:
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        break;
    }
    return false;
}

/* Returns whether the connection stays open. */
static bool
reply(ScriptedUpstream *this, int fd, bool reused)
{
    unsigned n = (unsigned)g_atomic_int_add(&this->requests, 1);
    const ScriptedReply *script =
        &this->replies[MIN(n, this->reply_count - 1)];

    if (script->held) {
        g_atomic_int_set(&this->held, 1);
        while (g_atomic_int_get(&this->held) != 0) {
            g_usleep(HELD_POLL_US);
        }
    }
    if (script->copy != NULL && reused) {
        write_text(fd, script->copy);
        g_usleep(RESPONSE_DELAY_US);
    }
    write_text(fd, script->response);
    g_usleep(script->end_delay_us);
    return end_connection(fd, script->end);
}

static bool
respond(ScriptedUpstream *this, int fd, const char *head, bool reused)
{
    if (this->probe_response != NULL &&
        g_str_has_prefix(head, "GET /health ")) {
        write_text(fd, this->probe_response);
        return true;
    }
    return reply(this, fd, reused);
}

static gpointer
serve_connection(gpointer data)
{
    Served *served = data;
    char head[HEAD_BYTES_MAX];
    bool reused = false, open = true;

    while (open && read_head(served->fd, head)) {
        open = respond(served->owner, served->fd, head, reused);
        reused = true;
    }
    close(served->fd);
    g_atomic_int_add(&served->owner->open, -1);
    g_free(served);
    return NULL;
}

static gpointer
accept_connections(gpointer data)
{
    ScriptedUpstream *this = data;
    int fd;

    while ((fd = accept(this->listen_fd, NULL, NULL)) >= 0) {
        Served *served = g_new0(Served, 1);

        served->owner = this;
        served->fd = fd;
        g_atomic_int_inc(&this->open);
        g_thread_unref(g_thread_new("connection", serve_connection, served));
    }
    return NULL;
}

static void
listen_on_loopback(ScriptedUpstream *this)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };
    socklen_t length = sizeof(address);

    this->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(this->listen_fd, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(this->listen_fd, 64), ==, 0);
    getsockname(this->listen_fd, (struct sockaddr *)&address, &length);
    this->port = ntohs(address.sin_port);
}

ScriptedUpstream *
ScriptedUpstream_Create(const ScriptedReply *replies, unsigned reply_count)
{
    ScriptedUpstream *this = g_new0(ScriptedUpstream, 1);

    this->replies = replies;
    this->reply_count = reply_count;
    listen_on_loopback(this);
    this->thread = g_thread_new("upstream", accept_connections, this);
    return this;
}

void
ScriptedUpstream_SetProbeResponse(ScriptedUpstream *this, const char *response)
{
    this->probe_response = response;
}

void
ScriptedUpstream_Destroy(ScriptedUpstream *this)
{
    shutdown(this->listen_fd, SHUT_RDWR);
    g_thread_join(this->thread);
    while (g_atomic_int_get(&this->open) > 0) {
        g_usleep(MICROS_PER_MS);
    }
    close(this->listen_fd);
    g_free(this);
}

uint16_t
ScriptedUpstream_Port(const ScriptedUpstream *this)
{
    return this->port;
}

bool
ScriptedUpstream_IsHeld(const ScriptedUpstream *this)
{
    return g_atomic_int_get(&this->held) != 0;
}

void
ScriptedUpstream_Release(ScriptedUpstream *this)
{
    g_atomic_int_set(&this->held, 0);
}

unsigned
ScriptedUpstream_Requests(const ScriptedUpstream *this)
{
    return (unsigned)g_atomic_int_get(&this->requests);
}

unsigned
ScriptedUpstream_Connections(const ScriptedUpstream *this)
{
    return (unsigned)g_atomic_int_get(&this->open);
}
