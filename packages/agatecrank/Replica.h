#ifndef AGATECRANK_AGATECRANK_REPLICA_H
#define AGATECRANK_AGATECRANK_REPLICA_H

#include "CliSettings.h"
#include "ConfigFollower.h"

/**
 * typedef Replica - local replica of the configuration, built from the log
 *
 * It applies the same rules as every host and so reaches the same verdicts.
 * Calls block until they complete or time out.
 */
typedef struct Replica_ Replica;

/** Replica_Create() - NULL with @error set if the log URL cannot be used */
Replica *Replica_Create(const CliSettings *settings, Error *error);

/** Replica_Destroy() - release the replica */
void Replica_Destroy(Replica *this);

/** Replica_CatchUp() - read the log to its end; 0 or ERR_UNAVAILABLE */
int Replica_CatchUp(Replica *this, Error *error);

/** Replica_State() - configuration read so far */
const ConfigState *Replica_State(const Replica *this);

/**
 * Replica_Append() - append a record to the config stream
 *
 * Return: 0, ERR_UNAVAILABLE if the record was certainly not written, or
 * another negative error number if it may have been written.
 */
int Replica_Append(Replica *this, Str record);

/**
 * Replica_AwaitVerdict() - read the log until a publication has a verdict
 *
 * Return: 0 with @verdict set, or ERR_TIMEOUT.
 */
int Replica_AwaitVerdict(Replica *this, Str author, Str id,
                         ConfigVerdict *verdict);

#endif
