#include "PeerGate.h"

#include <glib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
/* Frames of a ZAP request with the CURVE mechanism, RFC 27. */
#define ZAP_FRAMES 8
#define ZAP_FRAME_MAX 256
#define ZAP_REQUEST_ID 1
#define ZAP_DOMAIN_FRAME 2
#define ZAP_MECHANISM 5
#define ZAP_CREDENTIALS 6

struct PeerGate_ {
    void *socket;
    const PeerKeys *keys;
    EventLog *log;
    uint64_t accepted;
    uint64_t denied;
};

typedef struct ZapRequest_ {
    char frames[ZAP_FRAMES][ZAP_FRAME_MAX];
    int lengths[ZAP_FRAMES];
    int count;
} ZapRequest;

PeerGate *
PeerGate_Create(void *context, const PeerKeys *keys, EventLog *log,
                Error *error)
{
    PeerGate *this = g_new0(PeerGate, 1);
    int linger = 0;

    this->keys = keys;
    this->log = log;
    this->socket = zmq_socket(context, ZMQ_REP);
    if (this->socket == NULL || zmq_bind(this->socket, ZAP_ENDPOINT) != 0) {
        Error_Set(error, ERR_IO, "peer-gate", STR(""),
                  "could not start authentication: %s",
                  zmq_strerror(zmq_errno()));
        PeerGate_Destroy(this);
        return NULL;
    }
    zmq_setsockopt(this->socket, ZMQ_LINGER, &linger, sizeof(linger));
    return this;
}

void
PeerGate_Destroy(PeerGate *this)
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
PeerGate_Socket(const PeerGate *this)
{
    return this->socket;
}

uint64_t
PeerGate_Accepted(const PeerGate *this)
{
    return this->accepted;
}

uint64_t
PeerGate_Denied(const PeerGate *this)
{
    return this->denied;
}

static bool
has_request(const PeerGate *this)
{
    int events = 0;
    size_t size = sizeof(events);

    return zmq_getsockopt(this->socket, ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN) != 0;
}

/* Return: false if there is no request. */
static bool
read_zap(void *zap, ZapRequest *request)
{
    int more = 1;
    size_t size = sizeof(more);

    request->count = 0;
    while (more) {
        char frame[ZAP_FRAME_MAX];
        int length = zmq_recv(zap, frame, sizeof(frame), ZMQ_DONTWAIT);

        if (length < 0) {
            return false;
        }
        if (request->count < ZAP_FRAMES) {
            request->lengths[request->count] = MIN(length, ZAP_FRAME_MAX);
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
zap_allows(const PeerGate *this, const ZapRequest *request)
{
    return request->count > ZAP_CREDENTIALS &&
           frame_is(request, 0, ZAP_VERSION) &&
           frame_is(request, ZAP_DOMAIN_FRAME, PEER_GATE_DOMAIN) &&
           frame_is(request, ZAP_MECHANISM, "CURVE") &&
           request->lengths[ZAP_CREDENTIALS] == PEER_KEY_BYTES &&
           PeerKeys_Allows(this->keys,
                           (const uint8_t *)request->frames[ZAP_CREDENTIALS]);
}

static void
answer_zap(PeerGate *this, const ZapRequest *request)
{
    bool allowed = zap_allows(this, request);
    const char *status = allowed ? "200" : "400";
    const char *text = allowed ? "OK" : "not allowed";
    int id_length = request->count > ZAP_REQUEST_ID ? request->lengths[1] : 0;

    this->accepted += allowed;
    this->denied += !allowed;
    zmq_send(this->socket, ZAP_VERSION, strlen(ZAP_VERSION), ZMQ_SNDMORE);
    zmq_send(this->socket, request->frames[ZAP_REQUEST_ID], (size_t)id_length,
             ZMQ_SNDMORE);
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
PeerGate_Drain(PeerGate *this)
{
    ZapRequest request;

    while (has_request(this) && read_zap(this->socket, &request)) {
        answer_zap(this, &request);
    }
}
