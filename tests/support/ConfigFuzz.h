#ifndef AGATECRANK_TESTS_CONFIGFUZZ_H
#define AGATECRANK_TESTS_CONFIGFUZZ_H

#include <stdint.h>

/**
 * ConfigFuzz_Run() - feed mutated valid inputs to each decoder
 * @rounds: number of mutated inputs of each kind
 *
 * Covers settings, documents, publications, snapshots and snapshot chunks. A
 * failure ends the process through a sanitizer or an assertion.
 *
 * Return: number of inputs.
 */
uint64_t ConfigFuzz_Run(uint64_t seed, uint32_t rounds);

#endif
