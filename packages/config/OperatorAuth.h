#ifndef AGATECRANK_CONFIG_OPERATORAUTH_H
#define AGATECRANK_CONFIG_OPERATORAUTH_H

#include <glib.h>

#include "Clock.h"
#include "ConfigState.h"

/** OPERATOR_AUTH_WINDOW - largest difference of clocks accepted */
#define OPERATOR_AUTH_WINDOW (60 * MICROS_PER_S)

/** OPERATOR_BOOTSTRAP - name used with a key of bootstrap_keys */
#define OPERATOR_BOOTSTRAP STR("bootstrap")

/**
 * struct AdminCall_ - what an operator signs
 * @target: path with query
 * @wall: time of signing, microseconds since 1970
 */
typedef struct AdminCall_ {
    Str method;
    Str target;
    Str body;
    Micros wall;
} AdminCall;

/**
 * OperatorAuth_Sign() - append "Agatecrank NAME:MILLISECONDS:BASE64"
 * @secret: 32 bytes of an Ed25519 secret key
 *
 * Return: 0 or ERR_INVALID.
 */
int OperatorAuth_Sign(const AdminCall *call, Str name,
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
int OperatorAuth_Check(const AdminCall *call, Str header, Micros now,
                       const ConfigState *state, const Key32List *bootstrap,
                       const ConfigObject **operator_, Error *error);

/** OperatorAuth_MayUseLine() - NULL @operator_ is the bootstrap operator */
bool OperatorAuth_MayUseLine(const ConfigObject *operator_, Str line);

#endif
