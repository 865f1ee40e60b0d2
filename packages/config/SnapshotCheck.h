#ifndef AGATECRANK_CONFIG_SNAPSHOTCHECK_H
#define AGATECRANK_CONFIG_SNAPSHOTCHECK_H

#include "ConfigStatePrivate.h"

/**
 * SnapshotCheck_VerifiedSources() - records that this host already verified
 *
 * The loader skips the signature check of a record of this table, so checking
 * a snapshot of the configuration in force verifies no signature.
 *
 * Return: map from offset to ConfigSource; keys and values are borrowed from
 * @state.
 */
GHashTable *SnapshotCheck_VerifiedSources(const ConfigState *state);

/**
 * SnapshotCheck_References() - check that all objects referred to exist
 *
 * Return: 0, or ERR_PARSE with @error filled.
 */
int SnapshotCheck_References(const ConfigState *state, Error *error);

/**
 * SnapshotCheck_WouldRevert() - check whether @next lacks a change of @current
 *
 * @next must contain every change below its own offset. @next may have a
 * lower offset than @current.
 *
 * Return: true if an object of @current that changed below the offset of @next
 * has an older version in @next, or is missing there without a later deletion.
 */
bool SnapshotCheck_WouldRevert(const ConfigState *current,
                               const ConfigState *next);

#endif
