#include "CloseWatch.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_TURN 64

struct CloseWatch_ {
    Loop *loop;
    CloseWatchHandler *handler;
    void *user;
    GHashTable *connections; /* descriptor to connection */
    int epoll_fd;
};

static void
take_event(CloseWatch *this, const struct epoll_event *event)
{
    int fd = event->data.fd;
    bool closed = (event->events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    void *connection =
        g_hash_table_lookup(this->connections, GINT_TO_POINTER(fd));

    /* A handler of the same turn may have ended this one. */
    if (connection == NULL) {
        return;
    }
    if (!closed) {
        CloseWatch_Start(this, fd, connection, false);
    }
    this->handler(this->user, connection, closed);
}

static void
read_events(void *user)
{
    CloseWatch *this = user;
    struct epoll_event events[EVENTS_PER_TURN];
    int n = epoll_wait(this->epoll_fd, events, EVENTS_PER_TURN, 0);

    for (int i = 0; i < n; i++) {
        take_event(this, &events[i]);
    }
}

CloseWatch *
CloseWatch_Create(Loop *loop, CloseWatchHandler *handler, void *user,
                  Error *error)
{
    CloseWatch *this = g_new0(CloseWatch, 1);

    this->loop = loop;
    this->handler = handler;
    this->user = user;
    this->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    /* libev has no event for a peer that has closed, so a set of our own is
     * nested in its set. */
    this->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (this->epoll_fd < 0) {
        Error_Set(error, ERR_IO, "close-watch", STR(""), "%s",
                  strerror(errno));
        CloseWatch_Destroy(this);
        return NULL;
    }
    if (Loop_Watch(loop, this->epoll_fd, read_events, this, error) < 0) {
        close(this->epoll_fd);
        CloseWatch_Destroy(this);
        return NULL;
    }
    return this;
}

void
CloseWatch_Destroy(CloseWatch *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->connections);
    g_free(this);
}

bool
CloseWatch_Start(CloseWatch *this, int fd, void *connection, bool writable)
{
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLONESHOT | (writable ? EPOLLOUT : 0U),
        .data.fd = fd,
    };

    g_hash_table_insert(this->connections, GINT_TO_POINTER(fd), connection);
    /* Most often it is a connection that was watched before. */
    if (epoll_ctl(this->epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0) {
        return true;
    }
    epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, fd, &event);
    return false;
}

void
CloseWatch_Stop(CloseWatch *this, int fd)
{
    g_hash_table_remove(this->connections, GINT_TO_POINTER(fd));
}
