#ifndef AGATECRANK_CORE_INPUTBUDGET_H
#define AGATECRANK_CORE_INPUTBUDGET_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"

/**
 * typedef InputBudget - memory that the requests of all callers together may
 *     take, and whose connection is ended when it does not suffice
 *
 * While it suffices nobody is ended. Part of it is a reserve for small
 * requests. A caller that has announced a length holds only what has arrived,
 * so that one that sends nothing takes no room from the others.
 */
typedef struct InputBudget_ InputBudget;

/** typedef InputShare - what one connection takes of the budget */
typedef struct InputShare_ InputShare;

/** enum InputState - what a connection is waiting for */
typedef enum InputState_ {
    INPUT_IDLE,     /* for a request */
    INPUT_HEAD,     /* for the rest of a header block */
    INPUT_BODY,     /* for the rest of a body */
    INPUT_COMPLETE, /* for the response to a complete request */
    INPUT_UNREAD,   /* for the caller to read its response */
} InputState;

/**
 * struct InputBudgetOptions_ - sizes in bytes
 * @total_bytes: for the requests of all callers
 * @most_bytes: the same, if the largest allowed request needs it
 * @reserve_bytes: part of it for connections that hold @small_bytes at most
 * @small_bytes: see above
 */
typedef struct InputBudgetOptions_ {
    size_t total_bytes;
    size_t most_bytes;
    size_t reserve_bytes;
    size_t small_bytes;
} InputBudgetOptions;

/** InputBudget_Create() - @clock is borrowed */
InputBudget *InputBudget_Create(const InputBudgetOptions *options,
                                const Clock *clock);

/** InputBudget_Destroy() - all shares must be closed; NULL is allowed */
void InputBudget_Destroy(InputBudget *this);

/**
 * InputBudget_SetLargest() - make room for one of the largest requests
 * @length: of the largest body that is allowed, in bytes
 */
void InputBudget_SetLargest(InputBudget *this, size_t length);

/** InputBudget_UsedBytes() - held by all shares */
size_t InputBudget_UsedBytes(const InputBudget *this);

/**
 * InputBudget_Fits() - whether a body of this length can ever be held
 * @length: in bytes
 */
bool InputBudget_Fits(const InputBudget *this, int64_t length);

/**
 * InputBudget_Open() - add the share of a new connection, which is idle
 * @user: for InputShare_User()
 */
InputShare *InputBudget_Open(InputBudget *this, void *user);

/** InputShare_Close() - the connection has ended; NULL is allowed */
void InputShare_Close(InputShare *this);

/** InputShare_User() - as given to InputBudget_Open() */
void *InputShare_User(const InputShare *this);

/**
 * InputShare_SetState() - the connection waits for something else
 *
 * A header block and the body after it count as one wait.
 */
void InputShare_SetState(InputShare *this, InputState state);

/**
 * InputShare_Hold() - set what the connection holds
 * @bytes: all that it makes the host keep
 *
 * Return: false, and nothing is changed, if there is no room. A share can
 * always be lowered.
 */
bool InputShare_Hold(InputShare *this, size_t bytes);

/** InputShare_Force() - as InputShare_Hold(), also if there is no room */
void InputShare_Force(InputShare *this, size_t bytes);

/**
 * InputShare_Victim() - whose connection is ended to make room for this one
 * @bytes: what InputShare_Hold() had no room for
 *
 * Of the connections that wait for their caller and hold more than a small
 * request, or would do so with @bytes, it is the one that has waited longest
 * if that is two seconds or more, else, of those whose request is not complete,
 * the one that has waited shortest: the first of several large bodies at once
 * goes on, and one that stands still ends when others need the room. For a small
 * request in need it may also be a small one; instead of the connection itself
 * it is the small one that has waited longest, if that is two seconds or more
 * and small ones hold more than their reserve.
 *
 * Return: NULL if there is none; not if the request of @this is not complete.
 */
InputShare *InputShare_Victim(InputShare *this, size_t bytes);

/**
 * InputBudget_LeastUseful() - whose connection is ended for a new one
 *
 * Of the connections that have waited for a second or more: idle ones first,
 * then those in a header block, then those in a body or with an unread response.
 * Of others, and of equals, the one that has waited longest. Never one that waits
 * for a response.
 *
 * Return: NULL if there is none.
 */
InputShare *InputBudget_LeastUseful(const InputBudget *this);

#endif
