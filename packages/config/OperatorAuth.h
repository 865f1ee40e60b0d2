#ifndef AGATECRANK_CONFIG_OPERATORAUTH_H
#define AGATECRANK_CONFIG_OPERATORAUTH_H

#include <glib.h>

#include "Clock.h"
#include "ConfigState.h"

/**
 * OPERATOR_AUTH_MAX_SKEW_US - accepted difference between the time of signing
 * and the clock of the host
 */
#define OPERATOR_AUTH_MAX_SKEW_US (60 * MICROS_PER_S)

/** OPERATOR_BOOTSTRAP_NAME - operator name used with a bootstrap key */
#define OPERATOR_BOOTSTRAP_NAME STR("bootstrap")

/**
 * struct AdminRequest_ - parts of an admin request that an operator signs
 * @target: path with query
 * @signed_at: wall clock time of signing, microseconds since 1970; used by
 *             OperatorAuth_Sign() only
 */
typedef struct AdminRequest_ {
    Str method;
    Str target;
    Str body;
    Micros signed_at;
} AdminRequest;

/**
 * OperatorAuth_Sign() - append the value of the Authorization header
 * @name: operator
 * @secret: 32 bytes of an Ed25519 secret key
 * @out: receives "Agatecrank NAME:MILLISECONDS:BASE64"
 *
 * Return: 0 or ERR_INVALID.
 */
int OperatorAuth_Sign(const AdminRequest *request, Str name,
                      const uint8_t secret[32], GString *out);

/**
 * OperatorAuth_Check() - authenticate the operator who signed a request
 * @header: value of the Authorization header
 * @now: wall clock time of this host
 * @bootstrap: bootstrap keys of the host's settings; they act as a global
 *             operator while the configuration has no operator
 * @operator_: receives the operator, or NULL for a bootstrap key
 *
 * Return: 0, ERR_DENIED or ERR_EXPIRED with @error filled.
 */
int OperatorAuth_Check(const AdminRequest *request, Str header, Micros now,
                       const ConfigState *state, const Key32List *bootstrap,
                       const ConfigObject **operator_, Error *error);

/**
 * OperatorAuth_MayUseLine() - true if the operator has rights on the line
 * @operator_: NULL for the bootstrap operator, who has rights on all lines
 */
bool OperatorAuth_MayUseLine(const ConfigObject *operator_, Str line);

#endif
