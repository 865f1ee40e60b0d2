#ifndef AGATECRANK_CORE_SLOTMESSAGE_H
#define AGATECRANK_CORE_SLOTMESSAGE_H

#include <stdint.h>

/** enum SlotMessageKind_ - SlotBorrow or one of the meanings of SlotGrant */
typedef enum SlotMessageKind_ {
    SLOT_BORROW, /* asks for an idle slot of the service */
    SLOT_GRANT,  /* lends one slot of @upstream */
    SLOT_REFUSE, /* has none to lend */
    SLOT_RETURN, /* gives loan @id back */
} SlotMessageKind;

/**
 * struct SlotMessage_ - one step of lending a slot between two hosts
 * @peer: key of the host it goes to or comes from
 * @id: number of the loan, given by the lender
 */
typedef struct SlotMessage_ {
    SlotMessageKind kind;
    uint64_t peer;
    uint32_t service;
    uint32_t upstream;
    uint64_t id;
} SlotMessage;

#endif
