#ifndef AGATECRANK_STANDINS_PATTERN_H
#define AGATECRANK_STANDINS_PATTERN_H

#include "Str.h"

/**
 * Pattern_Fill() - write pseudorandom body bytes
 * @seed: Pattern_Seed() of the request id
 * @offset: offset of the first byte in the body
 *
 * Each byte depends on the seed and its offset only, so that a body of any
 * size can be written and checked in pieces.
 */
void Pattern_Fill(uint64_t seed, uint64_t offset, char *out, size_t length);

/** Pattern_Matches() - true if Pattern_Fill() writes @bytes at @offset */
bool Pattern_Matches(uint64_t seed, uint64_t offset, Str bytes);

/** Pattern_Seed() - seed for a request id */
uint64_t Pattern_Seed(Str request_id);

#endif
