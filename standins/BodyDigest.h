#ifndef AGATECRANK_STANDINS_BODYDIGEST_H
#define AGATECRANK_STANDINS_BODYDIGEST_H

#include "Str.h"

#define BODY_DIGEST_HEX_BYTES 65

/**
 * typedef BodyDigest - SHA-256 of a body that is received in pieces
 *
 * Also searches the body for a marker. The body itself is not stored.
 */
typedef struct BodyDigest_ BodyDigest;

/** BodyDigest_Create() - search for @marker, empty for none; copied */
BodyDigest *BodyDigest_Create(const char *marker);

/** BodyDigest_Destroy() - free the digest */
void BodyDigest_Destroy(BodyDigest *this);

/** BodyDigest_Add() - add the next piece of the body */
void BodyDigest_Add(BodyDigest *this, Str piece);

/** BodyDigest_Finish() - write the digest as a string of lower-case hex */
void BodyDigest_Finish(BodyDigest *this, char hex[BODY_DIGEST_HEX_BYTES]);

/** BodyDigest_HasMarker() - true if the pieces so far contain the marker */
bool BodyDigest_HasMarker(const BodyDigest *this);

#endif
