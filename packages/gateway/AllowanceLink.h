#ifndef AGATECRANK_GATEWAY_ALLOWANCELINK_H
#define AGATECRANK_GATEWAY_ALLOWANCELINK_H

#include "Dispatcher.h"
#include "ForwardClient.h"
#include "ForwardServer.h"

/**
 * Header field of a question of a host ("WANTED", or "WANTED relayed" for
 * another host, with the name of the customer as body) and of its answer
 * ("GRANTED WAIT_MS")
 */
#define ALLOWANCE_FIELD "agatecrank-allowance"

/**
 * typedef AllowanceLink - carries questions on the limits of customers between
 *     hosts, sealed like forwarded requests
 */
typedef struct AllowanceLink_ AllowanceLink;

/**
 * struct AllowanceLinkHandlers_ - callbacks of the owner
 * @on_answer: the dispatcher was told an answer
 * @on_stale_keys: a host does not accept the seal of this one, as either has
 *                 another key than the other one's list
 */
typedef struct AllowanceLinkHandlers_ {
    void (*on_answer)(void *user);
    void (*on_stale_keys)(void *user, Str host);
} AllowanceLinkHandlers;

/**
 * AllowanceLink_Create() - @handlers is copied, all other pointers are borrowed
 * @client: NULL if there are no keys; then no question is answered
 */
AllowanceLink *AllowanceLink_Create(Loop *loop, Dispatcher *dispatcher,
                                    ForwardClient *client,
                                    const AllowanceLinkHandlers *handlers,
                                    void *user);

/** AllowanceLink_Destroy() - after Loop_Close(); NULL is allowed */
void AllowanceLink_Destroy(AllowanceLink *this);

/** AllowanceLink_Ask() - execute a DISPATCH_ASK */
void AllowanceLink_Ask(AllowanceLink *this, const DispatchAction *action);

/** AllowanceLink_IsQuestion() - whether the request is one of AllowanceLink */
bool AllowanceLink_IsQuestion(ForwardedRequest *request);

/**
 * AllowanceLink_Receive() - give a question of another host to the dispatcher
 * @user: as in Dispatcher_OnQuestion()
 *
 * Return: whether a DISPATCH_GRANT follows; if not, it was answered.
 */
bool AllowanceLink_Receive(const AllowanceLink *this,
                           ForwardedRequest *request, void *user);

/** AllowanceLink_Respond() - execute a DISPATCH_GRANT */
void AllowanceLink_Respond(ForwardedRequest *request,
                           const AllowanceGrant *grant);

#endif
