#ifndef AGATECRANK_CORE_SHAREDITEM_H
#define AGATECRANK_CORE_SHAREDITEM_H

#include <stdbool.h>

#include "Clock.h"
#include "Quarantine.h"
#include "Str.h"

/** enum SharedKind_ - kinds of shared items, in order of priority */
typedef enum SharedKind_ {
    SHARED_DRAIN,
    SHARED_FINGERPRINT,
    SHARED_CONFIG_OFFSET,
    SHARED_USAGE,
    SHARED_SUSPECT,
    SHARED_KIND_COUNT
} SharedKind;

/**
 * struct SharedItem_ - observation of one host, disseminated to all hosts
 * @host: origin of the item; set by Membership_Share()
 * @incarnation: of the origin; set by Membership_Share()
 * @age: time since the observation, in microseconds
 * @drain: an upstream started or ended a drain
 * @suspect: the origin avoids an upstream, or no longer does
 * @fingerprint: a request that crashes upstreams, see struct QuarantineItem_
 * @config: newest configuration offset that the origin knows
 * @usage: demand of a line, or the level of a service if @usage.line is
 *         empty, see struct UsageItem_
 *
 * Objects are identified by name, as indexes are local to a host.
 */
typedef struct SharedItem_ {
    SharedKind kind;
    Str host;
    uint64_t incarnation;
    Micros age;
    union {
        struct {
            Str upstream;
            bool ended; /* accepts new requests again */
        } drain;
        struct {
            Str upstream;
            bool ended;
        } suspect;
        struct {
            Str line;
            uint64_t high, low;
            uint32_t losses;
            Str upstreams[QUARANTINE_LOSS_THRESHOLD];
            bool released;
        } fingerprint;
        struct {
            uint64_t offset;
        } config;
        struct {
            Str service;
            Str line;
            float usage, effective, caller_level;
        } usage;
    };
} SharedItem;

/** SharedKind_MaxAge() - age at which an item of @kind expires */
Micros SharedKind_MaxAge(SharedKind kind);

/** SHARED_STRINGS_MAX - strings of one item */
#define SHARED_STRINGS_MAX (2 + QUARANTINE_LOSS_THRESHOLD)

/** struct SharedStrings_ - pointers to the strings of an item */
typedef struct SharedStrings_ {
    Str *strings[SHARED_STRINGS_MAX];
    size_t count;
} SharedStrings;

/** SharedItem_Strings() - the strings of @item, the origin's id first */
SharedStrings SharedItem_Strings(SharedItem *item);

/**
 * SharedItem_Key() - hash that is equal for versions of the same item
 *
 * Usage is kept for each origin; items of other kinds about the same object
 * replace each other whatever their origin.
 */
uint64_t SharedItem_Key(const SharedItem *item);

/** SharedItem_SameContent() - true if two versions of an item carry the same
 * state; always false for usage */
bool SharedItem_SameContent(const SharedItem *a, const SharedItem *b);

/** SharedItem_IsValid() - true if its names and numbers are within the limits
 * of the wire format */
bool SharedItem_IsValid(const SharedItem *item);

#endif
