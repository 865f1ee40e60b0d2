#ifndef AGATECRANK_CONFIG_CONFIGCHECK_H
#define AGATECRANK_CONFIG_CONFIGCHECK_H

#include "ConfigStatePrivate.h"

/**
 * ConfigCheck_KnownSources() - records that this host has verified before
 *
 * Checking a snapshot of the configuration in force then costs no
 * signatures.
 *
 * Return: offset to ConfigSource, both borrowed from @state.
 */
GHashTable *ConfigCheck_KnownSources(const ConfigState *state);

/** ConfigCheck_References() - every object that is named exists */
int ConfigCheck_References(const ConfigState *state, Error *error);

/**
 * ConfigCheck_WouldRevert() - @next lacks a change that it must have
 *
 * True if an object of @now that changed below the offset of @next is older
 * in @next, or missing without a later deletion. @next may be older.
 */
bool ConfigCheck_WouldRevert(const ConfigState *now, const ConfigState *next);

#endif
