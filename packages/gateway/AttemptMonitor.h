#ifndef AGATECRANK_GATEWAY_ATTEMPTMONITOR_H
#define AGATECRANK_GATEWAY_ATTEMPTMONITOR_H

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

/** AttemptMonitor_Start() - the job was sent to an upstream just now */
void AttemptMonitor_Start(Job *job);

/** AttemptMonitor_OnTime() - the time set by Job_SetMonitorAt() has come */
void AttemptMonitor_OnTime(Job *job);

/** AttemptMonitor_OnProbeTimeout() - a question to @upstream had no answer */
void AttemptMonitor_OnProbeTimeout(Dispatcher *this, uint32_t upstream);

#endif
