#ifndef AGATECRANK_WIRE_PEERMESSAGE_H
#define AGATECRANK_WIRE_PEERMESSAGE_H

#include <glib.h>

#include "Error.h"
#include "PeerName.h"
#include "peer.pb-c.h"

/** PEER_VERSION - version of the peer messages that this program writes */
#define PEER_VERSION 1
/** PEER_MESSAGE_MAX_BYTES - longest message, in bytes; a log record and its frame */
#define PEER_MESSAGE_MAX_BYTES (320 * 1024)

/**
 * struct PeerEnvelope_ - who sends a message
 * @deployment: hosts of other deployments drop the message
 * @incarnation: of the host
 */
typedef struct PeerEnvelope_ {
    Str deployment;
    Str host;
    uint64_t incarnation;
} PeerEnvelope;

/** struct PeerMessageCounters_ - messages decoded and dropped, by reason */
typedef struct PeerMessageCounters_ {
    uint64_t accepted;
    uint64_t malformed;        /* not well formed, or without a sender */
    uint64_t oversized;        /* too many bytes, or too much memory needed */
    uint64_t other_version;    /* more than one version away */
    uint64_t other_deployment; /* of another deployment */
    uint64_t unknown_body;     /* of a newer version */
} PeerMessageCounters;

/** typedef PeerMessage - a decoded message; owns the memory of its body */
typedef struct PeerMessage_ PeerMessage;

/** PeerMessage_VersionsCompatible() - true if hosts of the two versions work together */
bool PeerMessage_VersionsCompatible(uint32_t own, uint32_t other);

/**
 * PeerMessage_Decode() - read a message of any sender
 * @deployment: deployment of this host
 * @counters: counts the result
 *
 * Memory is bounded whatever the bytes say.
 *
 * Return: 0 with @message set; ERR_PARSE, ERR_LIMIT, ERR_PROTOCOL (version),
 * ERR_DENIED (other deployment) or ERR_NOT_FOUND (unknown body).
 */
int PeerMessage_Decode(Str bytes, Str deployment, PeerMessage **message,
                       PeerMessageCounters *counters);

/** PeerMessage_Destroy() - release the message; NULL is allowed */
void PeerMessage_Destroy(PeerMessage *this);

/** PeerMessage_Get() - the decoded fields, valid as long as the message */
const Agatecrank__PeerMessage *PeerMessage_Get(const PeerMessage *this);

/** PeerMessage_BodyCase() - which body it has */
Agatecrank__PeerMessage__BodyCase
PeerMessage_BodyCase(const PeerMessage *this);

/** PeerMessage_ToStr() - borrow a field of a decoded message */
Str PeerMessage_ToStr(ProtobufCBinaryData field);

/** PeerMessage_Host() - the host that sent it */
Str PeerMessage_Host(const PeerMessage *this);

/** PeerMessage_Incarnation() - its incarnation */
uint64_t PeerMessage_Incarnation(const PeerMessage *this);

/**
 * PeerMessage_Encode() - replace @out by the bytes of a message
 * @message: body and body case are set; the envelope is filled in here
 *
 * Return: 0, or ERR_LIMIT for more than PEER_MESSAGE_MAX_BYTES bytes.
 */
int PeerMessage_Encode(const PeerEnvelope *envelope,
                       Agatecrank__PeerMessage *message, GString *out);

#endif
