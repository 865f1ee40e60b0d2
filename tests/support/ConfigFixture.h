#ifndef AGATECRANK_TESTS_CONFIGFIXTURE_H
#define AGATECRANK_TESTS_CONFIGFIXTURE_H

#include "ConfigState.h"

/* Keys by number: 0 is the bootstrap key of the operator "root". */
#define KEY_ROOT 0
#define KEY_A 1
#define KEY_B 2
#define KEY_OTHER 3

/** Fixture_Options() - options with the bootstrap key; static memory */
ConfigOptions Fixture_Options(void);

/** Fixture_PublicKey() - base64 of public key @number; g_free() it */
char *Fixture_PublicKey(uint32_t number);

/**
 * Fixture_FirstDocument() - operators root ("*"), op-a (line a) and op-b
 * (line b), service svc, and for each line 2 callers and 2 selectors
 *
 * Return: text that the caller releases with g_free().
 */
char *Fixture_FirstDocument(void);

/** Fixture_Sign() - write a signed envelope to @record */
void Fixture_Sign(GString *record, const char *id, const char *author,
                  uint32_t key, uint64_t base, const char *document);

/** Fixture_Apply() - sign and apply at the next offset */
ConfigOutcome Fixture_Apply(ConfigState *state, const char *id,
                            const char *author, uint32_t key, uint64_t base,
                            const char *document, ConfigVerdict *verdict);

/** Fixture_Create() - a state with the first document applied */
ConfigState *Fixture_Create(const ConfigOptions *options);

/** Fixture_Snapshot() - a whole snapshot; the caller frees it */
GString *Fixture_Snapshot(const ConfigState *state);

/** Fixture_FixDigest() - make the last line of a changed snapshot right */
void Fixture_FixDigest(GString *snapshot);

#endif
