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
 * taken as gone. Only requests that may run again are given up, only while a
 * repeat is left and another upstream has room, or is idle if the request may
 * still be worked on, and not while the host stops.
 */

/** AttemptWatch_Begin() - the job was sent to an upstream just now */
void AttemptWatch_Begin(Job *job);

/** AttemptWatch_OnTime() - the time set by Job_SetWatchAt() has come */
void AttemptWatch_OnTime(Job *job);

/** AttemptWatch_OnSilence() - a question to @upstream had no answer */
void AttemptWatch_OnSilence(Dispatcher *this, uint32_t upstream);

#endif
