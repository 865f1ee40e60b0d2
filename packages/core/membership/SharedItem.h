#ifndef AGATECRANK_CORE_SHAREDITEM_H
#define AGATECRANK_CORE_SHAREDITEM_H

#include <stdbool.h>

#include "Clock.h"
#include "Quarantine.h"
#include "Str.h"

/** enum SharedKind_ - kinds of shared items, the most urgent first */
typedef enum SharedKind_ {
    SHARED_DRAIN,
    SHARED_FINGERPRINT,
    SHARED_CONFIG_OFFSET,
    SHARED_USAGE,
    SHARED_SUSPECT,
    SHARED_KIND_COUNT
} SharedKind;

/**
 * struct SharedItem_ - something that one host saw and all should know
 * @host: host that saw it; filled in by Membership_Share()
 * @incarnation: of that host; filled in by Membership_Share()
 * @age: time since it was seen, in microseconds
 *
 * Everything is identified by names that are the same on all hosts.
 */
typedef struct SharedItem_ {
    SharedKind kind;
    Str host;
    uint64_t incarnation;
    Micros age;
    union {
        struct {
            Str upstream;
            bool ended; /* it accepts new requests again */
        } drain;
        struct {
            Str upstream;
            bool ended;
        } suspect;
        struct {
            Str line;
            uint64_t high, low;
            uint32_t losses;
            Str upstreams[QUARANTINE_LOSSES];
            bool released;
        } fingerprint;
        struct {
            uint64_t offset;
        } config;
        struct {
            Str service;
            Str line; /* empty: the level of the service */
            float usage, effective, caller_level;
        } usage;
    };
} SharedItem;

/** SharedKind_MaxAge() - age from which an item of the kind has no effect */
Micros SharedKind_MaxAge(SharedKind kind);

/** Most strings of one item */
#define SHARED_STRINGS_MAX (2 + QUARANTINE_LOSSES)

/** struct SharedStrings_ - where an item keeps its strings */
typedef struct SharedStrings_ {
    Str *at[SHARED_STRINGS_MAX];
    size_t count;
} SharedStrings;

/** SharedItem_Strings() - the strings of @item, the host's name first */
SharedStrings SharedItem_Strings(SharedItem *item);

/** SharedItem_Key() - the same for items about the same thing */
uint64_t SharedItem_Key(const SharedItem *item);

/** SharedItem_SameContent() - both say the same of what they are about */
bool SharedItem_SameContent(const SharedItem *a, const SharedItem *b);

/** SharedItem_IsValid() - its names can be sent */
bool SharedItem_IsValid(const SharedItem *item);

#endif
