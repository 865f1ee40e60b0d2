#ifndef AGATECRANK_CORE_CLAIMACTIONS_H
#define AGATECRANK_CORE_CLAIMACTIONS_H

#include "Claims.h"

/** typedef ClaimActions - FIFO queue of actions that owns their strings */
typedef struct ClaimActions_ ClaimActions;

ClaimActions *ClaimActions_Create(void);
void ClaimActions_Destroy(ClaimActions *this);

/** ClaimActions_Add() - queue a deep copy of @action */
void ClaimActions_Add(ClaimActions *this, const ClaimAction *action);

/** ClaimActions_Next() - remove the oldest action; false if there is none. Its
 * strings are valid until the next call. */
bool ClaimActions_Next(ClaimActions *this, ClaimAction *action);

/** ClaimActions_Count() - number of queued actions */
size_t ClaimActions_Count(const ClaimActions *this);

#endif
