#ifndef AGATECRANK_STANDINS_PATTERN_H
#define AGATECRANK_STANDINS_PATTERN_H

#include "Str.h"

/**
 * Pattern_Fill() - bytes of the answer that belongs to a request id
 * @seed: Pattern_Seed() of the id
 * @offset: place of the first byte in the whole answer
 *
 * Every place can be computed on its own, so an answer of any size is
 * written and checked in pieces.
 */
void Pattern_Fill(uint64_t seed, uint64_t offset, char *out, size_t length);

/** Pattern_Matches() - true if @bytes are those at @offset */
bool Pattern_Matches(uint64_t seed, uint64_t offset, Str bytes);

/** Pattern_Seed() - seed for a request id */
uint64_t Pattern_Seed(Str request_id);

#endif
