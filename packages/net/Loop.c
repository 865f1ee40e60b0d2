#include "Loop.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <libwebsockets.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* libwebsockets allocates header tables on demand, one for each open
 * request. */
#define HEADER_POOL_COUNT 8192
#define HEADER_BYTES 8192
#define SERVICE_BUFFER_BYTES 32768
#define CLOSING_ITERATIONS 12
#define CLOSING_ITERATION_US 1000
/* Request deadlines use LoopTimer; the timeout of libwebsockets is a
 * safeguard. */
#define LIBRARY_TIMEOUT_S 3600

struct Loop_ {
    struct ev_loop *events;
    struct lws_context *context;
    struct lws_vhost *vhost;
    const Clock *clock;
    EventLog *log;
    LoopSignalHandler *signal_handler;
    void *signal_user;
    GHashTable *ios; /* set of LoopIo */
    struct ev_prepare prepare;
    GQueue *tasks; /* of LoopTask, in scheduling order */
    uint64_t iterations;
    int signal_fd;
    bool stopped;
    bool closing;
};

struct LoopIo_ {
    struct ev_io event;
    Loop *loop;
    LoopIoHandler *handler;
    void *user;
};

struct LoopTask_ {
    Loop *loop;
    LoopHandler *handler;
    void *user;
    bool scheduled;
};

struct LoopTimer_ {
    struct ev_timer event;
    Loop *loop;
    LoopHandler *handler;
    void *user;
};

typedef struct DescriptorWatch_ {
    Loop *loop;
    LoopHandler *handler;
    void *user;
} DescriptorWatch;

static EventLog *library_log;

static void
log_library_line(int level, const char *line)
{
    Str text = Str_FromC(line);

    while (text.length > 0 && text.data[text.length - 1] == '\n') {
        text.length--;
    }
    if (EventLog_Begin(library_log, LOG_LEVEL_WARN, "library")) {
        EventLog_Str(library_log, "text", text);
        EventLog_End(library_log);
    }
}

static int
watch_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
               void *in, size_t length)
{
    DescriptorWatch *watch =
        wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;

    if (reason == LWS_CALLBACK_RAW_RX_FILE && watch != NULL &&
        !watch->loop->closing) {
        watch->handler(watch->user);
    }
    if (reason == LWS_CALLBACK_RAW_CLOSE_FILE && watch != NULL) {
        lws_set_opaque_user_data(wsi, NULL);
        g_free(watch);
    }
    return 0;
}

static const struct lws_protocols watch_protocols[] = {
    {"watch", watch_callback, 0, 0, 0, NULL, 0},
    {NULL, NULL, 0, 0, 0, NULL, 0},
};

static unsigned
raise_descriptor_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 1024;
    }
    limit.rlim_cur = limit.rlim_max < 65536 ? limit.rlim_max : 65536;
    setrlimit(RLIMIT_NOFILE, &limit);
    return (unsigned)limit.rlim_cur;
}

static void
run_tasks(struct ev_loop *events, struct ev_prepare *event, int revents)
{
    Loop *this = event->data;
    LoopTask *task;

    while ((task = g_queue_pop_head(this->tasks)) != NULL) {
        task->scheduled = false;
        task->handler(task->user);
    }
}

Loop *
Loop_Create(const Clock *clock, EventLog *log, Error *error)
{
    struct lws_context_creation_info info = {0};
    Loop *this = g_new0(Loop, 1);
    void *loop;

    this->clock = clock;
    this->log = log;
    this->signal_fd = -1;
    this->ios = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->tasks = g_queue_new();
    library_log = log;
    lws_set_log_level(LLL_ERR, log_library_line);
    /* The poll loop of libwebsockets rounds timers down to milliseconds and
     * spins for the rest, and its cost grows with the number of open
     * connections. */
    this->events = ev_loop_new(EVBACKEND_EPOLL);
    loop = this->events;
    info.foreign_loops = &loop;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                   LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_LIBEV;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.max_http_header_pool2 = HEADER_POOL_COUNT;
    info.max_http_header_data2 = HEADER_BYTES;
    info.pt_serv_buf_size = SERVICE_BUFFER_BYTES;
    info.timeout_secs = LIBRARY_TIMEOUT_S;
    info.fd_limit_per_thread = raise_descriptor_limit();
    this->context = lws_create_context(&info);
    if (this->context == NULL) {
        Error_Set(error, ERR_IO, "loop-create", STR(""),
                  "libwebsockets could not create its context");
        g_hash_table_destroy(this->ios);
        g_queue_free(this->tasks);
        g_free(this);
        return NULL;
    }
    info.protocols = watch_protocols;
    info.vhost_name = "watch";
    this->vhost = lws_create_vhost(this->context, &info);
    ev_prepare_init(&this->prepare, run_tasks);
    this->prepare.data = this;
    ev_prepare_start(this->events, &this->prepare);
    return this;
}

/* libwebsockets frees a connection object, whose socket was passed on to the
 * next request, in a timer, and leaks it if the context is destroyed first.
 * With libev these timers run in the first iteration without events after an
 * event of libwebsockets itself. */
static void
free_detached_connections(Loop *this)
{
    for (int i = 0; i < CLOSING_ITERATIONS; i++) {
        if (i % 3 == 0) {
            lws_cancel_service(this->context);
        }
        ev_run(this->events, EVRUN_NOWAIT);
        g_usleep(CLOSING_ITERATION_US);
    }
}

LoopTask *
LoopTask_Create(Loop *loop, LoopHandler *handler, void *user)
{
    LoopTask *this = g_new0(LoopTask, 1);

    this->loop = loop;
    this->handler = handler;
    this->user = user;
    return this;
}

void
LoopTask_Schedule(LoopTask *this)
{
    if (!this->scheduled && !this->loop->closing) {
        this->scheduled = true;
        g_queue_push_tail(this->loop->tasks, this);
    }
}

void
LoopTask_Destroy(LoopTask *this)
{
    if (this == NULL) {
        return;
    }
    if (this->scheduled) {
        g_queue_remove(this->loop->tasks, this);
    }
    g_free(this);
}

static void
close_ios(Loop *this)
{
    GList *ios = g_hash_table_get_keys(this->ios);

    for (GList *item = ios; item != NULL; item = item->next) {
        LoopIo *io = item->data;

        /* A handler may have destroyed other LoopIo objects. */
        if (g_hash_table_contains(this->ios, io)) {
            io->handler(io->user, LOOP_IO_CLOSING);
        }
    }
    g_list_free(ios);
}

void
Loop_Close(Loop *this)
{
    if (this->closing) {
        return;
    }
    this->closing = true;
    close_ios(this);
    ev_prepare_stop(this->events, &this->prepare);
    free_detached_connections(this);
    lws_context_destroy(this->context);
    ev_loop_destroy(this->events);
    this->events = NULL;
    library_log = NULL;
}

bool
Loop_IsClosing(const Loop *this)
{
    return this->closing;
}

void
Loop_Destroy(Loop *this)
{
    if (this == NULL) {
        return;
    }
    Loop_Close(this);
    g_hash_table_destroy(this->ios);
    g_queue_free(this->tasks);
    g_free(this);
}

void
Loop_RunOnce(Loop *this)
{
    ev_run(this->events, EVRUN_ONCE);
    this->iterations++;
}

void
Loop_Run(Loop *this)
{
    this->stopped = false;
    while (!this->stopped) {
        Loop_RunOnce(this);
    }
}

void
Loop_Stop(Loop *this)
{
    this->stopped = true;
    ev_break(this->events, EVBREAK_ONE);
}

uint64_t
Loop_Iterations(const Loop *this)
{
    return this->iterations;
}

EventLog *
Loop_Log(const Loop *this)
{
    return this->log;
}

const Clock *
Loop_Clock(const Loop *this)
{
    return this->clock;
}

int
Loop_Watch(Loop *this, int fd, LoopHandler *handler, void *user, Error *error)
{
    lws_sock_file_fd_type descriptor = {.filefd = fd};
    DescriptorWatch *watch = g_new0(DescriptorWatch, 1);
    struct lws *wsi;

    watch->loop = this;
    watch->handler = handler;
    watch->user = user;
    wsi = lws_adopt_descriptor_vhost(this->vhost, LWS_ADOPT_RAW_FILE_DESC,
                                     descriptor, "watch", NULL);
    if (wsi == NULL) {
        g_free(watch);
        return Error_Set(error, ERR_IO, "loop-watch", STR(""),
                         "could not add descriptor %d to the loop", fd);
    }
    lws_set_opaque_user_data(wsi, watch);
    return 0;
}

static void
io_ready(struct ev_loop *events, struct ev_io *event, int revents)
{
    LoopIo *this = event->data;
    unsigned ready = 0;

    ready |= (revents & EV_READ) != 0 ? LOOP_IO_READ : 0;
    ready |= (revents & EV_WRITE) != 0 ? LOOP_IO_WRITE : 0;
    if (!this->loop->closing && ready != 0) {
        this->handler(this->user, ready);
    }
}

LoopIo *
LoopIo_Create(Loop *loop, int fd, LoopIoHandler *handler, void *user)
{
    LoopIo *this = g_new0(LoopIo, 1);

    this->loop = loop;
    this->handler = handler;
    this->user = user;
    ev_io_init(&this->event, io_ready, fd, 0);
    this->event.data = this;
    g_hash_table_add(loop->ios, this);
    return this;
}

void
LoopIo_SetEvents(LoopIo *this, unsigned events)
{
    struct ev_loop *loop = this->loop->events;
    int ev_events = 0;

    ev_events |= (events & LOOP_IO_READ) != 0 ? EV_READ : 0;
    ev_events |= (events & LOOP_IO_WRITE) != 0 ? EV_WRITE : 0;
    if (this->loop->closing ||
        (ev_is_active(&this->event) && this->event.events == ev_events)) {
        return;
    }
    ev_io_stop(loop, &this->event);
    ev_io_set(&this->event, this->event.fd, ev_events);
    if (ev_events != 0) {
        ev_io_start(loop, &this->event);
    }
}

void
LoopIo_Destroy(LoopIo *this)
{
    if (this == NULL) {
        return;
    }
    if (this->loop->events != NULL) {
        ev_io_stop(this->loop->events, &this->event);
    }
    g_hash_table_remove(this->loop->ios, this);
    g_free(this);
}

static void
read_signal(void *user)
{
    Loop *this = user;
    struct signalfd_siginfo info;

    if (read(this->signal_fd, &info, sizeof(info)) == sizeof(info)) {
        this->signal_handler(this->signal_user, (int)info.ssi_signo);
    }
}

int
Loop_WatchSignals(Loop *this, LoopSignalHandler *handler, void *user,
                  Error *error)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, NULL);
    this->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (this->signal_fd < 0) {
        return Error_Set(error, ERR_IO, "loop-signals", STR(""),
                         "cannot create a signal descriptor: %s",
                         strerror(errno));
    }
    this->signal_handler = handler;
    this->signal_user = user;
    return Loop_Watch(this, this->signal_fd, read_signal, this, error);
}

static void
timer_fired(struct ev_loop *events, struct ev_timer *event, int revents)
{
    LoopTimer *this = event->data;

    if (!this->loop->closing) {
        this->handler(this->user);
    }
}

LoopTimer *
LoopTimer_Create(Loop *loop, LoopHandler *handler, void *user)
{
    LoopTimer *this = g_new0(LoopTimer, 1);

    this->loop = loop;
    this->handler = handler;
    this->user = user;
    ev_init(&this->event, timer_fired);
    /* I/O events of the same iteration run first: what has arrived in time
     * counts, also if the process was too busy to read it. */
    ev_set_priority(&this->event, EV_MINPRI);
    this->event.data = this;
    return this;
}

/* libev timers are used directly. Those of libwebsockets run, with libev, only
 * in an iteration without any event: never on a busy host or while a readable
 * descriptor is not read. */
void
LoopTimer_Start(LoopTimer *this, Micros delay)
{
    struct ev_loop *events = this->loop->events;

    if (this->loop->closing) {
        return;
    }
    ev_timer_stop(events, &this->event);
    /* libev measures the delay from the start of the iteration. The time since
     * then cannot be added to it: ev_time() is the wall clock, which may
     * jump. */
    ev_now_update(events);
    ev_timer_set(&this->event, (double)(delay > 0 ? delay : 1) / MICROS_PER_S,
                 0.);
    ev_timer_start(events, &this->event);
}

void
LoopTimer_Stop(LoopTimer *this)
{
    /* Also while the loop closes, as it still runs iterations then. */
    if (this->loop->events != NULL) {
        ev_timer_stop(this->loop->events, &this->event);
    }
}

void
LoopTimer_Destroy(LoopTimer *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Stop(this);
    g_free(this);
}
