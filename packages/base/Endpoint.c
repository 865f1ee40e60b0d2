#include "Endpoint.h"

#include <arpa/inet.h>
#include <string.h>

#include "Error.h"

int
Endpoint_Parse(Str text, Endpoint *endpoint)
{
    struct in_addr binary;
    uint64_t port;
    Str address;

    if (!Str_Split(&text, ':', &address) || address.length == 0 ||
        address.length >= sizeof(endpoint->address) ||
        Str_ParseU64(text, &port) < 0 || port > UINT16_MAX) {
        return ERR_PARSE;
    }
    memcpy(endpoint->address, address.data, address.length);
    endpoint->address[address.length] = '\0';
    endpoint->port = (uint16_t)port;
    return inet_pton(AF_INET, endpoint->address, &binary) == 1 ? 0 : ERR_PARSE;
}
