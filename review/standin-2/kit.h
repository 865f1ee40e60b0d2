/* Small stand-ins for the cases of the second review: the platform's store,
 * workers and clients, as threads of one process, and the hosts as child
 * processes. POSIX only. */
#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_HOSTS_MAX 8
#define KIT_WORKERS_MAX 32

/* ---- time, record and loopback addresses ---- */

double kit_now(void); /* seconds since the start of the program */
void kit_sleep(double seconds);
void kit_sleep_until(double at);
void kit_record(const char *format, ...); /* one line of record.txt */
bool kit_trouble(void);                   /* false with TROUBLE=0 */
_Noreturn void kit_end(int code);         /* ends all hosts, then exits */

/* Reads REPO, WORK and RECORD from the environment and chooses addresses. */
void kit_init(void);

/* ---- HTTP ---- */

typedef struct KitMessage_ {
    char *head; /* start line and fields, with the empty line */
    char *body;
    size_t body_length;
    int status;    /* of a response */
    bool complete; /* the whole message was read */
    bool closed;   /* the peer closed or reset before the end */
} KitMessage;

/* Value of a field, "" if absent; the text is valid until four more calls. */
const char *kit_field(const KitMessage *message, const char *name);
void kit_free(KitMessage *message);

int kit_connect(const char *address, int port, double timeout_s);
bool kit_send(int fd, const void *data, size_t length);

/* Reads a message. Bytes after it stay in the buffer of the descriptor. */
typedef struct KitReader_ {
    int fd;
    char *data;
    size_t length, capacity;
} KitReader;

void kit_reader_init(KitReader *reader, int fd);
void kit_reader_free(KitReader *reader);
/* @response: a message without a length ends with its connection. */
bool kit_read(KitReader *reader, KitMessage *message, bool response,
              double until);

/* A whole call on a new connection. */
KitMessage kit_call(const char *address, int port, const char *request,
                    double timeout_s);

/* ---- store ---- */

typedef enum KitStoreMode_ {
    KIT_STORE_UP,
    KIT_STORE_MUTE, /* no response, not to pending reads either */
} KitStoreMode;

/* The store listens on one port for each host. */
void kit_store_start(void);
void kit_store_set_mode(int host, KitStoreMode mode);
/* Returns the time of the acknowledgement. */
double kit_store_put(const char *topic, const char *key, const char *value);
void kit_store_remove(const char *topic, const char *key);

/* ---- workers ---- */

typedef struct KitWorker_ KitWorker;

/* Called for each request that is not for the health path. Writes the response
 * and returns whether the connection stays open. */
typedef bool KitWorkerHandler(KitWorker *worker, int fd,
                              const KitMessage *request);

struct KitWorker_ {
    int index;
    char id[32];
    char address[32];
    int port;
    const char *service;
    const char *zone;
    int slots;
    KitWorkerHandler *handler;
};

KitWorker *kit_worker_start(const char *service, const char *zone, int slots,
                            KitWorkerHandler *handler);
/* Writes the worker's entry to the store. */
void kit_worker_register(KitWorker *worker, const char *state, int sequence);

/* ---- hosts ---- */

/* @bounds: lines for [bounds] of the settings */
void kit_host_start(int host, const char *zone, const char *bounds);
const char *kit_host_address(int host);
pid_t kit_host_pid(int host);
void kit_host_signal(int host, int number);
bool kit_host_is_running(int host);
/* Returns whether a readiness check was answered with 200 within the time. */
bool kit_host_is_ready(int host, double timeout_s);
bool kit_hosts_wait_ready(int count, double timeout_s);

#define KIT_CALLER_PORT 8161

#endif
