#ifndef AGATECRANK_STANDINS_HOSTSTATES_H
#define AGATECRANK_STANDINS_HOSTSTATES_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef HostStates - which hosts run, as the script that runs them tells
 *
 * The file host-N of a folder says "up" since a host was started or continued,
 * and something else from the time when it was stopped, killed or frozen.
 */
typedef struct HostStates_ HostStates;

/** HostStates_Create() - read files in @folder; @clock is borrowed */
HostStates *HostStates_Create(const char *folder, const Clock *clock);

/** HostStates_Destroy() - release it; NULL is allowed */
void HostStates_Destroy(HostStates *this);

/**
 * HostStates_IsSteady() - tell whether a host has run for some time
 * @host: number of the host
 *
 * Return: true if it has been up for @least, or has no file.
 */
bool HostStates_IsSteady(const HostStates *this, unsigned host, Micros least);

#endif
