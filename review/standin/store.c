#define _GNU_SOURCE
#include "store.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "net.h"

#define TOPICS_MAX 32
#define ANSWER_US 4000

typedef struct Record_ {
    char *data; /* length of the key in one byte, key, value */
    size_t length;
} Record;

typedef struct Topic_ {
    char name[80];
    Record *records;
    size_t count, capacity;
} Topic;

static Topic topics[TOPICS_MAX];
static size_t topic_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static unsigned era = 1;
static bool down;
static size_t copied[TOPICS_MAX]; /* records of each topic in the copy */

static Topic *
topic_of(const char *name)
{
    for (size_t i = 0; i < topic_count; i++) {
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    if (topic_count == TOPICS_MAX) {
        fprintf(stderr, "too many topics\n");
        exit(2);
    }
    snprintf(topics[topic_count].name, sizeof(topics[0].name), "%s", name);
    return &topics[topic_count++];
}

static void
append(Topic *topic, const char *data, size_t length)
{
    Record *record;

    if (topic->count == topic->capacity) {
        topic->capacity = topic->capacity * 2 + 16;
        topic->records =
            realloc(topic->records, topic->capacity * sizeof(Record));
    }
    record = &topic->records[topic->count++];
    record->data = malloc(length + 1);
    memcpy(record->data, data, length);
    record->length = length;
}

void
store_put(const char *topic, const char *key, const char *value)
{
    size_t k = strlen(key), v = strlen(value);
    char *data = malloc(1 + k + v);

    data[0] = (char)k;
    memcpy(data + 1, key, k);
    memcpy(data + 1 + k, value, v);
    pthread_mutex_lock(&lock);
    append(topic_of(topic), data, 1 + k + v);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    free(data);
}

static size_t
key_length(const Record *record)
{
    return record->length > 0 ? (unsigned char)record->data[0] : 0;
}

static bool
has_same_key(const Record *a, const Record *b)
{
    return key_length(a) == key_length(b) &&
           memcmp(a->data, b->data, 1 + key_length(a)) == 0;
}

/* Returns whether the record is the newest of its key, and has a value. */
static bool
is_newest(const Topic *topic, size_t i)
{
    const Record *record = &topic->records[i];

    if (record->length <= 1 + key_length(record)) {
        return false;
    }
    for (size_t k = i + 1; k < topic->count; k++) {
        if (has_same_key(record, &topic->records[k])) {
            return false;
        }
    }
    return true;
}

static void
write_base64(FILE *out, const char *data, size_t n)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";

    for (size_t i = 0; i < n; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)data[i] << 16;

        bits |= i + 1 < n ? (uint32_t)(unsigned char)data[i + 1] << 8 : 0;
        bits |= i + 2 < n ? (uint32_t)(unsigned char)data[i + 2] : 0;
        fputc(digits[bits >> 18 & 63], out);
        fputc(digits[bits >> 12 & 63], out);
        fputc(i + 1 < n ? digits[bits >> 6 & 63] : '=', out);
        fputc(i + 2 < n ? digits[bits & 63] : '=', out);
    }
}

static void
answer(int fd, int status, const char *type, const char *body, size_t length)
{
    send_text(fd,
              "HTTP/1.1 %d X\r\nContent-Type: %s\r\nStore-Era: %u\r\n"
              "Content-Length: %zu\r\n\r\n",
              status, type, era, length);
    send_all(fd, body, length);
}

static void
answer_json(int fd, int status, const char *text)
{
    answer(fd, status, "application/json", text, strlen(text));
}

/* One page holds all keys: a small deployment has fewer than 500. */
static void
log_newest(int fd, const char *name)
{
    char *text;
    size_t size;
    FILE *out = open_memstream(&text, &size);
    const Topic *topic;
    bool first = true;

    pthread_mutex_lock(&lock);
    topic = topic_of(name);
    fprintf(out, "{\"items\":[");
    for (size_t i = 0; i < topic->count; i++) {
        const Record *record = &topic->records[i];
        size_t k = key_length(record);

        if (is_newest(topic, i)) {
            fprintf(out, "%s{\"key\":\"%.*s\",\"value\":\"", first ? "" : ",",
                    (int)k, record->data + 1);
            write_base64(out, record->data + 1 + k, record->length - 1 - k);
            fprintf(out, "\",\"offset\":%zu}", i);
            first = false;
        }
    }
    fprintf(out, "],\"more\":false,\"end\":%zu}", topic->count);
    pthread_mutex_unlock(&lock);
    fclose(out);
    answer_json(fd, 200, text);
    free(text);
}

static void
write_number(FILE *out, uint64_t number, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        fputc((int)(number >> (8 * i) & 255), out);
    }
}

static void
wait_for_record(const Topic *topic, size_t from, long wait_ms)
{
    struct timespec until;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += wait_ms % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    while (topic->count <= from && !down &&
           pthread_cond_timedwait(&changed, &lock, &until) == 0) {
    }
}

static void
log_read(int fd, const char *name, size_t from, long wait_ms)
{
    char *text;
    size_t size;
    FILE *out;
    const Topic *topic;

    pthread_mutex_lock(&lock);
    topic = topic_of(name);
    if (from > topic->count) {
        pthread_mutex_unlock(&lock);
        answer_json(fd, 410, "{\"first\":0}");
        return;
    }
    wait_for_record(topic, from, wait_ms);
    if (from > topic->count) {
        pthread_mutex_unlock(&lock);
        answer_json(fd, 410, "{\"first\":0}");
        return;
    }
    out = open_memstream(&text, &size);
    write_number(out, topic->count, 8);
    write_number(out, 0, 8);
    for (size_t i = from; i < topic->count; i++) {
        write_number(out, topic->records[i].length, 4);
        fwrite(topic->records[i].data, 1, topic->records[i].length, out);
    }
    pthread_mutex_unlock(&lock);
    fclose(out);
    answer(fd, 200, "application/octet-stream", text, size);
    free(text);
}

static void
log_append(int fd, const char *name, const Message *message)
{
    const unsigned char *at = (const unsigned char *)message->body;
    size_t left = message->length, offset, end;
    char text[80];

    pthread_mutex_lock(&lock);
    offset = topic_of(name)->count;
    while (left >= 4) {
        size_t n = (size_t)at[0] << 24 | (size_t)at[1] << 16 |
                   (size_t)at[2] << 8 | (size_t)at[3];

        if (n > left - 4) {
            break;
        }
        append(topic_of(name), (const char *)at + 4, n);
        at += 4 + n;
        left -= 4 + n;
    }
    end = topic_of(name)->count;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
    snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}", offset, end);
    answer_json(fd, 200, text);
}

static void *
serve(void *argument)
{
    Stream *stream = argument;
    Message *message = malloc(sizeof(*message));
    char topic[80], from[32], wait[32];

    while (read_message(stream, message, false)) {
        query(message, "topic", topic, sizeof(topic));
        query(message, "from", from, sizeof(from));
        query(message, "waitMs", wait, sizeof(wait));
        usleep(ANSWER_US);
        if (down) {
            answer_json(stream->fd, 503, "{}");
        }
        else if (strstr(message->head, "/agatecrank/log-newest?") != NULL) {
            log_newest(stream->fd, topic);
        }
        else if (strstr(message->head, "/agatecrank/log-read?") != NULL) {
            log_read(stream->fd, topic, strtoul(from, NULL, 10),
                     strtol(wait, NULL, 10));
        }
        else if (strstr(message->head, "/agatecrank/log-append?") != NULL) {
            log_append(stream->fd, topic, message);
        }
        else {
            answer_json(stream->fd, 404, "{}");
        }
        release_message(message);
    }
    close(stream->fd);
    free(message);
    free(stream);
    return NULL;
}

static void *
accept_calls(void *argument)
{
    int listener = *(int *)argument;

    for (;;) {
        int fd = accept(listener, NULL, NULL);
        Stream *stream;

        if (fd < 0) {
            continue;
        }
        stream = calloc(1, sizeof(*stream));
        stream->fd = fd;
        start_thread(serve, stream);
    }
    return NULL;
}

void
store_copy(void)
{
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < topic_count; i++) {
        copied[i] = topics[i].count;
    }
    pthread_mutex_unlock(&lock);
}

void
store_set_down(void)
{
    down = true;
}

void
store_restore(void)
{
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < topic_count; i++) {
        topics[i].count = copied[i];
    }
    era++;
    down = false;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

void
store_start(const char *address, int port)
{
    static int listener;
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attributes);
    listener = listen_on(address, port);
    start_thread(accept_calls, &listener);
}
