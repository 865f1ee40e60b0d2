#ifndef AGATECRANK_BASE_ENDPOINT_H
#define AGATECRANK_BASE_ENDPOINT_H

#include "Str.h"

/**
 * struct Endpoint_ - IPv4 address and TCP port
 * @address: in dotted-decimal form, zero-terminated
 */
typedef struct Endpoint_ {
    char address[48];
    uint16_t port;
} Endpoint;

/**
 * Endpoint_Parse() - parse "ADDRESS:PORT" with a decimal port of 0 to 65535
 *
 * Return: 0, or ERR_PARSE; then the content of @endpoint is undefined.
 */
int Endpoint_Parse(Str text, Endpoint *endpoint);

#endif
