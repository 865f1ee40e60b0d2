#ifndef AGATECRANK_AGATECRANK_PUBLISHER_H
#define AGATECRANK_AGATECRANK_PUBLISHER_H

#include "Replica.h"

/**
 * struct Publisher_ - one publication by an operator
 * @settings, @replica: borrowed; the replica has caught up
 * @id: of an earlier call that is repeated, or NULL for a new one
 * @base: offset that the document was written from; the present one if
 *        @has_base is false
 * @json: form of the result on standard output
 */
typedef struct Publisher_ {
    const CliSettings *settings;
    Replica *replica;
    const char *id;
    uint64_t base;
    bool has_base;
    bool json;
} Publisher;

/**
 * Publisher_OpenReplica() - a replica at the end of the log
 *
 * Return: COMMAND_OK, else the exit code after printing what is wrong.
 */
int Publisher_OpenReplica(const CliSettings *settings, Replica **replica);

/** Publisher_Preview() - exit code, after printing why it would be refused */
int Publisher_Preview(const Publisher *this, Str document);

/**
 * Publisher_Run() - append and wait for the verdict; prints the result
 *
 * Return: exit code; COMMAND_UNKNOWN wherever it may have taken effect.
 */
int Publisher_Run(const Publisher *this, Str document);

#endif
