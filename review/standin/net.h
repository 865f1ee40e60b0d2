/* Blocking HTTP/1.1 helpers of the stand-ins: one thread for each connection. */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_BYTES_MAX 16384

/* Buffered input of a connection. */
typedef struct Stream_ {
    int fd;
    size_t start, end;
    char data[65536];
} Stream;

typedef struct Message_ {
    char head[HEAD_BYTES_MAX]; /* start line and fields, ends in CR LF CR LF */
    char *body;                /* NUL is appended */
    size_t length;
    bool complete; /* the body arrived whole */
} Message;

/** now_s() - steady clock in seconds */
double now_s(void);

/** listen_on() - returns a listening socket; ends the process on an error */
int listen_on(const char *address, int port);

/** connect_to() - returns a socket, or -1 */
int connect_to(const char *address, int port, double timeout_s);

/** send_all() - returns false on an error */
bool send_all(int fd, const void *data, size_t length);

/** send_text() - formatted text of up to 8 KB; returns false on an error */
bool send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/**
 * read_message() - read one message with a body of known length
 * @is_response: without a length, the body ends with the connection
 *
 * Return: false if the connection ended before the head was complete.
 */
bool read_message(Stream *stream, Message *message, bool is_response);

/** read_head_only() - the body stays in the stream */
bool read_head_only(Stream *stream, Message *message);

/** release_message() - free the body */
void release_message(Message *message);

/** field() - value of a header field, or an empty text; valid until reuse */
const char *field(const Message *message, const char *name, char *buffer,
                  size_t size);

/** query() - value of a parameter of the target, or an empty text */
const char *query(const Message *message, const char *name, char *buffer,
                  size_t size);

/** start_thread() - detached */
void start_thread(void *(*run)(void *), void *argument);

#endif
