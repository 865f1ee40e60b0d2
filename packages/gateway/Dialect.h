#ifndef AGATECRANK_GATEWAY_DIALECT_H
#define AGATECRANK_GATEWAY_DIALECT_H

#include "Router.h"

/**
 * struct Dialect_ - header fields of the callers and upstreams of a platform
 * @attempt_id: names one attempt of a caller; upstreams send it back
 * @timeout_ms: milliseconds that the sender waits
 * @instance: to an upstream: the id that must answer at its address
 * @not_run: from an upstream: it did not run the request
 * @signature: from an upstream: marks its answer as its own
 * @instance_id: from an upstream that tells its load: its id
 * @load: from an upstream: its load, read by @parse_load
 * @parse_load: 0 or ERR_PARSE
 */
typedef struct Dialect_ {
    Str attempt_id;
    Str timeout_ms;
    Str instance;
    Str not_run;
    Str signature;
    Str instance_id;
    Str load;
    int (*parse_load)(Str text, LoadReport *report);
} Dialect;

#endif
