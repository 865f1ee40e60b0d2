#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOSTS_MAX 64
#define TOPICS_MAX 16
#define RECORDS_MAX 200000
#define LONGEST_WAIT_S 30

/* ---- time and record ------------------------------------------------- */

static double started;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
monotonic(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

double
lab_now(void)
{
    if (started == 0) {
        started = monotonic();
    }
    return monotonic() - started;
}

void
lab_sleep(double seconds)
{
    struct timespec time = {(time_t)seconds,
                            (long)((seconds - (double)(time_t)seconds) * 1e9)};

    while (seconds > 0 && nanosleep(&time, &time) != 0 && errno == EINTR) {
    }
}

void
lab_record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    if (record_file == NULL) {
        const char *path = getenv("RECORD");

        record_file = fopen(path != NULL ? path : "record.txt", "w");
    }
    if (record_file != NULL) {
        fprintf(record_file, "%9.4f ", lab_now());
        va_start(arguments, format);
        vfprintf(record_file, format, arguments);
        va_end(arguments);
        fputc('\n', record_file);
        fflush(record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

void
lab_unable(const char *what)
{
    fprintf(stderr, "the case could not run: %s\n", what);
    lab_record("the case could not run: %s", what);
    lab_end_hosts();
    _exit(2);
}

bool
lab_trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

/* ---- messages -------------------------------------------------------- */

static int
fill(Reader *reader)
{
    ssize_t n;

    if (reader->start > 0) {
        memmove(reader->data, reader->data + reader->start,
                reader->end - reader->start);
        reader->end -= reader->start;
        reader->start = 0;
    }
    if (reader->end == sizeof(reader->data)) {
        return -1;
    }
    do {
        n = recv(reader->fd, reader->data + reader->end,
                 sizeof(reader->data) - reader->end, 0);
    } while (n < 0 && errno == EINTR);
    if (n <= 0) {
        return -1;
    }
    reader->end += (size_t)n;
    return 0;
}

bool
lab_field(const Message *message, const char *name, char *out, size_t size)
{
    const char *line = strstr(message->head, "\r\n");
    size_t length = strlen(name);

    while (line != NULL && line[2] != '\0') {
        line += 2;
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            const char *end = strstr(value, "\r\n");
            size_t n = end != NULL ? (size_t)(end - value) : strlen(value);

            while (n > 0 && *value == ' ') {
                value++;
                n--;
            }
            n = n < size - 1 ? n : size - 1;
            memcpy(out, value, n);
            out[n] = '\0';
            return true;
        }
        line = strstr(line, "\r\n");
    }
    out[0] = '\0';
    return false;
}

static int
take_bytes(Reader *reader, char *out, size_t length)
{
    size_t n = 0;

    while (n < length) {
        size_t part = reader->end - reader->start;

        if (part == 0) {
            if (fill(reader) < 0) {
                return -1;
            }
            continue;
        }
        part = part < length - n ? part : length - n;
        memcpy(out + n, reader->data + reader->start, part);
        reader->start += part;
        n += part;
    }
    return 0;
}

static int
take_line(Reader *reader, char *out, size_t size)
{
    size_t n = 0;

    while (n + 1 < size) {
        if (take_bytes(reader, out + n, 1) < 0) {
            return -1;
        }
        if (out[n++] == '\n') {
            out[n] = '\0';
            return 0;
        }
    }
    return -1;
}

static int
take_chunks(Reader *reader, Message *message)
{
    char line[256];

    for (;;) {
        size_t size;

        if (take_line(reader, line, sizeof(line)) < 0) {
            return -1;
        }
        size = strtoul(line, NULL, 16);
        if (size == 0) {
            return take_line(reader, line, sizeof(line));
        }
        message->body = realloc(message->body, message->length + size + 1);
        if (take_bytes(reader, message->body + message->length, size) < 0 ||
            take_line(reader, line, sizeof(line)) < 0) {
            return -1;
        }
        message->length += size;
    }
}

int
lab_read(Reader *reader, Message *message)
{
    char text[64];
    char *end = NULL;
    size_t n;

    message->body = NULL;
    message->length = 0;
    message->status = 0;
    for (;;) {
        size_t have = reader->end - reader->start;

        end = have > 0
                  ? memmem(reader->data + reader->start, have, "\r\n\r\n", 4)
                  : NULL;
        if (end != NULL) {
            break;
        }
        if (fill(reader) < 0) {
            return -1;
        }
    }
    n = (size_t)(end - (reader->data + reader->start)) + 4;
    if (n >= LAB_HEAD_MAX) {
        return -1;
    }
    memcpy(message->head, reader->data + reader->start, n - 2);
    message->head[n - 2] = '\0';
    reader->start += n;
    if (strncmp(message->head, "HTTP/1.", 7) == 0) {
        message->status = atoi(message->head + 9);
    }
    if (lab_field(message, "transfer-encoding", text, sizeof(text))) {
        return take_chunks(reader, message);
    }
    if (lab_field(message, "content-length", text, sizeof(text))) {
        message->length = strtoul(text, NULL, 10);
        message->body = malloc(message->length + 1);
        return take_bytes(reader, message->body, message->length);
    }
    return 0;
}

void
lab_free(Message *message)
{
    free(message->body);
    message->body = NULL;
}

void
lab_target(const Message *message, char *method, size_t method_size,
           char *path, size_t path_size)
{
    const char *space = strchr(message->head, ' ');
    const char *end = space != NULL ? strchr(space + 1, ' ') : NULL;

    method[0] = path[0] = '\0';
    if (end == NULL) {
        return;
    }
    snprintf(method, method_size, "%.*s", (int)(space - message->head),
             message->head);
    snprintf(path, path_size, "%.*s", (int)(end - space - 1), space + 1);
}

int
lab_send(int fd, const void *data, size_t length)
{
    size_t sent = 0;

    while (sent < length) {
        ssize_t n =
            send(fd, (const char *)data + sent, length - sent, MSG_NOSIGNAL);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return -1;
        }
        sent += (size_t)n;
    }
    return 0;
}

static struct sockaddr_in
address_of(const char *address, uint16_t port)
{
    struct sockaddr_in result = {.sin_family = AF_INET,
                                 .sin_port = htons(port)};

    inet_pton(AF_INET, address, &result.sin_addr);
    return result;
}

int
lab_listen(const char *address, uint16_t *port)
{
    struct sockaddr_in local = address_of(address, *port);
    socklen_t length = sizeof(local);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&local, sizeof(local)) < 0 ||
        listen(fd, 1024) < 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, (struct sockaddr *)&local, &length);
    *port = ntohs(local.sin_port);
    return fd;
}

int
lab_connect(const char *address, uint16_t port)
{
    struct sockaddr_in peer = address_of(address, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) < 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

int
lab_call(const char *address, uint16_t port, const char *text, double timeout,
         Message *answer)
{
    struct timeval limit = {
        (time_t)timeout,
        (suseconds_t)((timeout - (double)(time_t)timeout) * 1e6)};
    Reader *reader = calloc(1, sizeof(*reader));
    Message own;
    Message *message = answer != NULL ? answer : &own;
    int status = 0;

    message->body = NULL;
    message->length = 0;
    reader->fd = lab_connect(address, port);
    if (reader->fd >= 0) {
        setsockopt(reader->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        if (lab_send(reader->fd, text, strlen(text)) == 0 &&
            lab_read(reader, message) == 0) {
            status = message->status;
        }
        close(reader->fd);
    }
    free(reader);
    if (answer == NULL) {
        lab_free(message);
    }
    return status;
}

static void
run_detached(void *(*run)(void *), void *argument)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, 512 * 1024);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        lab_unable("no thread");
    }
    pthread_attr_destroy(&attributes);
}

/* ---- store ----------------------------------------------------------- */

typedef struct Record {
    char *key;
    char *value;
    size_t length;
} Record;

typedef struct Topic {
    char name[96];
    Record *records;
    size_t count, capacity;
} Topic;

static Topic topics[TOPICS_MAX];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static StoreMode store_modes[LAB_ENTRIES_MAX]; /* by entry */

static Topic *
topic_of(const char *name)
{
    for (int i = 0; i < TOPICS_MAX; i++) {
        if (topics[i].name[0] == '\0') {
            snprintf(topics[i].name, sizeof(topics[i].name), "%s", name);
        }
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    lab_unable("too many topics");
}

static void
append(Topic *topic, const char *key, size_t key_length, const char *value,
       size_t length)
{
    Record *record;

    if (topic->count == topic->capacity) {
        topic->capacity = topic->capacity > 0 ? 2 * topic->capacity : 64;
        topic->records =
            realloc(topic->records, topic->capacity * sizeof(Record));
    }
    record = &topic->records[topic->count++];
    record->key = strndup(key, key_length);
    record->value = malloc(length + 1);
    memcpy(record->value, value, length);
    record->value[length] = '\0';
    record->length = length;
}

void
lab_store_put(const char *name, const char *key, const char *value)
{
    pthread_mutex_lock(&store_lock);
    append(topic_of(name), key, strlen(key), value, strlen(value));
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

void
lab_store_mode(int entry, StoreMode mode)
{
    pthread_mutex_lock(&store_lock);
    store_modes[entry] = mode;
    pthread_mutex_unlock(&store_lock);
    lab_record("store: entry %d is %s", entry,
               mode == STORE_UP ? "up" : "silent");
}

static bool
query(const char *path, const char *name, char *out, size_t size)
{
    const char *at = strchr(path, '?');
    size_t length = strlen(name);

    out[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            size_t n = strcspn(at + length + 1, "&");

            n = n < size - 1 ? n : size - 1;
            memcpy(out, at + length + 1, n);
            out[n] = '\0';
            return true;
        }
        at = strchr(at, '&');
    }
    return false;
}

static int
respond(int fd, int status, const char *type, const char *body, size_t length)
{
    char head[256];
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d X\r\ncontent-type: %s\r\n"
                     "content-length: %zu\r\n\r\n",
                     status, type, length);

    return lab_send(fd, head, (size_t)n) < 0 ? -1 : lab_send(fd, body, length);
}

static void
put_number(char *out, uint64_t number, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        out[i] = (char)(number >> (8 * (bytes - 1 - i)));
    }
}

static char *
encode(const char *data, size_t length)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    char *out = malloc(4 * (length / 3 + 1) + 1), *at = out;

    for (size_t i = 0; i < length; i += 3) {
        uint32_t bits = (uint32_t)(unsigned char)data[i] << 16;

        bits |= i + 1 < length ? (uint32_t)(unsigned char)data[i + 1] << 8 : 0;
        bits |= i + 2 < length ? (uint32_t)(unsigned char)data[i + 2] : 0;
        *at++ = digits[bits >> 18];
        *at++ = digits[bits >> 12 & 63];
        *at++ = i + 1 < length ? digits[bits >> 6 & 63] : '=';
        *at++ = i + 2 < length ? digits[bits & 63] : '=';
    }
    *at = '\0';
    return out;
}

/* The caller holds the lock. All keys are sent on one page. */
static int
send_newest(int fd, const Topic *topic)
{
    size_t size = 0;
    char *text = NULL;
    FILE *out = open_memstream(&text, &size);
    bool first = true;
    int code;

    fprintf(out, "{\"items\":[");
    for (size_t i = 0; i < topic->count; i++) {
        const Record *record = &topic->records[i];
        bool newest = record->length > 0;
        char *value;

        for (size_t k = i + 1; k < topic->count && newest; k++) {
            newest = strcmp(record->key, topic->records[k].key) != 0;
        }
        if (!newest) {
            continue;
        }
        value = encode(record->value, record->length);
        fprintf(out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%zu}",
                first ? "" : ",", record->key, value, i);
        free(value);
        first = false;
    }
    fprintf(out, "],\"more\":false,\"end\":%zu}", topic->count);
    fclose(out);
    code = respond(fd, 200, "application/json", text, size);
    free(text);
    return code;
}

/* The caller holds the lock. */
static int
send_records(int fd, const Topic *topic, size_t from)
{
    size_t size = 0;
    char *text = NULL, number[8];
    FILE *out = open_memstream(&text, &size);
    int code;

    put_number(number, topic->count, 8);
    fwrite(number, 8, 1, out);
    put_number(number, 0, 8);
    fwrite(number, 8, 1, out);
    for (size_t i = from; i < topic->count; i++) {
        const Record *record = &topic->records[i];
        size_t key = strlen(record->key);

        put_number(number, 1 + key + record->length, 4);
        fwrite(number, 4, 1, out);
        fputc((int)key, out);
        fwrite(record->key, key, 1, out);
        fwrite(record->value, record->length, 1, out);
    }
    fclose(out);
    code = respond(fd, 200, "application/octet-stream", text, size);
    free(text);
    return code;
}

static int
serve_read(int fd, const char *path, int entry)
{
    char name[96], text[32];
    struct timespec until;
    size_t from;
    long wait;
    int code;

    query(path, "topic", name, sizeof(name));
    query(path, "from", text, sizeof(text));
    from = strtoul(text, NULL, 10);
    query(path, "waitMs", text, sizeof(text));
    wait = strtol(text, NULL, 10);
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait / 1000;
    until.tv_nsec += wait % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    pthread_mutex_lock(&store_lock);
    while (topic_of(name)->count <= from &&
           pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0) {
    }
    code = store_modes[entry] == STORE_UP
               ? send_records(fd, topic_of(name), from)
               : 1;
    pthread_mutex_unlock(&store_lock);
    return code;
}

typedef struct Accepted {
    int fd;
    Worker *worker; /* NULL for the store */
    int entry;      /* of the store */
} Accepted;

typedef struct Listener {
    void *(*serve)(void *);
    Accepted accepted; /* with the descriptor that listens */
} Listener;

static int
serve_append(int fd, const char *path, const Message *message)
{
    char name[96], answer[96];
    const unsigned char *at = (const unsigned char *)message->body;
    size_t left = message->length;
    Topic *topic;
    size_t first;
    int n;

    query(path, "topic", name, sizeof(name));
    pthread_mutex_lock(&store_lock);
    topic = topic_of(name);
    first = topic->count;
    while (left >= 5) {
        size_t length = (size_t)at[0] << 24 | (size_t)at[1] << 16 |
                        (size_t)at[2] << 8 | at[3];
        size_t key = at[4];

        append(topic, (const char *)at + 5, key, (const char *)at + 5 + key,
               length - 1 - key);
        at += 4 + length;
        left -= 4 + length;
    }
    n = snprintf(answer, sizeof(answer), "{\"offset\":%zu,\"end\":%zu}", first,
                 topic->count);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
    return respond(fd, 200, "application/json", answer, (size_t)n);
}

static void *
serve_store(void *argument)
{
    Accepted *accepted = argument;
    Reader *reader = calloc(1, sizeof(*reader));
    int entry = accepted->entry;
    char method[16], path[1024], name[96];
    Message *message = malloc(sizeof(*message));
    int code = 0;

    reader->fd = accepted->fd;
    free(accepted);
    while (code >= 0 && lab_read(reader, message) == 0) {
        lab_target(message, method, sizeof(method), path, sizeof(path));
        if (store_modes[entry] == STORE_SILENT) {
            code = 1;
        }
        else if (strncmp(path, "/agatecrank/log-read?", 21) == 0) {
            code = serve_read(reader->fd, path, entry);
        }
        else if (strncmp(path, "/agatecrank/log-append?", 23) == 0) {
            code = serve_append(reader->fd, path, message);
        }
        else if (strncmp(path, "/agatecrank/log-newest?", 23) == 0) {
            query(path, "topic", name, sizeof(name));
            pthread_mutex_lock(&store_lock);
            code = send_newest(reader->fd, topic_of(name));
            pthread_mutex_unlock(&store_lock);
        }
        else {
            code = respond(reader->fd, 404, "text/plain", "", 0);
        }
        lab_free(message);
        if (code == 1) {
            /* A connection on which an answer is lost returns nothing more. */
            while (fill(reader) == 0) {
                reader->start = reader->end = 0;
            }
            break;
        }
    }
    close(reader->fd);
    free(message);
    free(reader);
    return NULL;
}

static void *
accept_all(void *argument)
{
    Listener *listener = argument;
    int fd, on = 1;

    while ((fd = accept4(listener->accepted.fd, NULL, NULL, SOCK_CLOEXEC)) >=
           0) {
        Accepted *accepted = malloc(sizeof(*accepted));

        *accepted = listener->accepted;
        accepted->fd = fd;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        run_detached(listener->serve, accepted);
    }
    return NULL;
}

static void
start_listener(int fd, void *(*serve)(void *), Worker *worker, int entry)
{
    Listener *listener = malloc(sizeof(*listener));

    *listener = (Listener){serve, {fd, worker, entry}};
    run_detached(accept_all, listener);
}

uint16_t
lab_store_start(int entry)
{
    static bool ready;
    pthread_condattr_t attributes;
    uint16_t port = 0;
    int fd = lab_listen("127.0.0.1", &port);

    if (fd < 0 || entry >= LAB_ENTRIES_MAX) {
        lab_unable("no port for the store");
    }
    if (!ready) {
        pthread_condattr_init(&attributes);
        pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
        pthread_cond_init(&store_changed, &attributes);
        ready = true;
    }
    start_listener(fd, serve_store, NULL, entry);
    return port;
}

/* ---- workers --------------------------------------------------------- */

bool
lab_worker_answer(int fd, const char *id, int status, const char *fields,
                  const char *body, size_t length)
{
    char head[1024];
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 %d X\r\nAgatecrank-Attempt-Id: %s\r\n%s"
                     "Content-Length: %zu\r\n\r\n",
                     status, id, fields, length);
    char *all = malloc((size_t)n + length);
    bool sent;

    memcpy(all, head, (size_t)n);
    memcpy(all + n, body, length);
    sent = lab_send(fd, all, (size_t)n + length) == 0;
    free(all);
    return sent;
}

static bool
answer_health(Worker *worker, int fd)
{
    char text[256];
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 200 OK\r\nAgatecrank-Instance-Id: %s\r\n"
                     "Agatecrank-Server-Load: %d,0,%u,100\r\n"
                     "Content-Length: 0\r\n\r\n",
                     worker->id, __atomic_load_n(&worker->running, 5),
                     worker->slots);

    return lab_send(fd, text, (size_t)n) == 0;
}

static void *
serve_worker(void *argument)
{
    Accepted *accepted = argument;
    Worker *worker = accepted->worker;
    Reader *reader = calloc(1, sizeof(*reader));
    Message *message = malloc(sizeof(*message));
    char method[16], path[1024], id[128];
    bool open = true;

    reader->fd = accepted->fd;
    free(accepted);
    while (open && lab_read(reader, message) == 0) {
        lab_target(message, method, sizeof(method), path, sizeof(path));
        lab_field(message, "agatecrank-attempt-id", id, sizeof(id));
        open = strcmp(path, "/health") == 0
                   ? answer_health(worker, reader->fd)
                   : worker->handler(worker, reader->fd, message, id);
        lab_free(message);
    }
    close(reader->fd);
    free(message);
    free(reader);
    return NULL;
}

void
lab_worker_describe(Worker *worker)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"address\":\"127.0.0.1:%u\",\"info\":{\"service\":\"%s\","
             "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%u},\"status\":{"
             "\"state\":\"%s\",\"seqNo\":%u,\"warmupLeftS\":0},\"born\":%lld}",
             worker->port, worker->service, worker->zone, worker->slots,
             worker->state, ++worker->sequence, (long long)worker->born);
    lab_store_put("keyed.servers", worker->id, text);
}

static void *
beat(void *argument)
{
    Worker *worker = argument;

    while (worker->beats) {
        lab_worker_describe(worker);
        lab_sleep(1.5);
    }
    return NULL;
}

void
lab_worker_start(Worker *worker)
{
    struct timespec time;

    clock_gettime(CLOCK_REALTIME, &time);
    worker->born = (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
    worker->state = "ready";
    worker->fd = lab_listen("127.0.0.1", &worker->port);
    if (worker->fd < 0) {
        lab_unable("no port for a worker");
    }
    worker->beats = true;
    start_listener(worker->fd, serve_worker, worker, 0);
    run_detached(beat, worker);
}

/* ---- hosts ----------------------------------------------------------- */

static Host *hosts[HOSTS_MAX];
static int host_count;
static char folder[64];

static const char *
work_folder(void)
{
    if (folder[0] == '\0') {
        const char *base = getenv("WORK");

        snprintf(folder, sizeof(folder), "%s", base != NULL ? base : ".");
    }
    return folder;
}

/* Addresses differ between programs that run at the same time. */
void
lab_host_init(Host *host, unsigned number, const char *zone)
{
    unsigned pid = (unsigned)getpid();

    *host = (Host){
        .callers = 8161, .readiness = 8167, .metrics = 7720, .relay = 7735};
    snprintf(host->name, sizeof(host->name), "edge-%s-%u", zone, number);
    snprintf(host->zone, sizeof(host->zone), "%s", zone);
    snprintf(host->address, sizeof(host->address), "127.%u.%u.%u",
             20 + pid / 250 % 200, 1 + pid % 250, 10 + number);
    if (host_count < HOSTS_MAX) {
        hosts[host_count++] = host;
    }
}

/* As by deploy/settings.toml.in. */
static void
write_settings(const Host *host, const HostSettings *settings,
               const char *path)
{
    FILE *out = fopen(path, "w");

    if (out == NULL) {
        lab_unable("no settings file");
    }
    fprintf(
        out,
        "[host]\nid = \"%s\"\ndomain = \"%s\"\nregion = \"tunis\"\n"
        "[gateway]\ncallers = \"%s:%u\"\nreadiness = \"%s:%u\"\n"
        "metrics = \"%s:%u\"\nrelay = \"%s:%u\"\n"
        "store = \"127.0.0.1:%u\"\nlink_mbps = 1000.0\nmemory_mb = %u\n"
        "descriptors_max = %u\nseeds = [%s]\n%s[bounds]\n%s",
        host->name, host->zone, host->address, host->callers, host->address,
        host->readiness, host->address, host->metrics, host->address,
        host->relay, settings->store, settings->memory_mb,
        settings->descriptors, settings->seeds != NULL ? settings->seeds : "",
        settings->first_start ? "first_start = true\n" : "", settings->bounds);
    fclose(out);
}

void
lab_host_start(Host *host, const HostSettings *settings)
{
    const char *program = getenv("AGATECRANKD");
    char path[160], log[160];

    snprintf(path, sizeof(path), "%s/%s.toml", work_folder(), host->name);
    snprintf(log, sizeof(log), "%s/%s.log", work_folder(), host->name);
    write_settings(host, settings, path);
    host->pid = fork();
    if (host->pid < 0) {
        lab_unable("no process");
    }
    if (host->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        dup2(fd, 1);
        dup2(fd, 2);
        signal(SIGPIPE, SIG_DFL);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("AGATECRANK_NODE_FILE", path, 1);
        execl(program != NULL ? program
                              : "target/packages/agatecrankd/agatecrankd",
              "agatecrankd", (char *)NULL);
        _exit(127);
    }
    lab_record("host %s started", host->name);
}

bool
lab_host_ready(const Host *host)
{
    return lab_call(host->address, host->readiness,
                    "GET /agatecrank/readiness HTTP/1.1\r\nHost: h\r\n\r\n", 1,
                    NULL) == 200;
}

void
lab_host_wait_ready(const Host *host, double timeout)
{
    double end = lab_now() + timeout;

    while (!lab_host_ready(host)) {
        if (lab_now() > end) {
            lab_unable("a host is not ready");
        }
        lab_sleep(0.05);
    }
}

bool
lab_host_ended(Host *host, int *status)
{
    if (host->pid <= 0 || waitpid(host->pid, status, WNOHANG) != host->pid) {
        return host->pid <= 0;
    }
    host->pid = 0;
    return true;
}

void
lab_host_kill(Host *host)
{
    if (host->pid > 0) {
        kill(host->pid, SIGKILL);
        waitpid(host->pid, NULL, 0);
        host->pid = 0;
    }
}

long
lab_host_kb(const Host *host, const char *field)
{
    char path[64], line[256];
    size_t length = strlen(field);
    long value = -1;
    FILE *in;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)host->pid);
    in = fopen(path, "r");
    while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
        if (strncmp(line, field, length) == 0 && line[length] == ':') {
            value = strtol(line + length + 1, NULL, 10);
        }
    }
    if (in != NULL) {
        fclose(in);
    }
    return value;
}

void
lab_end_hosts(void)
{
    for (int i = 0; i < host_count; i++) {
        lab_host_kill(hosts[i]);
    }
}
