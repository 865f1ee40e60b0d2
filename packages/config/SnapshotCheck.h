#ifndef AGATECRANK_CONFIG_SNAPSHOTCHECK_H
#define AGATECRANK_CONFIG_SNAPSHOTCHECK_H

#include "ConfigStatePrivate.h"

/**
 * SnapshotCheck_VerifiedSources() - records that this host has verified before
 *
 * Checking a snapshot of the configuration in force then costs no
 * signatures.
 *
 * Return: offset to ConfigSource, both borrowed from @state.
 */
GHashTable *SnapshotCheck_VerifiedSources(const ConfigState *state);

/** SnapshotCheck_References() - every object that is named exists */
int SnapshotCheck_References(const ConfigState *state, Error *error);

/**
 * SnapshotCheck_WouldRevert() - @next lacks a change that it must have
 *
 * True if an object of @now that changed below the offset of @next is older
 * in @next, or missing without a later deletion. @next may be older.
 */
bool SnapshotCheck_WouldRevert(const ConfigState *now,
                               const ConfigState *next);

#endif
