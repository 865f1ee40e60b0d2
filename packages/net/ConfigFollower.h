#ifndef AGATECRANK_NET_CONFIGFOLLOWER_H
#define AGATECRANK_NET_CONFIGFOLLOWER_H

#include "ConfigSync.h"
#include "LogClient.h"

/**
 * typedef ConfigFollower - keeps the configuration of a host up to date
 *
 * It does the reads, appends and peer fetches that a ConfigSync asks for.
 */
typedef struct ConfigFollower_ ConfigFollower;

/**
 * struct ConfigFollowerHandlers_ - what the owner does
 * @on_changed: the configuration moved on
 * @on_fetch: send a fetch to a peer; its answer goes to ConfigSync_OnChunk()
 */
typedef struct ConfigFollowerHandlers_ {
    void (*on_changed)(void *user);
    void (*on_fetch)(void *user, const ConfigFetch *fetch, uint64_t choice);
} ConfigFollowerHandlers;

/** ConfigFollower_Create() - starts at once; everything is borrowed */
ConfigFollower *ConfigFollower_Create(Loop *loop, ConfigSync *sync,
                                      ConfigState *state, LogClient *log,
                                      Micros timeout, EventLog *events,
                                      const ConfigFollowerHandlers *handlers,
                                      void *user);

/** ConfigFollower_Destroy() - stop and release */
void ConfigFollower_Destroy(ConfigFollower *this);

/** ConfigFollower_RunActions() - act on what the ConfigSync decided */
void ConfigFollower_RunActions(ConfigFollower *this);

#endif
