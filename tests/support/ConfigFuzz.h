#ifndef AGATECRANK_TESTS_CONFIGFUZZ_H
#define AGATECRANK_TESTS_CONFIGFUZZ_H

#include <stdint.h>

/** ConfigFuzz_Run() - mutate @rounds valid inputs of each decoder
 *
 * Settings, publications, documents, snapshots and their pieces. Returns the
 * number of inputs; a fault ends the process by a sanitizer or an assertion.
 */
uint64_t ConfigFuzz_Run(uint64_t seed, uint32_t rounds);

#endif
