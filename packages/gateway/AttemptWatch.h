#ifndef AGATECRANK_GATEWAY_ATTEMPTWATCH_H
#define AGATECRANK_GATEWAY_ATTEMPTWATCH_H

#include "DispatcherPrivate.h"

/*
 * Gives up attempts on upstreams that are gone without a word, so that the
 * request can be served by another one in time.
 *
 * The load it answers: a share of the upstreams loses power or network at
 * once. TCP does not tell, and what they were working on would wait until its
 * deadline. An upstream that has an attempt for long and was not heard of is
 * asked for its load; one that is silent to several questions in a row is
 * taken as gone. Only requests that may run again are given up, and only
 * while there is another upstream and a repeat for them.
 */

/** AttemptWatch_Begin() - the job was sent to an upstream just now */
void AttemptWatch_Begin(Job *job);

/** AttemptWatch_OnTime() - ask upstreams that are due */
void AttemptWatch_OnTime(Dispatcher *this);

/** AttemptWatch_OnSilence() - a question to @upstream had no answer */
void AttemptWatch_OnSilence(Dispatcher *this, uint32_t upstream);

/** AttemptWatch_DueTime() - when the job's upstream is to be asked; -1: never
 */
Micros AttemptWatch_DueTime(const Job *job);

#endif
