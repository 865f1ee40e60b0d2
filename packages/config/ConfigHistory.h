#ifndef AGATECRANK_CONFIG_CONFIGHISTORY_H
#define AGATECRANK_CONFIG_CONFIGHISTORY_H

#include <glib.h>

#include "ConfigState.h"

/** HISTORY_TEXT_BYTES_MAX - bytes kept of the text of a refusal */
#define HISTORY_TEXT_BYTES_MAX 2048

/**
 * struct HistoryItem_ - verdict on one publication of an operator
 * @text: of a refusal, NULL for the rest and after loading a snapshot
 */
typedef struct HistoryItem_ {
    uint64_t hash;
    uint64_t offset;
    ConfigOutcome outcome;
    char id[CONFIG_NAME_MAX + 1];
    char *text;
} HistoryItem;

/**
 * typedef ConfigHistory - the last verdicts of one operator
 *
 * Each operator has its own, so that none can push another's out. A
 * publication whose base lies below the floor is refused: its id may have
 * been forgotten, and a copy of an old signed record must not count anew.
 */
typedef struct ConfigHistory_ ConfigHistory;

/** ConfigHistory_Create() - empty; keeps @limit items */
ConfigHistory *ConfigHistory_Create(size_t limit, uint64_t floor);

/** ConfigHistory_Destroy() - release the history */
void ConfigHistory_Destroy(ConfigHistory *this);

/** ConfigHistory_Clone() - independent copy */
ConfigHistory *ConfigHistory_Clone(const ConfigHistory *this);

/** ConfigHistory_Add() - add a verdict; the oldest may raise the floor */
void ConfigHistory_Add(ConfigHistory *this, Str id, uint64_t offset,
                       ConfigOutcome outcome, Str text);

/** ConfigHistory_Find() - verdict on @id, or NULL */
const HistoryItem *ConfigHistory_Find(const ConfigHistory *this, Str id);

/** ConfigHistory_MinBase() - least base that is still accepted */
uint64_t ConfigHistory_MinBase(const ConfigHistory *this);

/** ConfigHistory_Get() - item @index from the oldest on, or NULL */
const HistoryItem *ConfigHistory_Get(const ConfigHistory *this, size_t index);

#endif
