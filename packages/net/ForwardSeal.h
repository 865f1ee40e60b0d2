#ifndef AGATECRANK_NET_FORWARDSEAL_H
#define AGATECRANK_NET_FORWARDSEAL_H

#include "BodyBuffer.h"
#include "HeaderList.h"
#include "RosterEntry.h"

/** Header field of a seal, in requests and responses */
#define FORWARD_FIELD "agatecrank-forward"

/** The same of a forwarded request: version of the routes by which its sender
 * takes it */
#define FORWARD_VERSION_FIELD "agatecrank-routes-version"

/** Beginning of the reason in a seal if the upstream says that it leaves */
#define FORWARD_LEAVING "leaving-"

/** FORWARD_MAC_KEY_BYTES - size of the key of a seal */
#define FORWARD_MAC_KEY_BYTES 32
/** FORWARD_MAC_BYTES - size of a seal, an HMAC-SHA256 */
#define FORWARD_MAC_BYTES 32
/** FORWARD_DIGEST_BYTES - size of the digest of a body, SHA-256 */
#define FORWARD_DIGEST_BYTES 32

/**
 * struct ForwardRequestSeal_ - proves which host sent a request, and which one
 *     is to execute it
 * @sender: id of the host that sent it
 * @sender_key: its public key
 * @sequence: never used again with the same pair of keys; not 0
 * @attempts_max: upstreams that it may be sent to; not 0
 * @digest: of the body
 * @mac: over the above, the receiver, method, path and header fields
 *
 * The text is "1 SENDER KEY SEQUENCE ATTEMPTS DIGEST MAC".
 */
typedef struct ForwardRequestSeal_ {
    Str sender;
    uint8_t sender_key[HOST_KEY_BYTES];
    uint64_t sequence;
    uint32_t attempts_max;
    uint8_t digest[FORWARD_DIGEST_BYTES];
    uint8_t mac[FORWARD_MAC_BYTES];
} ForwardRequestSeal;

/**
 * struct ForwardRequestHead_ - what a seal of a request covers beside its body
 * @receiver: id of the host that is to execute it
 * @headers: hop-by-hop fields, content-length and FORWARD_FIELD are not covered
 */
typedef struct ForwardRequestHead_ {
    Str receiver;
    Str method;
    Str path;
    const HeaderList *headers;
} ForwardRequestHead;

/** enum ForwardOutcome - what a response is, as its sender states */
typedef enum ForwardOutcome_ {
    FORWARD_OUTCOME_RELAYED, /* the response of an upstream */
    FORWARD_OUTCOME_NOT_RUN, /* not executed and never will be */
    FORWARD_OUTCOME_UNKNOWN, /* by the host itself; may have been executed */
} ForwardOutcome;

/** ForwardOutcome_Name() - its word in texts and logs */
const char *ForwardOutcome_Name(ForwardOutcome outcome);

/**
 * struct ForwardResponseSeal_ - proves which host sent a response, to which
 *     request
 * @reason: a word; with FORWARD_OUTCOME_RELAYED it is empty, or FORWARD_LEAVING
 *          and the number of the incarnation of the upstream
 * @mac: over the above, the sequence number, the status and the header fields
 *
 * The text is "1 OUTCOME REASON MAC", with "-" for an empty reason.
 */
typedef struct ForwardResponseSeal_ {
    ForwardOutcome outcome;
    Str reason;
    uint8_t mac[FORWARD_MAC_BYTES];
} ForwardResponseSeal;

/** struct ForwardResponseHead_ - what a seal of a response covers */
typedef struct ForwardResponseHead_ {
    uint64_t sequence;
    int status;
    const HeaderList *headers;
} ForwardResponseHead;

/** ForwardSeal_Digest() - SHA-256 of a body; NULL is an empty one */
void ForwardSeal_Digest(const BodyBuffer *body, uint8_t *digest);

/** ForwardSeal_Equal() - compare MACs or digests in constant time */
bool ForwardSeal_Equal(const uint8_t *a, const uint8_t *b, size_t length);

/** ForwardRequestSeal_Parse() - parse a text; returns 0 or ERR_PARSE */
int ForwardRequestSeal_Parse(Str text, ForwardRequestSeal *seal);

/** ForwardRequestSeal_Format() - append the text */
void ForwardRequestSeal_Format(const ForwardRequestSeal *this, GString *out);

/** ForwardRequestSeal_Mac() - compute the MAC that the seal must have */
void ForwardRequestSeal_Mac(const ForwardRequestSeal *this,
                            const ForwardRequestHead *head, const uint8_t *key,
                            uint8_t *mac);

/** ForwardResponseSeal_Parse() - parse a text; returns 0 or ERR_PARSE */
int ForwardResponseSeal_Parse(Str text, ForwardResponseSeal *seal);

/** ForwardResponseSeal_Format() - append the text */
void ForwardResponseSeal_Format(const ForwardResponseSeal *this, GString *out);

/** ForwardResponseSeal_Mac() - compute the MAC that the seal must have */
void ForwardResponseSeal_Mac(const ForwardResponseSeal *this,
                             const ForwardResponseHead *head,
                             const uint8_t *key, uint8_t *mac);

#endif
