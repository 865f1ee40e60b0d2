#ifndef AGATECRANK_NET_CONFIGFOLLOWER_H
#define AGATECRANK_NET_CONFIGFOLLOWER_H

#include "ConfigSync.h"
#include "LogClient.h"

/**
 * typedef ConfigFollower - keeps the configuration of a host up to date
 *
 * It carries out the log reads, log appends and fetches from peers that a
 * ConfigSync requests.
 */
typedef struct ConfigFollower_ ConfigFollower;

/**
 * struct ConfigFollowerHandlers_ - callbacks of the owner
 * @on_changed: records of the configuration stream were applied
 * @on_fetch: send @fetch to the peer that @choice, a random number, selects;
 *            the reply goes to ConfigSync_OnChunk()
 */
typedef struct ConfigFollowerHandlers_ {
    void (*on_changed)(void *user);
    void (*on_fetch)(void *user, const ConfigFetch *fetch, uint64_t choice);
} ConfigFollowerHandlers;

/**
 * ConfigFollower_Create() - start to follow the configuration
 * @timeout: for the response to a read or an append
 *
 * All pointers are borrowed; @handlers is copied.
 */
ConfigFollower *ConfigFollower_Create(Loop *loop, ConfigSync *sync,
                                      ConfigState *state, LogClient *log,
                                      Micros timeout, EventLog *events,
                                      const ConfigFollowerHandlers *handlers,
                                      void *user);

/** ConfigFollower_Destroy() - stop and release */
void ConfigFollower_Destroy(ConfigFollower *this);

/** ConfigFollower_RunActions() - carry out the pending ConfigSync actions */
void ConfigFollower_RunActions(ConfigFollower *this);

#endif
