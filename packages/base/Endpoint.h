#ifndef AGATECRANK_BASE_ENDPOINT_H
#define AGATECRANK_BASE_ENDPOINT_H

#include "Str.h"

/**
 * struct Endpoint_ - an IP number and a TCP port
 * @address: zero-terminated
 */
typedef struct Endpoint_ {
    char address[48];
    uint16_t port;
} Endpoint;

/** Endpoint_Parse() - read "ADDRESS:PORT"; 0 or ERR_PARSE */
int Endpoint_Parse(Str text, Endpoint *endpoint);

#endif
