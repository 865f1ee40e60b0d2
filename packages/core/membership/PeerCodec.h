#ifndef AGATECRANK_CORE_PEERCODEC_H
#define AGATECRANK_CORE_PEERCODEC_H

#include "Admission.h"
#include "Claims.h"
#include "ConfigSync.h"
#include "Gossip.h"
#include "NameTable.h"
#include "PeerMessage.h"
#include "Quarantine.h"
#include "SlotMessage.h"

/** enum PeerNameKind_ - kinds of names that a host maps to dense indexes */
typedef enum PeerNameKind_ {
    PEER_NAME_SERVICE,
    PEER_NAME_UPSTREAM,
    PEER_NAME_LINE,
    PEER_NAME_HOST,
} PeerNameKind;

/**
 * struct PeerNames_ - callbacks that translate local indexes to names and back
 * @name: returns the name of an index; empty if there is none
 * @index: returns the index of a name; NAME_INDEX_NONE if it is unknown
 */
typedef struct PeerNames_ {
    Str (*name)(void *user, PeerNameKind kind, uint32_t index);
    uint32_t (*index)(void *user, PeerNameKind kind, Str name);
    void *user;
} PeerNames;

/*
 * PeerCodec_WriteX() replaces @out by the encoded message and returns 0 or a
 * negative error. PeerCodec_ReadX() fills a plain structure, whose strings are
 * borrowed from the message, and returns 0, ERR_PROTOCOL if the message has
 * another body or a field is out of range, or ERR_NOT_FOUND if a name is
 * unknown to this host.
 */

int PeerCodec_WriteGossip(const PeerEnvelope *envelope, const Gossip *gossip,
                          GString *out);

/**
 * PeerCodec_ReadGossip() - malformed entries and unknown kinds are skipped
 * @skipped: increased by the number of skipped entries; may be NULL
 */
int PeerCodec_ReadGossip(const PeerMessage *message, Gossip *gossip,
                         uint64_t *skipped);

int PeerCodec_WriteFetch(const PeerEnvelope *envelope,
                         const ConfigFetch *fetch, GString *out);
int PeerCodec_ReadFetch(const PeerMessage *message, ConfigFetch *fetch);

/**
 * PeerCodec_WriteChunk() - records beyond the size limit are left out
 *
 * At least one record is written; the receiver fetches the rest.
 */
int PeerCodec_WriteChunk(const PeerEnvelope *envelope,
                         const ConfigChunk *chunk, GString *out);

/** PeerCodec_ReadChunk() - @records is an array of ConfigRecord, overwritten
 */
int PeerCodec_ReadChunk(const PeerMessage *message, ConfigChunk *chunk,
                        GArray *records);

int PeerCodec_WriteSubmit(const PeerEnvelope *envelope,
                          const ClaimSubmit *submit, GString *out);

/** PeerCodec_ReadSubmit() - @claims is an array of Claim, overwritten */
int PeerCodec_ReadSubmit(const PeerMessage *message, ClaimSubmit *submit,
                         GArray *claims);

int PeerCodec_WriteQuery(const PeerEnvelope *envelope,
                         const ClaimOutcomeQuery *query, GString *out);
int PeerCodec_ReadQuery(const PeerMessage *message, ClaimOutcomeQuery *query);

int PeerCodec_WriteReply(const PeerEnvelope *envelope,
                         const ClaimOutcomeReply *reply, GString *out);
int PeerCodec_ReadReply(const PeerMessage *message, ClaimOutcomeReply *reply);

/** PeerCodec_WriteSlot() - the receiver is not encoded */
int PeerCodec_WriteSlot(const PeerEnvelope *envelope,
                        const SlotMessage *message, const PeerNames *names,
                        GString *out);

/** PeerCodec_ReadSlot() - @peer is set to Str_Hash() of the sender's id */
int PeerCodec_ReadSlot(const PeerMessage *message, const PeerNames *names,
                       SlotMessage *slot);

/**
 * PeerCodec_UsageToItem() - convert local indexes to names for the peers
 *
 * Return: 0, or ERR_NOT_FOUND if an index has no name.
 */
int PeerCodec_UsageToItem(const UsageItem *usage, const PeerNames *names,
                          SharedItem *item);

/**
 * PeerCodec_ItemToUsage() - convert names to local indexes
 *
 * Return: 0, ERR_INVALID for an item of another kind, or ERR_NOT_FOUND if a
 * name is unknown to this host.
 */
int PeerCodec_ItemToUsage(const SharedItem *item, const PeerNames *names,
                          UsageItem *usage);

/** PeerCodec_FingerprintToItem() - as PeerCodec_UsageToItem() */
int PeerCodec_FingerprintToItem(const QuarantineItem *quarantine_item,
                                const PeerNames *names, SharedItem *item);

/** PeerCodec_ItemToFingerprint() - as PeerCodec_ItemToUsage(); unknown
 * upstreams are set to NAME_INDEX_NONE */
int PeerCodec_ItemToFingerprint(const SharedItem *item, const PeerNames *names,
                                QuarantineItem *quarantine_item);

#endif
