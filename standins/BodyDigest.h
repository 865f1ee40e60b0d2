#ifndef AGATECRANK_STANDINS_BODYDIGEST_H
#define AGATECRANK_STANDINS_BODYDIGEST_H

#include "Str.h"

#define BODY_DIGEST_HEX 65

/**
 * typedef BodyDigest - SHA-256 of a body that arrives in pieces, and whether
 * it contains a marker; the body itself is not kept
 */
typedef struct BodyDigest_ BodyDigest;

/** BodyDigest_Create() - @marker is copied; empty for none */
BodyDigest *BodyDigest_Create(const char *marker);

/** BodyDigest_Destroy() - release it */
void BodyDigest_Destroy(BodyDigest *this);

/** BodyDigest_Add() - next piece */
void BodyDigest_Add(BodyDigest *this, Str piece);

/** BodyDigest_Finish() - write the digest as zero-terminated lower hex */
void BodyDigest_Finish(BodyDigest *this, char hex[BODY_DIGEST_HEX]);

/** BodyDigest_HasMarker() - true if the marker was in the pieces so far */
bool BodyDigest_HasMarker(const BodyDigest *this);

#endif
