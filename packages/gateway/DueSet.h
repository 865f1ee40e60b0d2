#ifndef AGATECRANK_GATEWAY_DUESET_H
#define AGATECRANK_GATEWAY_DUESET_H

#include <stdbool.h>

#include "Clock.h"

/** typedef DueSet - a set of entries ordered by due time */
typedef struct DueSet_ DueSet;

/**
 * struct DueEntry_ - embedded in the owner; zero while it is not in the set
 */
typedef struct DueEntry_ {
    Micros due;
    uint64_t order; /* breaks ties, by order of insertion */
    bool in_set;
} DueEntry;

/** DUE_OWNER() - the @type that contains @entry as its member @field */
#define DUE_OWNER(entry, type, field)                                         \
    ((type *)(void *)((char *)(entry)-offsetof(type, field)))

/** DueSet_Create() - an empty set */
DueSet *DueSet_Create(void);

/** DueSet_Destroy() - release the set but not the entries; NULL is allowed */
void DueSet_Destroy(DueSet *this);

/** DueSet_Set() - add or move @entry; a negative @due removes it */
void DueSet_Set(DueSet *this, DueEntry *entry, Micros due);

/** DueSet_First() - the entry with the earliest due time, or NULL */
DueEntry *DueSet_First(const DueSet *this);

/** DueSet_NextTime() - the earliest due time, or -1 if the set is empty */
Micros DueSet_NextTime(const DueSet *this);

#endif
