#ifndef AGATECRANK_TESTS_CRASHUPSTREAMS_H
#define AGATECRANK_TESTS_CRASHUPSTREAMS_H

#include "CrashSimulation.h"
#include "Dispatcher.h"
#include "EventQueue.h"

/**
 * typedef CrashUpstreams - upstreams that end and start again
 *
 * One that has ended starts again after some seconds, with a later start under
 * the same id, or with a new id under the same address. Its entry is removed
 * from the list a few seconds after the end.
 */
typedef struct CrashUpstreams_ CrashUpstreams;

/** typedef CrashListHandler - an entry is listed or, if not @listed, removed */
typedef void CrashListHandler(void *user, const UpstreamEntry *entry,
                              bool listed);

/** CrashUpstreams_Create() - upstreams that are all up; borrows its arguments */
CrashUpstreams *CrashUpstreams_Create(uint32_t count, EventQueue *events,
                                      Random *random,
                                      CrashListHandler *on_list, void *user);

/**
 * CrashUpstreams_SetReplacementDelay() - replace ended upstreams by new ones
 * @mean: mean time from the end of an upstream to the start of another one
 */
void CrashUpstreams_SetReplacementDelay(CrashUpstreams *this, Micros mean);

/** CrashUpstreams_Destroy() - release */
void CrashUpstreams_Destroy(CrashUpstreams *this);

/** CrashUpstreams_PutAll() - pass all listed entries to a host */
void CrashUpstreams_PutAll(const CrashUpstreams *this, Dispatcher *dispatcher);

/** CrashUpstreams_AtPort() - index of the upstream with that port */
uint32_t CrashUpstreams_AtPort(uint16_t port);

/** CrashUpstreams_End() - end it; it resets its connections or is silent */
void CrashUpstreams_End(CrashUpstreams *this, uint32_t upstream,
                        CrashKind kind);

/** CrashUpstreams_IsUp() - true if it runs */
bool CrashUpstreams_IsUp(const CrashUpstreams *this, uint32_t upstream);

/** CrashUpstreams_IsClosed() - whether connections to it are closed at once */
bool CrashUpstreams_IsClosed(const CrashUpstreams *this, uint32_t upstream);

/** CrashUpstreams_IsSilent() - true if it has ended and does not respond */
bool CrashUpstreams_IsSilent(const CrashUpstreams *this, uint32_t upstream);

/** CrashUpstreams_HasId() - true if it runs under that id */
bool CrashUpstreams_HasId(const CrashUpstreams *this, uint32_t upstream,
                          Str id);

/** CrashUpstreams_Life() - number of its starts so far */
uint32_t CrashUpstreams_Life(const CrashUpstreams *this, uint32_t upstream);

/** CrashUpstreams_AddRunning() - change the number of running requests */
void CrashUpstreams_AddRunning(CrashUpstreams *this, uint32_t upstream,
                               int change);

/** CrashUpstreams_Report() - its load report */
LoadReport CrashUpstreams_Report(const CrashUpstreams *this,
                                 uint32_t upstream);

#endif
