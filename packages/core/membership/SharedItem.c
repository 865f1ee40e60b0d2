#include "SharedItem.h"

#include "Admission.h"
#include "PeerMessage.h"

static const Micros kind_max_ages[SHARED_KIND_COUNT] = {
    [SHARED_DRAIN] = 30 * MICROS_PER_S,
    [SHARED_FINGERPRINT] = 60 * MICROS_PER_S,
    [SHARED_CONFIG_OFFSET] = 60 * MICROS_PER_S,
    [SHARED_USAGE] = ADMISSION_ITEM_MAX_AGE_US,
    [SHARED_SUSPECT] = 10 * MICROS_PER_S,
};

Micros
SharedKind_MaxAge(SharedKind kind)
{
    return kind_max_ages[kind];
}

SharedStrings
SharedItem_Strings(SharedItem *item)
{
    SharedStrings list = {{&item->host}, 1};

    switch (item->kind) {
    case SHARED_DRAIN:
        list.strings[list.count++] = &item->drain.upstream;
        break;
    case SHARED_SUSPECT:
        list.strings[list.count++] = &item->suspect.upstream;
        break;
    case SHARED_FINGERPRINT:
        list.strings[list.count++] = &item->fingerprint.line;
        for (size_t i = 0; i < QUARANTINE_LOSS_THRESHOLD; i++) {
            list.strings[list.count++] = &item->fingerprint.upstreams[i];
        }
        break;
    case SHARED_USAGE:
        list.strings[list.count++] = &item->usage.service;
        list.strings[list.count++] = &item->usage.line;
        break;
    case SHARED_CONFIG_OFFSET:
    case SHARED_KIND_COUNT:
        break;
    }
    return list;
}

uint64_t
SharedItem_Key(const SharedItem *item)
{
    uint64_t seed = (uint64_t)item->kind + 1;

    switch (item->kind) {
    case SHARED_DRAIN:
        return Str_HashSeeded(item->drain.upstream, seed);
    case SHARED_SUSPECT:
        return Str_HashSeeded(item->suspect.upstream, seed);
    case SHARED_FINGERPRINT:
        seed = Str_HashSeeded(item->fingerprint.line, seed);
        return seed ^ item->fingerprint.high ^ (item->fingerprint.low * 31);
    case SHARED_USAGE:
        seed = Str_HashSeeded(item->host, seed);
        seed = Str_HashSeeded(item->usage.service, seed);
        return Str_HashSeeded(item->usage.line, seed);
    case SHARED_CONFIG_OFFSET:
    case SHARED_KIND_COUNT:
        break;
    }
    return seed;
}

bool
SharedItem_SameContent(const SharedItem *a, const SharedItem *b)
{
    switch (a->kind) {
    case SHARED_DRAIN:
        return a->drain.ended == b->drain.ended;
    case SHARED_SUSPECT:
        return a->suspect.ended == b->suspect.ended;
    case SHARED_FINGERPRINT:
        return a->fingerprint.losses == b->fingerprint.losses &&
               a->fingerprint.released == b->fingerprint.released;
    case SHARED_CONFIG_OFFSET:
        return a->config.offset == b->config.offset;
    case SHARED_USAGE:
    case SHARED_KIND_COUNT:
        break;
    }
    return false;
}

static bool
is_valid_text(Str text, size_t max)
{
    if (text.length == 0 || text.length > max) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        if (text.data[i] <= ' ' || text.data[i] > '~') {
            return false;
        }
    }
    return true;
}

bool
SharedItem_IsValid(const SharedItem *item)
{
    switch (item->kind) {
    case SHARED_DRAIN:
        return is_valid_text(item->drain.upstream, PEER_NAME_MAX);
    case SHARED_SUSPECT:
        return is_valid_text(item->suspect.upstream, PEER_NAME_MAX);
    case SHARED_FINGERPRINT:
        for (size_t i = 0; i < QUARANTINE_LOSS_THRESHOLD; i++) {
            if (item->fingerprint.upstreams[i].length > 0 &&
                !is_valid_text(item->fingerprint.upstreams[i],
                               PEER_NAME_MAX)) {
                return false;
            }
        }
        return is_valid_text(item->fingerprint.line, PEER_NAME_MAX) &&
               item->fingerprint.losses <= QUARANTINE_LOSS_THRESHOLD;
    case SHARED_USAGE:
        return is_valid_text(item->usage.service, PEER_NAME_MAX) &&
               (item->usage.line.length == 0 ||
                is_valid_text(item->usage.line, PEER_NAME_MAX));
    case SHARED_CONFIG_OFFSET:
        return true;
    case SHARED_KIND_COUNT:
        break;
    }
    return false;
}
