#ifndef AGATECRANK_AGATECRANK_REPLICA_H
#define AGATECRANK_AGATECRANK_REPLICA_H

#include "CliSettings.h"
#include "ConfigFollower.h"

/**
 * typedef Replica - the configuration as the log has it now
 *
 * It is read by the rules of every host, so a verdict here is theirs.
 * Calls block until they are done or time out.
 */
typedef struct Replica_ Replica;

/** Replica_Create() - NULL with @error filled if a URL can not be used */
Replica *Replica_Create(const CliSettings *settings, Error *error);

/** Replica_Destroy() - release it */
void Replica_Destroy(Replica *this);

/** Replica_CatchUp() - read up to the end; 0 or ERR_UNAVAILABLE */
int Replica_CatchUp(Replica *this, Error *error);

/** Replica_State() - the configuration */
const ConfigState *Replica_State(const Replica *this);

/**
 * Replica_Append() - append a record to the config stream
 *
 * Return: 0, ERR_UNAVAILABLE if it was certainly not written, else another
 * negative number if that is not known.
 */
int Replica_Append(Replica *this, Str record);

/**
 * Replica_AwaitVerdict() - read on until a publication is decided
 *
 * Return: 0 with @verdict filled, or ERR_TIMEOUT.
 */
int Replica_AwaitVerdict(Replica *this, Str author, Str id,
                         ConfigVerdict *verdict);

#endif
