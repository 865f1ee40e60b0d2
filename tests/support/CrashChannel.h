#ifndef AGATECRANK_TESTS_CRASHCHANNEL_H
#define AGATECRANK_TESTS_CRASHCHANNEL_H

#include "CrashGuard.h"
#include "CrashSimulation.h"
#include "EventQueue.h"

/**
 * typedef CrashChannel - log with compacted topics that hosts share
 *
 * Appends and reads take time, fail and lose their responses as the faults
 * demand. Records are the ones that hosts write on the platform.
 */
typedef struct CrashChannel_ CrashChannel;

/** CrashChannel_Create() - an empty log for hosts from 0 to below @hosts */
CrashChannel *CrashChannel_Create(uint32_t hosts, ChannelFaults faults,
                                  EventQueue *events, const Clock *clock,
                                  Random *random);

/** CrashChannel_Destroy() - release */
void CrashChannel_Destroy(CrashChannel *this);

/** CrashChannel_Attach() - a host has started; it reads the newest records */
void CrashChannel_Attach(CrashChannel *this, uint32_t host, CrashGuard *guard);

/** CrashChannel_Detach() - a host has ended */
void CrashChannel_Detach(CrashChannel *this, uint32_t host);

/** CrashChannel_Flush() - append what a host has to send */
void CrashChannel_Flush(CrashChannel *this, uint32_t host);

/** CrashChannel_SoundSince() - end of the last fault, or the end to come */
Micros CrashChannel_SoundSince(const CrashChannel *this);

/** CrashChannel_CallCount() - appends so far */
unsigned CrashChannel_CallCount(const CrashChannel *this);

/** CrashChannel_ByteCount() - bytes of the appended records */
unsigned CrashChannel_ByteCount(const CrashChannel *this);

#endif
