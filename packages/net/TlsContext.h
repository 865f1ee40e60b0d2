#ifndef AGATECRANK_NET_TLSCONTEXT_H
#define AGATECRANK_NET_TLSCONTEXT_H

#include <openssl/ssl.h>
#include <stdbool.h>

#include "Error.h"

/** typedef TlsContext - certificates of one side of TLS connections */
typedef struct TlsContext_ TlsContext;

/**
 * struct TlsFiles_ - PEM files; each may be NULL
 * @certificate, @key: shown to the peer
 * @ca: peers must show a certificate that this one signed
 */
typedef struct TlsFiles_ {
    const char *certificate;
    const char *key;
    const char *ca;
} TlsFiles;

/** TlsContext_Create() - NULL with @error filled if a file is unusable */
TlsContext *TlsContext_Create(bool server, const TlsFiles *files,
                              Error *error);

/** TlsContext_Destroy() - connections keep what they need; NULL is allowed */
void TlsContext_Destroy(TlsContext *this);

/**
 * TlsContext_CreateSession() - state of a new connection over @fd
 * @address: IP number that the peer's certificate must name; NULL at a server
 */
SSL *TlsContext_CreateSession(TlsContext *this, int fd, const char *address);

#endif
