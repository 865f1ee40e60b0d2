#ifndef AGATECRANK_AGATECRANK_PUBLISHER_H
#define AGATECRANK_AGATECRANK_PUBLISHER_H

#include "Replica.h"

/**
 * struct Publisher_ - a publication by an operator
 * @settings, @replica: borrowed; the replica has read the log to its end
 * @id: id of an earlier call to retry, or NULL to generate a new one
 * @base: config offset that the document is based on; the offset of @replica
 *        is used if @has_base is false
 * @json: print the result as JSON instead of text
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
 * Publisher_OpenReplica() - create a replica and read the log to its end
 *
 * Return: COMMAND_OK, else the exit code after printing the error.
 */
int Publisher_OpenReplica(const CliSettings *settings, Replica **replica);

/**
 * Publisher_Preview() - check a document without publishing it
 *
 * Return: exit code, after printing the reason of a rejection.
 */
int Publisher_Preview(const Publisher *this, Str document);

/**
 * Publisher_Run() - publish a document, wait for the verdict and print it
 *
 * Return: exit code; COMMAND_UNKNOWN if the publication may have taken effect
 * without a known verdict.
 */
int Publisher_Run(const Publisher *this, Str document);

#endif
