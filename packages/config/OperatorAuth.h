#ifndef AGATECRANK_CONFIG_OPERATORAUTH_H
#define AGATECRANK_CONFIG_OPERATORAUTH_H

#include <glib.h>

#include "Clock.h"
#include "ConfigState.h"

/** OPERATOR_AUTH_MAX_SKEW_US - largest difference of clocks accepted */
#define OPERATOR_AUTH_MAX_SKEW_US (60 * MICROS_PER_S)

/** OPERATOR_BOOTSTRAP_NAME - name used with a key of bootstrap_keys */
#define OPERATOR_BOOTSTRAP_NAME STR("bootstrap")

/**
 * struct AdminRequest_ - what an operator signs
 * @target: path with query
 * @signed_at: time of signing, microseconds since 1970
 */
typedef struct AdminRequest_ {
    Str method;
    Str target;
    Str body;
    Micros signed_at;
} AdminRequest;

/**
 * OperatorAuth_Sign() - append "Agatecrank NAME:MILLISECONDS:BASE64"
 * @secret: 32 bytes of an Ed25519 secret key
 *
 * Return: 0 or ERR_INVALID.
 */
int OperatorAuth_Sign(const AdminRequest *call, Str name,
                      const uint8_t secret[32], GString *out);

/**
 * OperatorAuth_Check() - find who signed a call
 * @header: value of the Authorization header
 * @now: wall clock of this host
 * @bootstrap: keys of the host's settings; they act as a global operator
 *             while the configuration has no operator
 * @operator_: the operator, or NULL for a bootstrap key
 *
 * Return: 0, ERR_DENIED or ERR_EXPIRED with @error filled.
 */
int OperatorAuth_Check(const AdminRequest *call, Str header, Micros now,
                       const ConfigState *state, const Key32List *bootstrap,
                       const ConfigObject **operator_, Error *error);

/** OperatorAuth_MayUseLine() - NULL @operator_ is the bootstrap operator */
bool OperatorAuth_MayUseLine(const ConfigObject *operator_, Str line);

#endif
