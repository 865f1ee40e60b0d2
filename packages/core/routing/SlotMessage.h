#ifndef AGATECRANK_CORE_SLOTMESSAGE_H
#define AGATECRANK_CORE_SLOTMESSAGE_H

#include <stdint.h>

/** enum SlotMessageKind_ - SlotBorrow, or one of the uses of SlotGrant */
typedef enum SlotMessageKind_ {
    SLOT_BORROW, /* requests an idle slot of the service */
    SLOT_GRANT,  /* lends one slot of @upstream */
    SLOT_REFUSE, /* has none to lend */
    SLOT_RETURN, /* returns loan @id */
} SlotMessageKind;

/**
 * struct SlotMessage_ - message of the slot lending protocol between two hosts
 * @peer: key of the host that receives it, or that sent it
 * @id: loan number, assigned by the lender
 */
typedef struct SlotMessage_ {
    SlotMessageKind kind;
    uint64_t peer;
    uint32_t service;
    uint32_t upstream;
    uint64_t id;
} SlotMessage;

#endif
