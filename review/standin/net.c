#define _GNU_SOURCE
#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

double
now_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct sockaddr_in
socket_address(const char *address, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, address, &a.sin_addr);
    return a;
}

int
listen_on(const char *address, int port)
{
    struct sockaddr_in a = socket_address(address, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
        listen(fd, 1024) < 0) {
        fprintf(stderr, "cannot listen on %s:%d: %s\n", address, port,
                strerror(errno));
        exit(2);
    }
    return fd;
}

int
connect_to(const char *address, int port, double timeout_s)
{
    struct sockaddr_in a = socket_address(address, port);
    struct timeval t = {(time_t)timeout_s,
                        (suseconds_t)((timeout_s - (time_t)timeout_s) * 1e6)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
send_all(int fd, const void *data, size_t length)
{
    const char *at = data;

    while (length > 0) {
        ssize_t n = send(fd, at, length, MSG_NOSIGNAL);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        at += n;
        length -= (size_t)n;
    }
    return true;
}

bool
send_text(int fd, const char *format, ...)
{
    char text[8192];
    va_list arguments;
    int n;

    va_start(arguments, format);
    n = vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    return send_all(fd, text, (size_t)n);
}

static bool
fill(Stream *stream)
{
    ssize_t n;

    if (stream->start == stream->end) {
        stream->start = stream->end = 0;
    }
    do {
        n = recv(stream->fd, stream->data + stream->end,
                 sizeof(stream->data) - stream->end, 0);
    } while (n < 0 && errno == EINTR);
    if (n <= 0) {
        return false;
    }
    stream->end += (size_t)n;
    return true;
}

static bool
read_head(Stream *stream, Message *message)
{
    size_t n = 0;

    for (;;) {
        if (stream->start == stream->end && !fill(stream)) {
            return false;
        }
        if (n + 1 >= sizeof(message->head)) {
            return false;
        }
        message->head[n++] = stream->data[stream->start++];
        message->head[n] = '\0';
        if (n >= 4 && memcmp(message->head + n - 4, "\r\n\r\n", 4) == 0) {
            return true;
        }
    }
}

static void
read_body(Stream *stream, Message *message, size_t wanted)
{
    size_t capacity = wanted < 1048576 ? wanted : 1048576;

    message->body = malloc(capacity + 1);
    while (message->length < wanted) {
        size_t n;

        if (stream->start == stream->end && !fill(stream)) {
            break;
        }
        n = stream->end - stream->start;
        n = n < wanted - message->length ? n : wanted - message->length;
        if (message->length + n > capacity) {
            capacity = (message->length + n) * 2;
            message->body = realloc(message->body, capacity + 1);
        }
        memcpy(message->body + message->length, stream->data + stream->start,
               n);
        message->length += n;
        stream->start += n;
    }
    message->body[message->length] = '\0';
}

bool
read_head_only(Stream *stream, Message *message)
{
    memset(message, 0, offsetof(Message, complete) + sizeof(bool));
    return read_head(stream, message);
}

bool
read_message(Stream *stream, Message *message, bool is_response)
{
    char text[32];
    size_t wanted;

    memset(message, 0, offsetof(Message, complete) + sizeof(bool));
    if (!read_head(stream, message)) {
        return false;
    }
    field(message, "content-length", text, sizeof(text));
    wanted = text[0] != '\0' ? strtoull(text, NULL, 10)
             : is_response   ? SIZE_MAX / 4
                             : 0;
    read_body(stream, message, wanted);
    message->complete = text[0] == '\0' || message->length == wanted;
    return true;
}

void
release_message(Message *message)
{
    free(message->body);
    message->body = NULL;
}

const char *
field(const Message *message, const char *name, char *buffer, size_t size)
{
    size_t length = strlen(name);
    const char *line = strstr(message->head, "\r\n");

    buffer[0] = '\0';
    while (line != NULL && line[2] != '\r') {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            size_t n;

            value += strspn(value, " \t");
            n = strcspn(value, "\r");
            n = n < size - 1 ? n : size - 1;
            memcpy(buffer, value, n);
            buffer[n] = '\0';
            return buffer;
        }
        line = strstr(line, "\r\n");
    }
    return buffer;
}

const char *
query(const Message *message, const char *name, char *buffer, size_t size)
{
    const char *end = strstr(message->head, " HTTP/");
    const char *at = strchr(message->head, '?');
    size_t length = strlen(name);

    buffer[0] = '\0';
    while (at != NULL && at < end) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            size_t n = strcspn(at + length + 1, "& ");

            n = n < size - 1 ? n : size - 1;
            memcpy(buffer, at + length + 1, n);
            buffer[n] = '\0';
            return buffer;
        }
        at = strchr(at, '&');
    }
    return buffer;
}

void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        fprintf(stderr, "cannot start a thread\n");
        exit(2);
    }
    pthread_attr_destroy(&attributes);
}
