#include "Timer.h"

#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

struct TimerQueue_ {
    struct lws_protocols protocols[2];
    GTree *timers; /* set of Timer, sorted by due time */
    uint64_t next_sequence;
    int fd;
};

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer user)
{
    const Timer *x = a;
    const Timer *y = b;

    (void)user;
    if (x->due != y->due) {
        return x->due < y->due ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static Timer *
first_timer(const TimerQueue *this)
{
    GTreeNode *node = g_tree_node_first(this->timers);

    return node != NULL ? g_tree_node_key(node) : NULL;
}

/* Adds 1 ns because a time of zero would disarm the timerfd. */
static void
arm_timerfd(const TimerQueue *this)
{
    const Timer *next = first_timer(this);
    struct itimerspec at = {0};

    if (next != NULL) {
        at.it_value.tv_sec = next->due / MICROS_PER_S;
        at.it_value.tv_nsec = (next->due % MICROS_PER_S) * 1000 + 1;
    }
    timerfd_settime(this->fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
run_due_timers(TimerQueue *this)
{
    Micros now = g_get_monotonic_time();
    uint64_t expirations;
    Timer *timer;

    if (read(this->fd, &expirations, sizeof(expirations)) < 0) {
        return;
    }
    while ((timer = first_timer(this)) != NULL && timer->due <= now) {
        g_tree_remove(this->timers, timer);
        timer->queue = NULL;
        timer->callback(timer);
    }
    arm_timerfd(this);
}

static int
on_lws_event(struct lws *wsi, enum lws_callback_reasons reason, void *session,
             void *in, size_t length)
{
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        run_due_timers(lws_vhost_user(lws_get_vhost(wsi)));
    }
    return 0;
}

TimerQueue *
TimerQueue_Create(struct lws_context *context)
{
    TimerQueue *this = g_new0(TimerQueue, 1);
    struct lws_context_creation_info info;
    struct lws_vhost *vhost;
    lws_sock_file_fd_type fd;

    this->timers = g_tree_new_full(compare_timers, NULL, NULL, NULL);
    this->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    this->protocols[0].name = "timer";
    this->protocols[0].callback = on_lws_event;
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = "timer";
    info.protocols = this->protocols;
    info.user = this;
    vhost = lws_create_vhost(context, &info);
    fd.filefd = this->fd;
    lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, fd,
                               this->protocols[0].name, NULL);
    return this;
}

void
TimerQueue_Destroy(TimerQueue *this)
{
    if (this != NULL) {
        g_tree_destroy(this->timers);
        g_free(this);
    }
}

void
Timer_Start(Timer *this, TimerQueue *queue, Micros delay,
            void (*callback)(Timer *timer))
{
    Timer_Stop(this);
    this->queue = queue;
    this->due = g_get_monotonic_time() + MAX(delay, 0);
    this->sequence = queue->next_sequence++;
    this->callback = callback;
    g_tree_insert(queue->timers, this, this);
    if (first_timer(queue) == this) {
        arm_timerfd(queue);
    }
}

/* Leaves the timerfd armed: a wakeup without due timers is harmless. */
void
Timer_Stop(Timer *this)
{
    if (this->queue != NULL) {
        g_tree_remove(this->queue->timers, this);
        this->queue = NULL;
    }
}
