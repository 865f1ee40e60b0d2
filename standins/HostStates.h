#ifndef AGATECRANK_STANDINS_HOSTSTATES_H
#define AGATECRANK_STANDINS_HOSTSTATES_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef HostStates - which hosts run, as the script that runs them tells
 *
 * The file host-N of a folder says "up" since a host was started again, and
 * something else from the time when it was stopped or killed. There is none for
 * the first life of a host. The file freeze-N does so for a host that is frozen
 * and continued.
 */
typedef struct HostStates_ HostStates;

/** HostStates_Create() - read files in @folder; @clock is borrowed */
HostStates *HostStates_Create(const char *folder, const Clock *clock);

/** HostStates_Destroy() - release it; NULL is allowed */
void HostStates_Destroy(HostStates *this);

/**
 * HostStates_HasRun() - tell whether a host was started some time ago
 * @host: number of the host
 *
 * Return: true if it has been up for @least, frozen or not, or has no file.
 */
bool HostStates_HasRun(const HostStates *this, unsigned host, Micros least);

/**
 * HostStates_IsSteady() - as HostStates_HasRun(), and not frozen in that time
 */
bool HostStates_IsSteady(const HostStates *this, unsigned host, Micros least);

#endif
