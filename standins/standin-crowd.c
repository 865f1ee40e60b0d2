#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Clock.h"
#include "Settings.h"

/* Opens many connections to one host, sends the same message on each, and keeps
 * them open. Prints settled=1 once no connection makes progress any more. */

#define UNIT_BYTES 65536
#define SMALL_CHUNKS 8192
#define PIPELINED_REQUESTS 800
#define READ_BYTES 4096
#define POLL_MS 50
#define SETTLE_TIME_US (1 * MICROS_PER_S)
/* With connections that are opened again there is always progress. */
#define RECONNECT_SETTLE_TIME_US (4 * MICROS_PER_S)
#define RECONNECT_PAUSE_US (1 * MICROS_PER_S)
#define DESCRIPTORS_MAX 4096
/* Length that is announced, in relation to the bytes that are sent. */
#define ANNOUNCED_FACTOR 100

typedef struct Options_ {
    char *target;
    char *kind;
    int64_t connections;
    int64_t bytes;
    int64_t seconds;
    int64_t reconnect;
    int64_t wait;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting OPTIONS[] = {
    {"target", SETTING_TEXT, FIELD(target), false, "ADDRESS:PORT of the host"},
    {"kind", SETTING_TEXT, FIELD(kind), false,
     "get, idle, head, fields, whole, whole-chunks, unfinished, announced, "
     "chunks, small-chunks, trailers, extensions or pipelined"},
    {"connections", SETTING_INT, FIELD(connections), false, "number of them"},
    {"bytes", SETTING_INT, FIELD(bytes), false,
     "bytes of content for each connection"},
    {"seconds", SETTING_INT, FIELD(seconds), false,
     "time over which they are sent, 0 for no limit on the rate"},
    {"reconnect", SETTING_INT, FIELD(reconnect), false,
     "1 to open a connection again that the host has closed"},
    {"wait", SETTING_INT, FIELD(wait), false,
     "1 to end when all connections are answered or closed; the exit code is "
     "0 if all statuses are 200"},
};

/* What each connection sends: head, unit as often as units says, tail. */
typedef struct Message_ {
    GString *head;
    GString *unit;
    GString *tail;
    uint64_t units;
} Message;

typedef struct Connection_ {
    int fd; /* -1 if it is closed */
    Micros started_at;
    Micros closed_at;
    uint64_t sent;
    int status; /* 0 until the first response */
} Connection;

typedef struct Crowd_ {
    Options options;
    Clock *clock;
    struct sockaddr_in address;
    Message message;
    Connection *connections;
    struct pollfd *polls;
    Micros started_at;
    Micros progress_at;
    bool settled;
} Crowd;

static void
fill_body(Message *this, uint64_t bytes)
{
    g_string_set_size(this->unit, UNIT_BYTES);
    memset(this->unit->str, 'x', UNIT_BYTES);
    this->units = bytes / UNIT_BYTES;
    g_string_append_len(this->tail, this->unit->str,
                        (gssize)(bytes % UNIT_BYTES));
}

static void
fill_chunks(Message *this, uint64_t bytes)
{
    fill_body(this, UNIT_BYTES);
    g_string_prepend(this->unit, "10000\r\n");
    g_string_append(this->unit, "\r\n");
    this->units = bytes / UNIT_BYTES;
}

static void
begin_post(Message *this, const char *framing, uint64_t length)
{
    g_string_append(this->head, "POST /once/crowd HTTP/1.1\r\n"
                                "Host: gateway.example\r\n"
                                "Agatecrank-Attempt-Id: crowd\r\n");
    g_string_append(this->head, framing);
    if (length > 0) {
        g_string_append_printf(this->head, "%" G_GUINT64_FORMAT, length);
    }
    g_string_append(this->head, "\r\n\r\n");
}

static void
repeat(GString *text, const char *part, uint64_t count)
{
    for (uint64_t i = 0; i < count; i++) {
        g_string_append(text, part);
    }
}

static bool
build_chunked(Message *this, const char *kind, uint64_t bytes)
{
    begin_post(this, "Transfer-Encoding: chunked", 0);
    if (strcmp(kind, "chunks") == 0) {
        fill_chunks(this, bytes);
    }
    else if (strcmp(kind, "whole-chunks") == 0) {
        fill_chunks(this, bytes);
        g_string_append(this->tail, "0\r\n\r\n");
    }
    else if (strcmp(kind, "small-chunks") == 0) {
        repeat(this->unit, "1\r\nx\r\n", SMALL_CHUNKS);
        this->units = bytes / SMALL_CHUNKS;
    }
    else if (strcmp(kind, "trailers") == 0) {
        g_string_append(this->head, "0\r\n");
        repeat(this->unit, "a:\r\n", UNIT_BYTES / 4);
        this->units = bytes / UNIT_BYTES;
    }
    else if (strcmp(kind, "extensions") == 0) {
        g_string_append(this->head, "1;");
        fill_body(this, bytes);
    }
    else {
        return false;
    }
    return true;
}

static bool
build_message(Message *this, const char *kind, uint64_t bytes)
{
    this->head = g_string_new(NULL);
    this->unit = g_string_new(NULL);
    this->tail = g_string_new(NULL);
    if (strcmp(kind, "idle") == 0) {
        return true;
    }
    if (strcmp(kind, "get") == 0) {
        g_string_append(this->head, "GET /safe/ordinary HTTP/1.1\r\n"
                                    "Host: gateway.example\r\n"
                                    "Agatecrank-Attempt-Id: ordinary\r\n\r\n");
    }
    else if (strcmp(kind, "head") == 0) {
        g_string_append(this->head, "GET /safe/head HTTP/1.1\r\nX-Fill: ");
        fill_body(this, bytes);
    }
    else if (strcmp(kind, "fields") == 0) {
        g_string_append(this->head, "POST /once/crowd HTTP/1.1\r\n");
        repeat(this->head, "a:\r\n", bytes / 4);
        g_string_append(this->head, "Host: gateway.example\r\n"
                                    "Agatecrank-Attempt-Id: crowd\r\n"
                                    "Content-Length: 2\r\n\r\nx");
    }
    else if (strcmp(kind, "pipelined") == 0) {
        repeat(this->unit,
               "GET /safe/crowd HTTP/1.1\r\nHost: gateway.example\r\n"
               "Agatecrank-Attempt-Id: crowd\r\n\r\n",
               PIPELINED_REQUESTS);
        this->units = bytes / this->unit->len + 1;
    }
    else if (strcmp(kind, "whole") == 0) {
        begin_post(this, "Content-Length: ", bytes);
        fill_body(this, bytes);
    }
    else if (strcmp(kind, "unfinished") == 0) {
        begin_post(this, "Content-Length: ", bytes);
        fill_body(this, bytes - 1);
    }
    else if (strcmp(kind, "announced") == 0) {
        begin_post(this, "Content-Length: ", ANNOUNCED_FACTOR * bytes);
        fill_body(this, bytes);
    }
    else {
        return build_chunked(this, kind, bytes);
    }
    return true;
}

static Str
next_part(const Message *this, uint64_t sent)
{
    uint64_t body = this->units * this->unit->len, offset;
    const GString *part = this->tail;

    if (sent < this->head->len) {
        return (Str){this->head->str + sent, this->head->len - sent};
    }
    offset = sent - this->head->len;
    if (offset < body) {
        part = this->unit;
        offset %= this->unit->len;
    }
    else {
        offset -= body;
    }
    return (Str){part->str + offset, part->len - offset};
}

/* Bytes that may have been sent by now. */
static uint64_t
allowed_bytes(const Crowd *this, const Connection *connection)
{
    const Message *message = &this->message;
    uint64_t total = message->head->len + message->units * message->unit->len +
                     message->tail->len;
    Micros time = this->options.seconds * MICROS_PER_S;
    Micros passed = Clock_Now(this->clock) - connection->started_at;

    return time > passed
               ? (uint64_t)((double)total * (double)passed / (double)time)
               : total;
}

static void
note_progress(Crowd *this)
{
    this->progress_at = Clock_Now(this->clock);
}

static void
open_connection(Crowd *this, Connection *connection)
{
    connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    connection->sent = 0;
    connection->started_at = Clock_Now(this->clock);
    if (connection->fd >= 0 &&
        connect(connection->fd, (struct sockaddr *)&this->address,
                sizeof(this->address)) < 0 &&
        errno != EINPROGRESS) {
        close(connection->fd);
        connection->fd = -1;
    }
    connection->closed_at = connection->started_at;
}

static void
close_connection(Crowd *this, Connection *connection)
{
    close(connection->fd);
    connection->fd = -1;
    connection->closed_at = Clock_Now(this->clock);
    note_progress(this);
}

static void
send_more(Crowd *this, Connection *connection)
{
    uint64_t allowed = allowed_bytes(this, connection);

    while (connection->sent < allowed) {
        Str part = next_part(&this->message, connection->sent);
        ssize_t n =
            send(connection->fd, part.data,
                 MIN(part.length, allowed - connection->sent), MSG_NOSIGNAL);

        if (n <= 0) {
            return;
        }
        connection->sent += (uint64_t)n;
        note_progress(this);
    }
}

static void
receive(Crowd *this, Connection *connection)
{
    char data[READ_BYTES + 1];
    ssize_t n = recv(connection->fd, data, READ_BYTES, 0);

    if (n < 0 && errno == EAGAIN) {
        return;
    }
    if (n <= 0) {
        close_connection(this, connection);
        return;
    }
    data[n] = '\0';
    if (connection->status == 0) {
        sscanf(data, "HTTP/1.1 %d", &connection->status);
    }
}

static bool
is_finished(const Crowd *this)
{
    for (int64_t i = 0; i < this->options.connections; i++) {
        const Connection *connection = &this->connections[i];

        if (connection->fd >= 0 && connection->status == 0) {
            return false;
        }
    }
    return true;
}

static void
run_turn(Crowd *this)
{
    int64_t count = this->options.connections;

    for (int64_t i = 0; i < count; i++) {
        Connection *connection = &this->connections[i];

        if (connection->fd < 0 && this->options.reconnect != 0 &&
            Clock_Now(this->clock) - connection->closed_at >
                RECONNECT_PAUSE_US) {
            open_connection(this, connection);
        }
        this->polls[i].fd = connection->fd;
        this->polls[i].events = POLLIN;
        if (connection->sent < allowed_bytes(this, connection)) {
            this->polls[i].events |= POLLOUT;
        }
    }
    poll(this->polls, (nfds_t)count, POLL_MS);
    for (int64_t i = 0; i < count; i++) {
        Connection *connection = &this->connections[i];

        if (connection->fd >= 0 && (this->polls[i].revents & POLLOUT) != 0) {
            send_more(this, connection);
        }
        if (connection->fd >= 0 &&
            (this->polls[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
            receive(this, connection);
        }
    }
}

static void
print_counts(const Crowd *this)
{
    uint64_t bytes = 0;
    int open = 0, answered = 0, refused = 0;

    for (int64_t i = 0; i < this->options.connections; i++) {
        const Connection *connection = &this->connections[i];

        bytes += connection->sent;
        open += connection->fd >= 0;
        answered += connection->status == 200;
        refused += connection->status > 200;
    }
    printf("open=%d\nanswered=%d\nrefused=%d\nbytes=%" G_GUINT64_FORMAT "\n",
           open, answered, refused, bytes);
}

static void
check_settled(Crowd *this)
{
    Micros now = Clock_Now(this->clock);
    bool settled = this->options.reconnect != 0
                       ? now - this->started_at > RECONNECT_SETTLE_TIME_US
                       : now - this->progress_at > SETTLE_TIME_US;

    if (settled && !this->settled) {
        this->settled = true;
        print_counts(this);
        printf("settled=1\n");
        fflush(stdout);
    }
}

static int
run_crowd(Crowd *this)
{
    for (int64_t i = 0; i < this->options.connections; i++) {
        open_connection(this, &this->connections[i]);
    }
    this->started_at = Clock_Now(this->clock);
    note_progress(this);
    while (this->options.wait == 0 || !is_finished(this)) {
        run_turn(this);
        check_settled(this);
    }
    print_counts(this);
    for (int64_t i = 0; i < this->options.connections; i++) {
        if (this->connections[i].status != 200) {
            return 1;
        }
    }
    return 0;
}

static bool
parse_target(Crowd *this)
{
    g_auto(GStrv) parts = g_strsplit(this->options.target, ":", 2);

    if (parts[0] == NULL || parts[1] == NULL) {
        return false;
    }
    this->address.sin_family = AF_INET;
    this->address.sin_port = htons((uint16_t)atoi(parts[1]));
    return inet_pton(AF_INET, parts[0], &this->address.sin_addr) == 1;
}

int
main(int argc, char **argv)
{
    Crowd crowd = {.options = {.target = NULL, .connections = 1}};
    struct rlimit limit = {DESCRIPTORS_MAX, DESCRIPTORS_MAX};
    Options *options = &crowd.options;
    int code =
        Settings_Parse(OPTIONS, G_N_ELEMENTS(OPTIONS), options, argc, argv);

    if (code != 0) {
        return code < 0 ? 2 : 0;
    }
    if (!parse_target(&crowd) || options->connections < 1 ||
        !build_message(&crowd.message, options->kind,
                       (uint64_t)options->bytes)) {
        fprintf(stderr, "invalid target, connections or kind\n");
        return 2;
    }
    setrlimit(RLIMIT_NOFILE, &limit);
    crowd.clock = Clock_CreateSystem();
    crowd.connections = g_new0(Connection, options->connections);
    crowd.polls = g_new0(struct pollfd, options->connections);
    code = run_crowd(&crowd);
    g_free(crowd.polls);
    g_free(crowd.connections);
    g_string_free(crowd.message.head, TRUE);
    g_string_free(crowd.message.unit, TRUE);
    g_string_free(crowd.message.tail, TRUE);
    Clock_Destroy(crowd.clock);
    Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), options);
    return code;
}
