#ifndef AGATECRANK_GATEWAY_HOSTPATH_H
#define AGATECRANK_GATEWAY_HOSTPATH_H

#include "DispatcherPrivate.h"

/*
 * Connects the PathMonitor with the Dispatcher: reports to it what attempts and
 * probes show, sends its probes, and handles changes of the state.
 */

/** HostPath_OnAttemptEnd() - an attempt has ended; before it is settled */
void HostPath_OnAttemptEnd(Dispatcher *this, const Job *job,
                           AttemptResult result);

/** HostPath_OnProbeResult() - a probe has ended; before it is settled */
void HostPath_OnProbeResult(Dispatcher *this, uint32_t upstream,
                            ProbeResult result);

/** HostPath_OnProbeTimeout() - see Dispatcher_OnProbeTimeout() */
void HostPath_OnProbeTimeout(Dispatcher *this, uint32_t upstream,
                             bool connected);

/** HostPath_Run() - handle what is due, and changes of the state */
void HostPath_Run(Dispatcher *this);

/**
 * HostPath_Hold() - keep a job that no connection could be opened for until the
 *     path is known
 *
 * Return: false if the path is not being probed.
 */
bool HostPath_Hold(Job *job);

/** HostPath_EndHold() - continue with a job that was kept for long enough */
void HostPath_EndHold(Job *job);

#endif
