#ifndef AGATECRANK_CORE_SLOTLENDING_H
#define AGATECRANK_CORE_SLOTLENDING_H

#include "UpstreamTable.h"

/**
 * typedef SlotLending - slots lent to and borrowed from peer hosts
 *
 * A loan ends with SLOT_RETURN, or for the lender after LOAN_DURATION_US. If a
 * message is lost, a slot is used twice or not at all for at most that time;
 * the upstream then queues or sheds one more request.
 */
typedef struct SlotLending_ SlotLending;

/** SlotLending_Create() - @table and @random are borrowed */
SlotLending *SlotLending_Create(UpstreamTable *table, Random *random);

/** SlotLending_Destroy() - free it with its pending messages */
void SlotLending_Destroy(SlotLending *this);

/** SlotLending_Capacity() - slots of @u that this host may use now */
uint32_t SlotLending_Capacity(const Upstream *u);

/**
 * SlotLending_Borrow() - ask a random peer for a slot of @service
 *
 * Called when a request finds all own slots busy.
 */
void SlotLending_Borrow(SlotLending *this, uint32_t service);

/** SlotLending_OnMessage() - see Router_OnSlotMessage() */
bool SlotLending_OnMessage(SlotLending *this, const SlotMessage *message);

/** SlotLending_Next() - see Router_NextSlotMessage() */
bool SlotLending_Next(SlotLending *this, SlotMessage *message);

/** SlotLending_Expire() - end the loans that were not returned in time */
void SlotLending_Expire(SlotLending *this);

#endif
