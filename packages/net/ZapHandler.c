#include "ZapHandler.h"

#include <glib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
/* Frames of a ZAP request with the CURVE mechanism (ZeroMQ RFC 27). */
#define ZAP_FRAMES_MAX 8
#define ZAP_FRAME_BYTES_MAX 256
#define ZAP_REQUEST_ID_FRAME 1
#define ZAP_DOMAIN_FRAME 2
#define ZAP_MECHANISM_FRAME 5
#define ZAP_CREDENTIALS_FRAME 6

struct ZapHandler_ {
    void *socket;
    const PeerKeys *keys;
    EventLog *log;
    uint64_t accepted;
    uint64_t denied;
};

typedef struct ZapRequest_ {
    char frames[ZAP_FRAMES_MAX][ZAP_FRAME_BYTES_MAX];
    int lengths[ZAP_FRAMES_MAX];
    int count;
} ZapRequest;

ZapHandler *
ZapHandler_Create(void *context, const PeerKeys *keys, EventLog *log,
                  Error *error)
{
    ZapHandler *this = g_new0(ZapHandler, 1);
    int linger = 0;

    this->keys = keys;
    this->log = log;
    this->socket = zmq_socket(context, ZMQ_REP);
    if (this->socket == NULL || zmq_bind(this->socket, ZAP_ENDPOINT) != 0) {
        Error_Set(error, ERR_IO, "peer-gate", STR(""),
                  "could not start the ZAP handler: %s",
                  zmq_strerror(zmq_errno()));
        ZapHandler_Destroy(this);
        return NULL;
    }
    zmq_setsockopt(this->socket, ZMQ_LINGER, &linger, sizeof(linger));
    return this;
}

void
ZapHandler_Destroy(ZapHandler *this)
{
    if (this == NULL) {
        return;
    }
    if (this->socket != NULL) {
        zmq_close(this->socket);
    }
    g_free(this);
}

void *
ZapHandler_Socket(const ZapHandler *this)
{
    return this->socket;
}

uint64_t
ZapHandler_Accepted(const ZapHandler *this)
{
    return this->accepted;
}

uint64_t
ZapHandler_Denied(const ZapHandler *this)
{
    return this->denied;
}

static bool
has_request(const ZapHandler *this)
{
    int events = 0;
    size_t size = sizeof(events);

    return zmq_getsockopt(this->socket, ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN) != 0;
}

/* Returns false if there is no request. */
static bool
read_request(void *zap, ZapRequest *request)
{
    int more = 1;
    size_t size = sizeof(more);

    request->count = 0;
    while (more) {
        char frame[ZAP_FRAME_BYTES_MAX];
        int length = zmq_recv(zap, frame, sizeof(frame), ZMQ_DONTWAIT);

        if (length < 0) {
            return false;
        }
        if (request->count < ZAP_FRAMES_MAX) {
            request->lengths[request->count] =
                MIN(length, ZAP_FRAME_BYTES_MAX);
            memcpy(request->frames[request->count], frame,
                   (size_t)request->lengths[request->count]);
        }
        request->count++;
        zmq_getsockopt(zap, ZMQ_RCVMORE, &more, &size);
    }
    return true;
}

static bool
frame_is(const ZapRequest *request, int frame, const char *text)
{
    return Str_Equal(
        (Str){request->frames[frame], (size_t)request->lengths[frame]},
        Str_FromC(text));
}

static bool
is_allowed(const ZapHandler *this, const ZapRequest *request)
{
    return request->count > ZAP_CREDENTIALS_FRAME &&
           frame_is(request, 0, ZAP_VERSION) &&
           frame_is(request, ZAP_DOMAIN_FRAME, PEER_ZAP_DOMAIN) &&
           frame_is(request, ZAP_MECHANISM_FRAME, "CURVE") &&
           request->lengths[ZAP_CREDENTIALS_FRAME] == PEER_KEY_BYTES &&
           PeerKeys_Allows(
               this->keys,
               (const uint8_t *)request->frames[ZAP_CREDENTIALS_FRAME]);
}

static void
send_reply(ZapHandler *this, const ZapRequest *request)
{
    bool allowed = is_allowed(this, request);
    const char *status = allowed ? "200" : "400";
    const char *text = allowed ? "OK" : "not allowed";
    int id_length =
        request->count > ZAP_REQUEST_ID_FRAME ? request->lengths[1] : 0;

    this->accepted += allowed;
    this->denied += !allowed;
    zmq_send(this->socket, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
    zmq_send(this->socket, request->frames[ZAP_REQUEST_ID_FRAME],
             (size_t)id_length, ZMQ_SNDMORE);
    zmq_send(this->socket, status, 3, ZMQ_SNDMORE);
    zmq_send(this->socket, text, strlen(text), ZMQ_SNDMORE);
    zmq_send(this->socket, "", 0, ZMQ_SNDMORE);
    zmq_send(this->socket, "", 0, 0);
    if (!allowed && EventLog_Begin(this->log, LOG_LEVEL_INFO, "peer-denied")) {
        EventLog_Int(this->log, "denied", (int64_t)this->denied);
        EventLog_End(this->log);
    }
}

void
ZapHandler_ProcessRequests(ZapHandler *this)
{
    ZapRequest request;

    while (has_request(this) && read_request(this->socket, &request)) {
        send_reply(this, &request);
    }
}
