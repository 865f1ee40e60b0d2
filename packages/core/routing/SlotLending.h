#ifndef AGATECRANK_CORE_SLOTLENDING_H
#define AGATECRANK_CORE_SLOTLENDING_H

#include "UpstreamTable.h"

/**
 * typedef SlotLending - loans of slots to and from peer hosts
 *
 * A loan ends by SLOT_RETURN, or for the lender after LOAN_TIME. If a message
 * is lost, a slot is used twice or by nobody for at most that time; the
 * upstream then queues or sheds one request more.
 */
typedef struct SlotLending_ SlotLending;

/** SlotLending_Create() - all borrowed */
SlotLending *SlotLending_Create(UpstreamTable *table, Random *random);

/** SlotLending_Destroy() - release it */
void SlotLending_Destroy(SlotLending *this);

/** SlotLending_Capacity() - slots of @u that this host may use now */
uint32_t SlotLending_Capacity(const Upstream *u);

/** SlotLending_Borrow() - a request found no own slot: ask a peer */
void SlotLending_Borrow(SlotLending *this, uint32_t service);

/** SlotLending_OnMessage() - see Router_OnSlotMessage() */
bool SlotLending_OnMessage(SlotLending *this, const SlotMessage *message);

/** SlotLending_Next() - see Router_NextSlotMessage() */
bool SlotLending_Next(SlotLending *this, SlotMessage *message);

/** SlotLending_Expire() - take back loans that were not returned in time */
void SlotLending_Expire(SlotLending *this);

#endif
