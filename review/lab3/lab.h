/* Stand-ins of the third review: the platform's store, workers and clients, as
 * threads of the program of a case; gateway hosts are separate processes. */
#ifndef REVIEW_LAB3_LAB_H
#define REVIEW_LAB3_LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HEAD_MAX 32768

/* ---- time and record ------------------------------------------------- */
double lab_now(void); /* seconds since the start of the program */
void lab_sleep(double seconds);
void lab_record(const char *format, ...) /* a line of record.txt */
    __attribute__((format(printf, 1, 2)));
_Noreturn void lab_unable(const char *what); /* ends hosts, exits with 2 */
bool lab_trouble(void);                      /* false with TROUBLE=0 */

/* ---- messages -------------------------------------------------------- */
typedef struct Message {
    char head[LAB_HEAD_MAX]; /* start line and fields */
    char *body;
    size_t length;
    int status; /* of a response */
} Message;

/* A reader of one connection. */
typedef struct Reader {
    int fd;
    size_t start, end;
    char data[65536];
} Reader;

int lab_read(Reader *reader, Message *message); /* 0, or -1 at the end */
void lab_free(Message *message);
bool lab_field(const Message *message, const char *name, char *out,
               size_t size);
void lab_target(const Message *message, char *method, size_t method_size,
                char *path, size_t path_size);
int lab_send(int fd, const void *data, size_t length);
int lab_listen(const char *address, uint16_t *port);
int lab_connect(const char *address, uint16_t port);

/* Sends one request on a new connection; returns the status, 0 if there is
 * none within the time. */
int lab_call(const char *address, uint16_t port, const char *text,
             double timeout, Message *answer);

/* ---- store ----------------------------------------------------------- */
typedef enum StoreMode {
    STORE_UP,
    STORE_SILENT, /* reads requests and answers nothing */
} StoreMode;

#define LAB_ENTRIES_MAX 16 /* addresses of the store, one for each host */

uint16_t lab_store_start(int entry);
void lab_store_put(const char *topic, const char *key, const char *value);
void lab_store_mode(int entry, StoreMode mode);

/* ---- workers --------------------------------------------------------- */
typedef struct Worker Worker;
/* Answers the request; returns false to close the connection. */
typedef bool WorkerHandler(Worker *worker, int fd, const Message *request,
                           const char *id);

struct Worker {
    char id[32];
    char service[32];
    char zone[32];
    unsigned slots;
    uint16_t port;
    int fd;
    int64_t born;
    unsigned sequence;
    const char *state;
    WorkerHandler *handler;
    void *user;
    bool beats;
    int running;
};

void lab_worker_start(Worker *worker);
void lab_worker_describe(Worker *worker); /* writes the entry of the store */
/* Sends a response of a worker. */
bool lab_worker_answer(int fd, const char *id, int status, const char *fields,
                       const char *body, size_t length);

/* ---- hosts ----------------------------------------------------------- */
typedef struct Host {
    char name[32];
    char zone[32];
    char address[32];
    uint16_t callers, readiness, metrics, relay;
    pid_t pid;
} Host;

typedef struct HostSettings {
    uint16_t store;
    unsigned memory_mb, descriptors;
    const char *bounds; /* lines of the table [bounds] */
    const char *seeds;  /* "A:P","A:P" */
    bool first_start;
} HostSettings;

void lab_host_init(Host *host, unsigned number, const char *zone);
void lab_host_start(Host *host, const HostSettings *settings);
bool lab_host_ready(const Host *host);
void lab_host_wait_ready(const Host *host, double timeout);
bool lab_host_ended(Host *host, int *status);
void lab_host_kill(Host *host);
long lab_host_kb(const Host *host, const char *field); /* of its status */
void lab_end_hosts(void);

#endif
