#ifndef AGATECRANK_NET_TLSCONTEXT_H
#define AGATECRANK_NET_TLSCONTEXT_H

#include <openssl/ssl.h>
#include <stdbool.h>

#include "Error.h"

/** typedef TlsContext - certificates of a TLS client or server */
typedef struct TlsContext_ TlsContext;

/**
 * struct TlsFiles_ - PEM files; each may be NULL
 * @certificate, @key: certificate chain to present to the peer and its key
 * @ca: CA that must have signed the certificate of the peer; NULL to verify
 *      none
 */
typedef struct TlsFiles_ {
    const char *certificate;
    const char *key;
    const char *ca;
} TlsFiles;

/**
 * TlsContext_Create() - load the files
 * @server: true for the accepting side
 *
 * Return: NULL with @error filled if a file cannot be used.
 */
TlsContext *TlsContext_Create(bool server, const TlsFiles *files,
                              Error *error);

/**
 * TlsContext_Destroy() - release; open connections stay usable. NULL is
 *     allowed.
 */
void TlsContext_Destroy(TlsContext *this);

/**
 * TlsContext_CreateSession() - create the TLS state of a connection
 * @fd: connected descriptor
 * @address: IP address that the certificate of the peer must contain; ignored
 *           by a server
 *
 * Return: owned by the calling function, released with SSL_free().
 */
SSL *TlsContext_CreateSession(TlsContext *this, int fd, const char *address);

#endif
