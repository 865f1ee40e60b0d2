#ifndef AGATECRANK_CORE_ALLOWANCECLIENT_H
#define AGATECRANK_CORE_ALLOWANCECLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "AllowanceGrantor.h"
#include "Random.h"

/**
 * typedef AllowanceClient - keeps the requests of each customer within a limit
 *     on all hosts together
 *
 * For each customer one host, the grantor, hands out the requests that may be
 * sent (AllowanceGrantor). It is the first of the live hosts by rendezvous
 * hashing weighted with network capacity, so that hosts with the same list agree
 * without a message, and another host does not change the order of the rest. A
 * request that arrives while this host has nothing in hand waits for the answer
 * of the grantor. If that does not answer, the next host is asked, its deputy,
 * which asks the grantor and hands out requests itself only if it does not get
 * an answer either. Without any answer this host uses an equal part of the rate.
 */
typedef struct AllowanceClient_ AllowanceClient;

/** struct AllowanceHost_ - a live host; @link_mbps is 0 if unknown */
typedef struct AllowanceHost_ {
    Str id;
    uint32_t link_mbps;
} AllowanceHost;

/** enum AllowanceDecision - whether a request may be sent */
typedef enum AllowanceDecision_ {
    ALLOWANCE_ADMIT,
    ALLOWANCE_WAIT, /* AllowanceClient_NextVerdict() tells */
    ALLOWANCE_REFUSE,
} AllowanceDecision;

/**
 * struct AllowanceVerdict_ - decision on a request
 * @request: as passed to AllowanceClient_Take()
 * @decision: not ALLOWANCE_WAIT
 * @wait: with ALLOWANCE_REFUSE, time after which a request has a chance
 */
typedef struct AllowanceVerdict_ {
    void *request;
    AllowanceDecision decision;
    Micros wait;
} AllowanceVerdict;

/**
 * struct AllowanceAsk_ - question to a host; strings are valid until the next
 *                        call
 * @number: for AllowanceClient_OnAnswer() or AllowanceClient_OnFailure()
 * @own: the host is this one
 * @relayed: for another host, which waits; the host asked must not ask further
 */
typedef struct AllowanceAsk_ {
    uint64_t number;
    Str host;
    Str customer;
    uint32_t wanted;
    bool own;
    bool relayed;
} AllowanceAsk;

/**
 * struct AllowanceRelayed_ - end of AllowanceClient_Relay()
 * @answered: the grantor has answered with @grant; if not, this host decides
 */
typedef struct AllowanceRelayed_ {
    void *request;
    bool answered;
    AllowanceGrant grant;
} AllowanceRelayed;

/** AllowanceClient_Create() - no hosts are known; @clock, @random: borrowed */
AllowanceClient *AllowanceClient_Create(Str host, const Clock *clock,
                                        Random *random);

/** AllowanceClient_Destroy() - waiting requests are dropped; NULL is allowed */
void AllowanceClient_Destroy(AllowanceClient *this);

/** AllowanceClient_SetHosts() - set the live hosts, this one included; copied */
void AllowanceClient_SetHosts(AllowanceClient *this,
                              const AllowanceHost *hosts, size_t count);

/** AllowanceClient_IsGrantor() - whether this host is asked first */
bool AllowanceClient_IsGrantor(AllowanceClient *this, Str customer);

/** AllowanceClient_Take() - decide on a request of a customer with a limit */
AllowanceVerdict AllowanceClient_Take(AllowanceClient *this,
                                      const AllowanceLimit *limit,
                                      void *request);

/** AllowanceClient_Cancel() - drop a request that waits */
void AllowanceClient_Cancel(AllowanceClient *this, Str customer,
                            void *request);

/** AllowanceClient_Return() - a request that was admitted was not sent */
void AllowanceClient_Return(AllowanceClient *this, Str customer);

/**
 * AllowanceClient_Relay() - pass a question of another host on to the grantor
 * @request: for AllowanceClient_NextRelayed()
 *
 * Return: false if this host is the grantor, or knows that the grantor does not
 * answer.
 */
bool AllowanceClient_Relay(AllowanceClient *this, const AllowanceLimit *limit,
                           uint32_t wanted, void *request);

/** AllowanceClient_CancelRelay() - the other host waits no longer */
void AllowanceClient_CancelRelay(AllowanceClient *this, void *request);

/** AllowanceClient_NextRelayed() - a question that was relayed has ended */
bool AllowanceClient_NextRelayed(AllowanceClient *this,
                                 AllowanceRelayed *relayed);

/** AllowanceClient_NextAsk() - take the next question; false if there is none */
bool AllowanceClient_NextAsk(AllowanceClient *this, AllowanceAsk *ask);

/** AllowanceClient_OnAnswer() - the host has answered */
void AllowanceClient_OnAnswer(AllowanceClient *this, uint64_t number,
                              const AllowanceGrant *grant);

/** AllowanceClient_OnFailure() - the host has not answered in time, or can't */
void AllowanceClient_OnFailure(AllowanceClient *this, uint64_t number);

/** AllowanceClient_NextVerdict() - decision on a request that has waited */
bool AllowanceClient_NextVerdict(AllowanceClient *this,
                                 AllowanceVerdict *verdict);

#endif
