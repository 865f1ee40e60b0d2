#ifndef AGATECRANK_WIRE_PEERMESSAGE_H
#define AGATECRANK_WIRE_PEERMESSAGE_H

#include <glib.h>

#include "Error.h"
#include "PeerName.h"
#include "peer.pb-c.h"

/** PEER_VERSION - protocol version of the messages that this program sends */
#define PEER_VERSION 1
/**
 * PEER_MESSAGE_MAX_BYTES - longest encoded message
 *
 * Large enough for one record of the log service and its envelope.
 */
#define PEER_MESSAGE_MAX_BYTES (320 * 1024)

/**
 * struct PeerEnvelope_ - sender of a message
 * @deployment: of the sender; hosts of other deployments drop the message
 * @host: id of the sender
 * @incarnation: of the sender
 */
typedef struct PeerEnvelope_ {
    Str deployment;
    Str host;
    uint64_t incarnation;
} PeerEnvelope;

/** struct PeerMessageCounters_ - accepted and dropped messages, by reason */
typedef struct PeerMessageCounters_ {
    uint64_t accepted;
    uint64_t malformed;        /* not decodable, or no valid sender id */
    uint64_t oversized;        /* too long, or needs too much memory */
    uint64_t other_version;    /* incompatible protocol version */
    uint64_t other_deployment; /* sent by a host of another deployment */
    uint64_t unknown_body;     /* of a kind that is unknown here */
} PeerMessageCounters;

/** typedef PeerMessage - decoded message; owns the memory of its fields */
typedef struct PeerMessage_ PeerMessage;

/**
 * PeerMessage_VersionsCompatible() - compare two protocol versions
 *
 * Return: true if they differ by at most one and @other is not 0.
 */
bool PeerMessage_VersionsCompatible(uint32_t own, uint32_t other);

/**
 * PeerMessage_Decode() - decode and check a message from an untrusted sender
 * @deployment: deployment of this host
 * @message: set on success; released by PeerMessage_Destroy()
 * @counters: the counter of the result is incremented
 *
 * The memory is bounded for any input.
 *
 * Return: 0, ERR_PARSE (malformed), ERR_LIMIT (too long or too much memory),
 * ERR_PROTOCOL (incompatible version), ERR_DENIED (other deployment) or
 * ERR_NOT_FOUND (no body of a known kind).
 */
int PeerMessage_Decode(Str bytes, Str deployment, PeerMessage **message,
                       PeerMessageCounters *counters);

/** PeerMessage_Destroy() - release the message; NULL is allowed */
void PeerMessage_Destroy(PeerMessage *this);

/** PeerMessage_Get() - decoded fields; borrowed from the message */
const Agatecrank__PeerMessage *PeerMessage_Get(const PeerMessage *this);

/** PeerMessage_BodyCase() - kind of the message's body */
Agatecrank__PeerMessage__BodyCase
PeerMessage_BodyCase(const PeerMessage *this);

/** PeerMessage_ToStr() - borrow the bytes of a field of a decoded message */
Str PeerMessage_ToStr(ProtobufCBinaryData field);

/** PeerMessage_Host() - id of the host that sent the message */
Str PeerMessage_Host(const PeerMessage *this);

/** PeerMessage_Incarnation() - incarnation of the host that sent it */
uint64_t PeerMessage_Incarnation(const PeerMessage *this);

/**
 * PeerMessage_Encode() - replace @out by the encoded message
 * @envelope: copied to the message for the encoding
 * @message: with its body and body case set
 *
 * Return: 0, or ERR_LIMIT if a name of @envelope has more than PEER_NAME_MAX
 * bytes or the encoded message has more than PEER_MESSAGE_MAX_BYTES.
 */
int PeerMessage_Encode(const PeerEnvelope *envelope,
                       Agatecrank__PeerMessage *message, GString *out);

#endif
