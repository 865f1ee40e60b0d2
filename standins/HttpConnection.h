#ifndef AGATECRANK_STANDINS_HTTPCONNECTION_H
#define AGATECRANK_STANDINS_HTTPCONNECTION_H

#include "HttpMessage.h"
#include "HttpServer.h"

/* Private to HttpServer.c, HttpConnection.c and HttpRequest.c. */

typedef struct HttpConnection_ HttpConnection;

struct HttpServer_ {
    HttpLoop *loop;
    struct lws_vhost *vhost;
    struct lws *listener; /* NULL while paused */
    int listen_fd;
    struct lws_protocols protocols[2];
    const HttpHandlers *handlers;
    void *user;
    GHashTable *connections; /* set of HttpConnection */
    uint64_t accepted_connections;
    uint32_t peak_connections;
    Micros idle_timeout; /* of connections; 0: never closed */
    uint64_t malformed_requests;
    int port;
};

struct HttpConnection_ {
    HttpServer *server;
    struct lws *wsi;
    HttpRequest *request; /* current request, or NULL */
    GString *input;       /* bytes received and not parsed yet */
    GString *copy;        /* sent before the next response, or NULL */
    Timer idle_timer;     /* runs while there is neither request nor input */
    bool stalled;         /* input is discarded, nothing is sent */
    bool aborted;         /* to be closed without further output */
    bool closing;         /* to be closed after the pending output */
};

struct HttpRequest_ {
    HttpConnection *connection;
    GString *head;       /* bytes that @message refers to */
    HttpMessage message; /* parsed @head */
    char *method;
    char *path;
    char *query;       /* starts with '&' */
    uint64_t received; /* body bytes */
    void *data;        /* state of the handlers */
    Timer timer;
    void (*on_timer_expired)(void *user, HttpRequest *request);
    GString *response_head;
    GBytes *body;
    uint64_t declared_length; /* content-length of the response */
    uint64_t send_length;     /* body bytes to send */
    uint64_t sent;            /* body bytes sent so far */
    HttpBodyWriter *fill;
    void *fill_user;
    bool completed;  /* the whole body was received */
    bool responding; /* the response was started */
    bool head_sent;
    bool close;   /* the request asks to close the connection */
    bool repeats; /* the response is sent once more, see HttpServer.h */
};

/** HttpConnection_Create() - new object for an accepted connection */
HttpConnection *HttpConnection_Create(HttpServer *server, struct lws *wsi);

/** HttpConnection_Destroy() - free the object of a closed connection */
void HttpConnection_Destroy(HttpConnection *this);

/** HttpConnection_OnBytes() - handle received bytes; -1 to close */
int HttpConnection_OnBytes(HttpConnection *this, Str bytes);

/** HttpConnection_OnWriteable() - send pending output; -1 to close */
int HttpConnection_OnWriteable(HttpConnection *this);

/** HttpRequest_Create() - new request with the head @bytes, which is valid */
HttpRequest *HttpRequest_Create(HttpConnection *connection, Str bytes);

/** HttpRequest_Destroy() - call the handler @released and free the request */
void HttpRequest_Destroy(HttpRequest *this, bool response_sent);

#endif
