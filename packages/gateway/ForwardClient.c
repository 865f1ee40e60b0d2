#include "ForwardClient.h"

#include <string.h>

#include "ForwardServer.h"

#define CONNECTIONS_MAX 32
/* Less than the idle timeout of the ForwardServer. */
#define IDLE_TIMEOUT_S 8
#define CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
#define KEEP_ALIVE_S 1

struct ForwardClient_ {
    HttpClient *client;
    HostKeys *keys;
};

ForwardClient *
ForwardClient_Create(Loop *loop, HostKeys *keys)
{
    ForwardClient *this = g_new0(ForwardClient, 1);
    HttpClientOptions options = {
        .max_connections = CONNECTIONS_MAX,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .keep_alive_s = KEEP_ALIVE_S,
        .connect_timeout = CONNECT_TIMEOUT_US,
    };

    this->client = HttpClient_Create(loop, &options);
    this->keys = keys;
    return this;
}

void
ForwardClient_Destroy(ForwardClient *this)
{
    if (this == NULL) {
        return;
    }
    HttpClient_Destroy(this->client);
    g_free(this);
}

static void
add_seal(ForwardClient *this, const HostPeer *peer,
         const ForwardCallSpec *spec, ForwardTicket *ticket)
{
    ForwardRequestHead head = {spec->peer, spec->method, spec->path,
                               spec->headers};
    ForwardRequestSeal seal = {.sender = HostKeys_Host(this->keys),
                               .sequence = HostKeys_NextSequence(this->keys),
                               .attempts_max = spec->attempts_max};
    GString *text = g_string_new(NULL);

    memcpy(seal.sender_key, HostKeys_PublicKey(this->keys), HOST_KEY_BYTES);
    ForwardSeal_Digest(spec->body, seal.digest);
    HeaderList_Remove(spec->headers, STR(FORWARD_FIELD));
    ForwardRequestSeal_Mac(&seal, &head, peer->keys.sent_request, seal.mac);
    ForwardRequestSeal_Format(&seal, text);
    HeaderList_Add(spec->headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_string_free(text, TRUE);
    ticket->sequence = seal.sequence;
    memcpy(ticket->response_key, peer->keys.received_response,
           FORWARD_MAC_KEY_BYTES);
}

HttpCall *
ForwardClient_Start(ForwardClient *this, const ForwardCallSpec *spec,
                    const HttpCallHandlers *handlers, void *user,
                    ForwardTicket *ticket, Error *error)
{
    const HostPeer *peer = HostKeys_Find(this->keys, spec->peer);
    HttpCallSpec call = {
        .method = spec->method,
        .path = spec->path,
        .headers = spec->headers,
        .content_length = (int64_t)BodyBuffer_Length(spec->body),
        .content = spec->body,
        .idle_max = spec->idle_max,
        .match_name = spec->match_name,
        .match_value = spec->match_value,
    };

    if (peer == NULL || call.content_length > FORWARD_BODY_MAX_BYTES) {
        Error_Set(error, peer == NULL ? ERR_NOT_FOUND : ERR_INVALID, "forward",
                  spec->peer,
                  peer == NULL ? "the host is not known"
                               : "the body is too large");
        return NULL;
    }
    add_seal(this, peer, spec, ticket);
    call.address = peer->address.address;
    call.port = peer->address.port;
    return HttpClient_Start(this->client, &call, handlers, user, error);
}

int
ForwardTicket_Check(const ForwardTicket *this, int status,
                    const HeaderList *headers, ForwardResponseSeal *seal)
{
    ForwardResponseHead head = {this->sequence, status, headers};
    uint8_t mac[FORWARD_MAC_BYTES];

    if (ForwardResponseSeal_Parse(HeaderList_Get(headers, STR(FORWARD_FIELD)),
                                  seal) < 0) {
        return ERR_DENIED;
    }
    ForwardResponseSeal_Mac(seal, &head, this->response_key, mac);
    return ForwardSeal_Equal(mac, seal->mac, FORWARD_MAC_BYTES) ? 0
                                                                : ERR_DENIED;
}
