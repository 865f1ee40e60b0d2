#ifndef AGATECRANK_STANDINS_HTTPCONNECTION_H
#define AGATECRANK_STANDINS_HTTPCONNECTION_H

#include "HttpMessage.h"
#include "HttpServer.h"

/* Shared by HttpServer.c, HttpConnection.c and HttpRequest.c only. */

typedef struct HttpConnection_ HttpConnection;

struct HttpServer_ {
    HttpLoop *loop;
    struct lws_vhost *vhost;
    struct lws *listener; /* NULL while paused */
    int listen_fd;
    struct lws_protocols protocols[2];
    const HttpHandlers *handlers;
    void *user;
    GHashTable *connections; /* HttpConnection -> itself */
    uint64_t opened;
    uint32_t peak;
    Micros idle; /* time after which an idle connection is closed, 0: never */
    uint64_t malformed;
    int port;
};

struct HttpConnection_ {
    HttpServer *server;
    struct lws *wsi;
    HttpRequest *request;
    GString *input; /* bytes of the next requests */
    Timer idle;     /* runs while there is neither request nor input */
    bool silent;    /* reads, but never takes a request or answers */
    bool kill;      /* to be closed without more output */
    bool closing;   /* to be closed once the output is sent */
};

struct HttpRequest_ {
    HttpConnection *connection;
    GString *head;
    HttpMessage message;
    char *method;
    char *path;
    char *query;
    uint64_t received;
    void *data;
    Timer timer;
    void (*callback)(void *user, HttpRequest *request);
    GString *answer_head;
    GBytes *body;
    uint64_t announced;
    uint64_t send;
    uint64_t sent;
    HttpBodyWriter *fill;
    void *fill_user;
    bool completed;
    bool answering;
    bool head_sent;
    bool close;
};

/** HttpConnection_Create() - state of an accepted connection */
HttpConnection *HttpConnection_Create(HttpServer *server, struct lws *wsi);

/** HttpConnection_Destroy() - the connection closed */
void HttpConnection_Destroy(HttpConnection *this);

/** HttpConnection_OnBytes() - bytes came in; -1 closes the connection */
int HttpConnection_OnBytes(HttpConnection *this, Str bytes);

/** HttpConnection_OnWriteable() - more can be sent; -1 closes */
int HttpConnection_OnWriteable(HttpConnection *this);

/** HttpRequest_Create() - @message was parsed from the start of @bytes */
HttpRequest *HttpRequest_Create(HttpConnection *connection, Str bytes);

/** HttpRequest_Destroy() - tell the program and release */
void HttpRequest_Destroy(HttpRequest *this, bool answered);

#endif
