#ifndef AGATECRANK_TESTS_CONFIGFIXTURE_H
#define AGATECRANK_TESTS_CONFIGFIXTURE_H

#include "ConfigState.h"

/* Key numbers; 0 is the bootstrap key and belongs to the operator "root". */
#define KEY_ROOT 0
#define KEY_A 1
#define KEY_B 2
#define KEY_OTHER 3

/** Fixture_Options() - options with the bootstrap key, in static memory */
ConfigOptions Fixture_Options(void);

/** Fixture_PublicKey() - base64 of public key @number; free with g_free() */
char *Fixture_PublicKey(uint32_t number);

/**
 * Fixture_FirstDocument() - document of the first publication
 *
 * Defines the operators root ("*"), op-a (line a) and op-b (line b), the
 * service svc, and for each line 2 callers and 2 selectors.
 *
 * Return: text that the caller releases with g_free().
 */
char *Fixture_FirstDocument(void);

/** Fixture_Sign() - replace the content of @record by a signed envelope */
void Fixture_Sign(GString *record, const char *id, const char *author,
                  uint32_t key, uint64_t base, const char *document);

/**
 * Fixture_Apply() - sign a publication and apply it at the next offset
 * @verdict: receives the verdict, may be NULL
 */
ConfigOutcome Fixture_Apply(ConfigState *state, const char *id,
                            const char *author, uint32_t key, uint64_t base,
                            const char *document, ConfigVerdict *verdict);

/** Fixture_Create() - a state to which the first document was applied */
ConfigState *Fixture_Create(const ConfigOptions *options);

/** Fixture_Snapshot() - snapshot of @state, which the caller frees */
GString *Fixture_Snapshot(const ConfigState *state);

/** Fixture_FixDigest() - recompute the digest line of a modified snapshot */
void Fixture_FixDigest(GString *snapshot);

#endif
