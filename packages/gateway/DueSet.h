#ifndef AGATECRANK_GATEWAY_DUESET_H
#define AGATECRANK_GATEWAY_DUESET_H

#include <stdbool.h>

#include "Clock.h"

/** typedef DueSet - things ordered by the time at which they are due */
typedef struct DueSet_ DueSet;

/** struct DueEntry_ - embedded in the thing; zero when it is not in the set */
typedef struct DueEntry_ {
    Micros due;
    uint64_t order; /* of entries with the same time */
    bool listed;
} DueEntry;

/** DUE_OWNER() - the thing of @type that has @entry as its @field */
#define DUE_OWNER(entry, type, field)                                         \
    ((type *)(void *)((char *)(entry)-offsetof(type, field)))

/** DueSet_Create() - an empty set */
DueSet *DueSet_Create(void);

/** DueSet_Destroy() - the entries are not touched; NULL is allowed */
void DueSet_Destroy(DueSet *this);

/** DueSet_Set() - add or move @entry; a negative @due takes it out */
void DueSet_Set(DueSet *this, DueEntry *entry, Micros due);

/** DueSet_First() - the entry that is due first, or NULL */
DueEntry *DueSet_First(const DueSet *this);

/** DueSet_NextTime() - when it is due; -1 if the set is empty */
Micros DueSet_NextTime(const DueSet *this);

#endif
