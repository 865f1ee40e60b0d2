#ifndef AGATECRANK_CONFIG_CONFIGHISTORY_H
#define AGATECRANK_CONFIG_CONFIGHISTORY_H

#include <glib.h>

#include "ConfigState.h"

/** HISTORY_TEXT_BYTES_MAX - bytes of a reason that are kept */
#define HISTORY_TEXT_BYTES_MAX 2048

/**
 * struct HistoryItem_ - outcome of one publication of an operator
 * @hash: hash of @id
 * @offset: offset of its record in the config stream
 * @id: id that the operator gave to the publication
 * @text: why it was rejected; NULL if it was accepted, and for all items
 *        of a history that was loaded from a snapshot
 */
typedef struct HistoryItem_ {
    uint64_t hash;
    uint64_t offset;
    ConfigOutcome outcome;
    char id[CONFIG_NAME_MAX + 1];
    char *text;
} HistoryItem;

/**
 * typedef ConfigHistory - the most recent outcomes of one operator
 *
 * Each operator has a history of its own, so that one operator cannot evict
 * the items of another. A publication whose base is below
 * ConfigHistory_MinBase() is rejected: its id may have been evicted, and a
 * replayed copy of an old signed record must not be applied again.
 */
typedef struct ConfigHistory_ ConfigHistory;

/**
 * ConfigHistory_Create() - create an empty history
 * @limit: number of items kept
 * @min_base: initial value of ConfigHistory_MinBase()
 */
ConfigHistory *ConfigHistory_Create(size_t limit, uint64_t min_base);

/** ConfigHistory_Destroy() - free the history; NULL is accepted */
void ConfigHistory_Destroy(ConfigHistory *this);

/** ConfigHistory_Clone() - create an independent copy */
ConfigHistory *ConfigHistory_Clone(const ConfigHistory *this);

/**
 * ConfigHistory_Add() - add the outcome of a publication
 * @text: why it was rejected; may be empty
 *
 * If the history is full, evicts the oldest item and raises
 * ConfigHistory_MinBase() above the offset of that item.
 */
void ConfigHistory_Add(ConfigHistory *this, Str id, uint64_t offset,
                       ConfigOutcome outcome, Str text);

/** ConfigHistory_Find() - item of the publication @id, or NULL */
const HistoryItem *ConfigHistory_Find(const ConfigHistory *this, Str id);

/** ConfigHistory_MinBase() - lowest base of an acceptable publication */
uint64_t ConfigHistory_MinBase(const ConfigHistory *this);

/** ConfigHistory_Get() - item @index, counted from the oldest, or NULL */
const HistoryItem *ConfigHistory_Get(const ConfigHistory *this, size_t index);

#endif
