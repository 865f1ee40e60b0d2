#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES_MAX (256 * 1024)
#define RECORDS_MAX 65536
#define TOPICS_MAX 16
#define READY_PORT 8167
#define METRICS_PORT 7720
#define RELAY_PORT 7735
#define WORKER_PORT 8080
#define WORKER_ADDRESS 100

static double started;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int net_a, net_b; /* addresses are 127.net_a.net_b.N */
static const char *repo, *work;

/* ---- time and record ---- */

static double
clock_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
kit_now(void)
{
    return clock_s() - started;
}

void
kit_sleep(double seconds)
{
    struct timespec t = {(time_t)seconds,
                         (long)((seconds - (double)(time_t)seconds) * 1e9)};

    while (seconds > 0 && nanosleep(&t, &t) < 0 && errno == EINTR) {
    }
}

void
kit_sleep_until(double at)
{
    kit_sleep(at - kit_now());
}

void
kit_record(const char *format, ...)
{
    va_list args;

    pthread_mutex_lock(&record_lock);
    fprintf(record, "%8.3f ", kit_now());
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

bool
kit_trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

static char *
format_address(int n)
{
    char *text = malloc(32);

    snprintf(text, 32, "127.%d.%d.%d", net_a, net_b, n);
    return text;
}

static int
listen_on(const char *address, int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

    inet_pton(AF_INET, address, &a.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
        listen(fd, 1024) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
kit_init(void)
{
    started = clock_s();
    signal(SIGPIPE, SIG_IGN);
    repo = getenv("REPO");
    work = getenv("WORK");
    record = fopen(getenv("RECORD"), "w");
    if (repo == NULL || work == NULL || record == NULL) {
        fprintf(stderr, "REPO, WORK and RECORD must be set\n");
        exit(2);
    }
    srand((unsigned)getpid() ^ (unsigned)time(NULL));
    for (int i = 0; i < 100; i++) {
        char *address;
        int fd;

        net_a = 60 + rand() % 150;
        net_b = 1 + rand() % 250;
        address = format_address(10);
        fd = listen_on(address, KIT_CALLER_PORT);
        free(address);
        if (fd >= 0) {
            close(fd);
            return;
        }
    }
    fprintf(stderr, "no free address\n");
    exit(2);
}

/* ---- HTTP ---- */

const char *
kit_field(const KitMessage *message, const char *name)
{
    static _Thread_local char values[4][4096];
    static _Thread_local int next;
    const char *line = message->head;
    size_t n = strlen(name);

    while (line != NULL && (line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            char *value = values[next++ % 4];
            const char *from = line + n + 1, *to = strstr(from, "\r\n");
            size_t length;

            while (*from == ' ') {
                from++;
            }
            length = (size_t)(to - from);
            length = length < 4095 ? length : 4095;
            memcpy(value, from, length);
            value[length] = '\0';
            return value;
        }
    }
    return "";
}

void
kit_free(KitMessage *message)
{
    free(message->head);
    free(message->body);
    memset(message, 0, sizeof(*message));
}

int
kit_connect(const char *address, int port, double timeout_s)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1, code = 0;
    socklen_t length = sizeof(code);
    struct pollfd p = {.fd = fd, .events = POLLOUT};

    inet_pton(AF_INET, address, &a.sin_addr);
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    if (poll(&p, 1, (int)(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &length) < 0 ||
        code != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

bool
kit_send(int fd, const void *data, size_t length)
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

void
kit_reader_init(KitReader *reader, int fd)
{
    *reader = (KitReader){.fd = fd};
}

void
kit_reader_free(KitReader *reader)
{
    free(reader->data);
    *reader = (KitReader){.fd = -1};
}

/* Returns 1 for more bytes, 0 at the end, -1 on a reset or at the deadline. */
static int
fill(KitReader *reader, double until)
{
    double left = until - kit_now();
    struct pollfd p = {.fd = reader->fd, .events = POLLIN};
    ssize_t n;

    if (reader->length == reader->capacity) {
        reader->capacity = reader->capacity * 2 + 4096;
        reader->data = realloc(reader->data, reader->capacity);
    }
    if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) <= 0) {
        return -2;
    }
    n = recv(reader->fd, reader->data + reader->length,
             reader->capacity - reader->length, 0);
    if (n > 0) {
        reader->length += (size_t)n;
    }
    return n > 0 ? 1 : n == 0 ? 0 : -1;
}

static void
consume(KitReader *reader, size_t n)
{
    reader->length -= n;
    memmove(reader->data, reader->data + n, reader->length);
}

static bool
need(KitReader *reader, size_t n, KitMessage *message, double until)
{
    while (reader->length < n) {
        int code = fill(reader, until);

        if (code <= 0) {
            message->closed = code != -2;
            return false;
        }
    }
    return true;
}

static void
append_body(KitMessage *message, const char *data, size_t n)
{
    message->body = realloc(message->body, message->body_length + n + 1);
    memcpy(message->body + message->body_length, data, n);
    message->body_length += n;
    message->body[message->body_length] = '\0';
}

static bool
read_chunks(KitReader *reader, KitMessage *message, double until)
{
    for (;;) {
        char *line;
        size_t size, head;

        while ((line = reader->length > 0
                           ? memmem(reader->data, reader->length, "\r\n", 2)
                           : NULL) == NULL) {
            if (!need(reader, reader->length + 1, message, until)) {
                return false;
            }
        }
        size = strtoul(reader->data, NULL, 16);
        head = (size_t)(line - reader->data) + 2;
        if (!need(reader, head + size + 2, message, until)) {
            return false;
        }
        append_body(message, reader->data + head, size);
        consume(reader, head + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

bool
kit_read(KitReader *reader, KitMessage *message, bool response, double until)
{
    char *end = NULL;
    size_t head;

    memset(message, 0, sizeof(*message));
    while (reader->length == 0 || (end = memmem(reader->data, reader->length,
                                                "\r\n\r\n", 4)) == NULL) {
        if (reader->length > HEAD_BYTES_MAX ||
            !need(reader, reader->length + 1, message, until)) {
            return false;
        }
    }
    head = (size_t)(end - reader->data) + 4;
    message->head = malloc(head + 1);
    memcpy(message->head, reader->data, head);
    message->head[head] = '\0';
    consume(reader, head);
    append_body(message, "", 0);
    if (response &&
        sscanf(message->head, "HTTP/1.%*d %d", &message->status) != 1) {
        return false;
    }
    if (strcasecmp(kit_field(message, "transfer-encoding"), "chunked") == 0) {
        message->complete = read_chunks(reader, message, until);
    }
    else if (kit_field(message, "content-length")[0] != '\0') {
        size_t n = strtoul(kit_field(message, "content-length"), NULL, 10);

        message->complete = need(reader, n, message, until);
        n = n < reader->length ? n : reader->length;
        append_body(message, reader->data, n);
        consume(reader, n);
    }
    else if (response) {
        int code;

        while ((code = fill(reader, until)) == 1) {
        }
        append_body(message, reader->data, reader->length);
        consume(reader, reader->length);
        message->complete = code == 0;
    }
    else {
        message->complete = true;
    }
    return message->complete;
}

KitMessage
kit_call(const char *address, int port, const char *request, double timeout_s)
{
    double until = kit_now() + timeout_s;
    KitMessage message = {0};
    KitReader reader;
    int fd = kit_connect(address, port, timeout_s);

    if (fd < 0) {
        message.closed = true;
        return message;
    }
    kit_reader_init(&reader, fd);
    if (kit_send(fd, request, strlen(request))) {
        kit_read(&reader, &message, true, until);
    }
    kit_reader_free(&reader);
    close(fd);
    return message;
}

/* ---- threads that serve connections ---- */

typedef struct Listener_ {
    int fd;
    void (*serve)(int fd, void *user);
    void *user;
} Listener;

typedef struct Accepted_ {
    const Listener *listener;
    int fd;
} Accepted;

static void
start_thread(void *(*run)(void *), void *user)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, user) != 0) {
        perror("pthread_create");
        kit_end(2);
    }
    pthread_attr_destroy(&attributes);
}

static void *
run_connection(void *user)
{
    Accepted accepted = *(Accepted *)user;

    free(user);
    accepted.listener->serve(accepted.fd, accepted.listener->user);
    close(accepted.fd);
    return NULL;
}

static void *
run_listener(void *user)
{
    const Listener *this = user;
    int on = 1;

    for (;;) {
        int fd = accept4(this->fd, NULL, NULL, SOCK_CLOEXEC);
        Accepted *accepted;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        accepted = malloc(sizeof(*accepted));
        *accepted = (Accepted){this, fd};
        start_thread(run_connection, accepted);
    }
    return NULL;
}

static void
start_listener(int fd, void (*serve)(int fd, void *user), void *user)
{
    Listener *this = malloc(sizeof(*this));

    *this = (Listener){fd, serve, user};
    start_thread(run_listener, this);
}

/* ---- store ---- */

typedef struct Record_ {
    char *key, *value;
    size_t key_length, value_length;
} Record;

typedef struct Topic_ {
    char name[64];
    Record *records;
    size_t count;
} Topic;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static Topic topics[TOPICS_MAX];
static KitStoreMode store_modes[KIT_HOSTS_MAX];
static int store_ports[KIT_HOSTS_MAX];

static Topic *
find_topic(const char *name)
{
    for (int i = 0; i < TOPICS_MAX; i++) {
        if (topics[i].name[0] == '\0') {
            snprintf(topics[i].name, sizeof(topics[i].name), "%s", name);
            topics[i].records = calloc(RECORDS_MAX, sizeof(Record));
        }
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    kit_end(2);
}

static void
append_record(Topic *topic, const char *key, size_t key_length,
              const char *value, size_t value_length)
{
    Record *added = &topic->records[topic->count];

    if (topic->count + 1 >= RECORDS_MAX) {
        kit_end(2);
    }
    added->key = malloc(key_length + 1);
    memcpy(added->key, key, key_length);
    added->key[key_length] = '\0';
    added->key_length = key_length;
    added->value = malloc(value_length + 1);
    memcpy(added->value, value, value_length);
    added->value_length = value_length;
    topic->count++;
    pthread_cond_broadcast(&store_changed);
}

double
kit_store_put(const char *topic, const char *key, const char *value)
{
    double at;

    pthread_mutex_lock(&store_lock);
    append_record(find_topic(topic), key, strlen(key), value, strlen(value));
    at = kit_now();
    pthread_mutex_unlock(&store_lock);
    return at;
}

void
kit_store_remove(const char *topic, const char *key)
{
    kit_store_put(topic, key, "");
}

void
kit_store_set_mode(int host, KitStoreMode mode)
{
    pthread_mutex_lock(&store_lock);
    store_modes[host] = mode;
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

static void
put_number(char *to, uint64_t number, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        to[i] = (char)(number >> 8 * (bytes - 1 - i));
    }
}

static uint64_t
get_number(const char *from, int bytes)
{
    uint64_t number = 0;

    for (int i = 0; i < bytes; i++) {
        number = number << 8 | (unsigned char)from[i];
    }
    return number;
}

/* Copies a parameter of the query to @value, "" if absent. */
static void
query_value(const char *head, const char *name, char *value, size_t size)
{
    const char *end = strstr(head, " HTTP/"), *at = strchr(head, '?');
    size_t n = strlen(name), used = 0;

    value[0] = '\0';
    while (at != NULL && at < end) {
        at++;
        if (strncmp(at, name, n) == 0 && at[n] == '=') {
            for (at += n + 1; at < end && *at != '&' && used + 1 < size;
                 at++) {
                value[used++] = *at;
            }
            value[used] = '\0';
            return;
        }
        at = memchr(at, '&', (size_t)(end - at));
    }
}

static void
base64(const char *data, size_t length, char *out)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t n = 0;

    for (size_t i = 0; i < length; i += 3) {
        uint32_t v = (uint32_t)(unsigned char)data[i] << 16;

        v |= i + 1 < length ? (uint32_t)(unsigned char)data[i + 1] << 8 : 0;
        v |= i + 2 < length ? (uint32_t)(unsigned char)data[i + 2] : 0;
        out[n++] = digits[v >> 18];
        out[n++] = digits[v >> 12 & 63];
        out[n++] = i + 1 < length ? digits[v >> 6 & 63] : '=';
        out[n++] = i + 2 < length ? digits[v & 63] : '=';
    }
    out[n] = '\0';
}

typedef struct Buffer_ {
    char *data;
    size_t length, capacity;
} Buffer;

static void
buffer_add(Buffer *this, const void *data, size_t length)
{
    if (this->length + length + 1 > this->capacity) {
        this->capacity = (this->length + length) * 2 + 1024;
        this->data = realloc(this->data, this->capacity);
    }
    memcpy(this->data + this->length, data, length);
    this->length += length;
    this->data[this->length] = '\0';
}

static void
buffer_print(Buffer *this, const char *format, ...)
{
    char text[8192];
    va_list args;

    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    buffer_add(this, text, strlen(text));
}

/* With the lock held. */
static void
write_tail(const Topic *topic, size_t from, Buffer *out)
{
    char number[16];

    put_number(number, topic->count, 8);
    put_number(number + 8, 0, 8);
    buffer_add(out, number, 16);
    for (size_t i = from; i < topic->count; i++) {
        const Record *r = &topic->records[i];
        char key_length = (char)r->key_length;

        put_number(number, 1 + r->key_length + r->value_length, 4);
        buffer_add(out, number, 4);
        buffer_add(out, &key_length, 1);
        buffer_add(out, r->key, r->key_length);
        buffer_add(out, r->value, r->value_length);
    }
}

/* With the lock held. */
static void
write_newest(const Topic *topic, Buffer *out)
{
    bool first = true;

    buffer_print(out, "{\"items\":[");
    for (size_t i = 0; i < topic->count; i++) {
        const Record *r = &topic->records[i];
        bool newest = r->value_length > 0;
        char *value;

        for (size_t k = i + 1; newest && k < topic->count; k++) {
            newest = topic->records[k].key_length != r->key_length ||
                     memcmp(topic->records[k].key, r->key, r->key_length) != 0;
        }
        if (!newest) {
            continue;
        }
        value = malloc(r->value_length * 2 + 8);
        base64(r->value, r->value_length, value);
        buffer_print(out, "%s{\"key\":\"%s\",\"value\":\"", first ? "" : ",",
                     r->key);
        buffer_add(out, value, strlen(value));
        buffer_print(out, "\",\"offset\":%zu}", i);
        free(value);
        first = false;
    }
    buffer_print(out, "],\"more\":false,\"end\":%zu}", topic->count);
}

/* With the lock held. */
static void
read_appended(Topic *topic, const KitMessage *request, Buffer *out)
{
    size_t at = 0, offset = topic->count;

    while (at + 5 <= request->body_length) {
        size_t n = get_number(request->body + at, 4);
        size_t key = (unsigned char)request->body[at + 4];

        append_record(topic, request->body + at + 5, key,
                      request->body + at + 5 + key, n - 1 - key);
        at += 4 + n;
    }
    buffer_print(out, "{\"offset\":%zu,\"end\":%zu}", offset, topic->count);
}

/* Waits for a record after @from, with the lock held. */
static void
wait_for_record(const Topic *topic, size_t from, double wait_s)
{
    double until = clock_s() + wait_s;
    struct timespec t = {(time_t)until,
                         (long)((until - (double)(time_t)until) * 1e9)};

    while (topic->count <= from &&
           pthread_cond_timedwait(&store_changed, &store_lock, &t) == 0) {
    }
}

/* Returns false if the store doesn't respond. */
static bool
handle_store(const KitMessage *request, int host, Buffer *out)
{
    char name[64], from[32], wait[32];
    bool muted;
    Topic *topic;
    double begun = kit_now();

    query_value(request->head, "topic", name, sizeof(name));
    query_value(request->head, "from", from, sizeof(from));
    query_value(request->head, "waitMs", wait, sizeof(wait));
    pthread_mutex_lock(&store_lock);
    topic = find_topic(name);
    muted = store_modes[host] == KIT_STORE_MUTE;
    if (muted) {
    }
    else if (strstr(request->head, "/log-read?") != NULL) {
        wait_for_record(topic, strtoul(from, NULL, 10), atof(wait) / 1000);
        muted = store_modes[host] == KIT_STORE_MUTE;
        write_tail(topic, strtoul(from, NULL, 10), out);
    }
    else if (strstr(request->head, "/log-newest?") != NULL) {
        write_newest(topic, out);
    }
    else {
        read_appended(topic, request, out);
    }
    pthread_mutex_unlock(&store_lock);
    if (getenv("RECORD_STORE") != NULL) {
        kit_record("store, host %d: %.3f s, %s, %.60s", host,
                   kit_now() - begun, muted ? "mute" : "200", request->head);
    }
    return !muted;
}

static void
serve_store(int fd, void *user)
{
    int host = (int)(intptr_t)user;
    KitMessage request;
    KitReader reader;

    kit_reader_init(&reader, fd);
    while (kit_read(&reader, &request, false, kit_now() + 3600)) {
        Buffer body = {0}, out = {0};
        bool responds = handle_store(&request, host, &body);

        kit_free(&request);
        if (responds) {
            buffer_print(&out,
                         "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         body.length);
            buffer_add(&out, body.data != NULL ? body.data : "", body.length);
            responds = kit_send(fd, out.data, out.length);
        }
        free(body.data);
        free(out.data);
        if (!responds) {
            /* Returns nothing further, and stays open. */
            char byte;

            while (recv(fd, &byte, 1, 0) > 0) {
            }
            break;
        }
    }
    kit_reader_free(&reader);
}

void
kit_store_start(void)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&store_changed, &attributes);
    for (int i = 0; i < KIT_HOSTS_MAX; i++) {
        struct sockaddr_in a;
        socklen_t length = sizeof(a);
        int fd = listen_on("127.0.0.1", 0);

        getsockname(fd, (struct sockaddr *)&a, &length);
        store_ports[i] = ntohs(a.sin_port);
        start_listener(fd, serve_store, (void *)(intptr_t)i);
    }
}

/* ---- workers ---- */

static KitWorker workers[KIT_WORKERS_MAX];
static int worker_count;

static bool
serve_health(const KitWorker *this, int fd)
{
    char text[256];

    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAgatecrank-Instance-Id: %s\r\n"
             "Agatecrank-Server-Load: 0,0,%d,100\r\nContent-Length: 0\r\n\r\n",
             this->id, this->slots);
    return kit_send(fd, text, strlen(text));
}

static bool
refuse_foreign(const KitWorker *this, int fd, const KitMessage *request)
{
    char text[256];
    const char *target = kit_field(request, "agatecrank-target-instance");

    if (target[0] == '\0' || strcmp(target, this->id) == 0) {
        return false;
    }
    snprintf(text, sizeof(text),
             "HTTP/1.1 421 Misdirected Request\r\nAgatecrank-Instance-Id: "
             "%s\r\nAgatecrank-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
             this->id, kit_field(request, "agatecrank-attempt-id"));
    kit_send(fd, text, strlen(text));
    return true;
}

static void
serve_worker(int fd, void *user)
{
    KitWorker *this = user;
    KitMessage request;
    KitReader reader;
    bool open = true;

    kit_reader_init(&reader, fd);
    while (open && kit_read(&reader, &request, false, kit_now() + 3600)) {
        if (strncmp(request.head, "GET /health ", 12) == 0) {
            open = serve_health(this, fd);
        }
        else if (!refuse_foreign(this, fd, &request)) {
            open = this->handler(this, fd, &request);
        }
        kit_free(&request);
    }
    kit_reader_free(&reader);
}

KitWorker *
kit_worker_start(const char *service, const char *zone, int slots,
                 KitWorkerHandler *handler)
{
    KitWorker *this = &workers[worker_count];
    char *address = format_address(WORKER_ADDRESS + worker_count);
    int fd = listen_on(address, WORKER_PORT);

    if (fd < 0) {
        kit_end(2);
    }
    *this = (KitWorker){.index = worker_count++,
                        .port = WORKER_PORT,
                        .service = service,
                        .zone = zone,
                        .slots = slots,
                        .handler = handler};
    snprintf(this->address, sizeof(this->address), "%s", address);
    snprintf(this->id, sizeof(this->id), "i-%04x%04x",
             (unsigned)rand() & 0xffff, (unsigned)this->index);
    free(address);
    start_listener(fd, serve_worker, this);
    return this;
}

void
kit_worker_register(KitWorker *this, const char *state, int sequence)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\","
             "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},\"status\":{"
             "\"state\":\"%s\",\"seqNo\":%d,\"warmupLeftS\":0}}",
             this->address, this->port, this->service, this->zone, this->slots,
             state, sequence);
    kit_store_put("keyed.servers", this->id, text);
}

/* ---- hosts ---- */

static pid_t host_pids[KIT_HOSTS_MAX];
static char *host_addresses[KIT_HOSTS_MAX];

const char *
kit_host_address(int host)
{
    if (host_addresses[host] == NULL) {
        host_addresses[host] = format_address(10 + host);
    }
    return host_addresses[host];
}

static void
write_settings(const char *path, int host, const char *zone,
               const char *bounds)
{
    const char *ip = kit_host_address(host);
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        kit_end(2);
    }
    fprintf(file,
            "[host]\nid = \"edge-%s-%d\"\ndomain = \"%s\"\n"
            "region = \"tunis\"\n[gateway]\ncallers = \"%s:%d\"\n"
            "readiness = \"%s:%d\"\nmetrics = \"%s:%d\"\nrelay = \"%s:%d\"\n"
            "store = \"127.0.0.1:%d\"\nlink_mbps = 1000.0\nmemory_mb = 260\n"
            "descriptors_max = 4100\nseeds = [\"%s:8166\"]\n"
            "first_start = true\n[bounds]\n%s",
            zone, host, zone, ip, KIT_CALLER_PORT, ip, READY_PORT, ip,
            METRICS_PORT, ip, RELAY_PORT, store_ports[host],
            kit_host_address(0), bounds);
    fclose(file);
}

void
kit_host_start(int host, const char *zone, const char *bounds)
{
    char settings[512], log[512], program[512], variable[600];
    char *arguments[] = {program, NULL};
    char *environment[] = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp", NULL};
    FILE *file;
    int started_program[2];
    char byte;

    snprintf(settings, sizeof(settings), "%s/host-%d.toml", work, host);
    snprintf(log, sizeof(log), "%s/host-%d.log", work, host);
    snprintf(program, sizeof(program),
             "%s/%s/packages/agatecrankd/agatecrankd", repo,
             getenv("BUILD") != NULL ? getenv("BUILD") : "target");
    snprintf(variable, sizeof(variable), "AGATECRANK_NODE_FILE=%s", settings);
    write_settings(settings, host, zone, bounds);
    if (pipe2(started_program, O_CLOEXEC) < 0) {
        kit_end(2);
    }
    host_pids[host] = fork();
    if (host_pids[host] == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        dup2(fd, 1);
        dup2(fd, 2);
        if (chdir(repo) < 0) {
            _exit(127);
        }
        execve(program, arguments, environment);
        _exit(127);
    }
    /* Ends when the program has replaced the child's copy of this one. */
    close(started_program[1]);
    while (read(started_program[0], &byte, 1) > 0) {
    }
    close(started_program[0]);
    snprintf(log, sizeof(log), "%s/host-%d.pid", work, host);
    file = fopen(log, "w");
    if (file != NULL) {
        fprintf(file, "%d\n", (int)host_pids[host]);
        fclose(file);
    }
    kit_record("host %d started", host);
}

pid_t
kit_host_pid(int host)
{
    return host_pids[host];
}

void
kit_host_signal(int host, int number)
{
    kit_record("host %d signal %d", host, number);
    kill(host_pids[host], number);
}

bool
kit_host_is_running(int host)
{
    int status;

    return host_pids[host] > 0 &&
           waitpid(host_pids[host], &status, WNOHANG) == 0;
}

bool
kit_host_is_ready(int host, double timeout_s)
{
    KitMessage answer = kit_call(
        kit_host_address(host), READY_PORT,
        "GET /agatecrank/readiness HTTP/1.1\r\nHost: ready\r\nConnection: "
        "close\r\n\r\n",
        timeout_s);
    bool ready = answer.complete && answer.status == 200;

    kit_free(&answer);
    return ready;
}

bool
kit_hosts_wait_ready(int count, double timeout_s)
{
    double until = kit_now() + timeout_s;

    for (int i = 0; i < count; i++) {
        while (!kit_host_is_ready(i, 0.5)) {
            if (kit_now() > until) {
                kit_record("host %d is not ready", i);
                return false;
            }
            kit_sleep(0.05);
        }
    }
    return true;
}

void
kit_end(int code)
{
    for (int i = 0; i < KIT_HOSTS_MAX; i++) {
        if (host_pids[i] > 0) {
            kill(host_pids[i], SIGKILL);
            waitpid(host_pids[i], NULL, 0);
        }
    }
    kit_record("exit %d", code);
    _exit(code);
}
