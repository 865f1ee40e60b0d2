#include "TlsContext.h"

#include <glib.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>

struct TlsContext_ {
    SSL_CTX *ssl_ctx;
    bool server;
};

static bool
load_files(SSL_CTX *ssl_ctx, const TlsFiles *files)
{
    if (files->certificate != NULL &&
        (SSL_CTX_use_certificate_chain_file(ssl_ctx, files->certificate) !=
             1 ||
         SSL_CTX_use_PrivateKey_file(ssl_ctx, files->key, SSL_FILETYPE_PEM) !=
             1)) {
        return false;
    }
    return files->ca == NULL ||
           SSL_CTX_load_verify_locations(ssl_ctx, files->ca, NULL) == 1;
}

TlsContext *
TlsContext_Create(bool server, const TlsFiles *files, Error *error)
{
    TlsContext *this = g_new0(TlsContext, 1);

    this->server = server;
    this->ssl_ctx =
        SSL_CTX_new(server ? TLS_server_method() : TLS_client_method());
    if (this->ssl_ctx == NULL || !load_files(this->ssl_ctx, files)) {
        Error_Set(error, ERR_INVALID, "tls-files", STR(""),
                  "cannot load the certificate, key or CA file: %s",
                  ERR_reason_error_string(ERR_peek_last_error()));
        TlsContext_Destroy(this);
        return NULL;
    }
    SSL_CTX_set_min_proto_version(this->ssl_ctx, TLS1_2_VERSION);
    SSL_CTX_set_mode(this->ssl_ctx, SSL_MODE_ENABLE_PARTIAL_WRITE |
                                        SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    if (files->ca != NULL) {
        SSL_CTX_set_verify(this->ssl_ctx,
                           SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                           NULL);
    }
    return this;
}

void
TlsContext_Destroy(TlsContext *this)
{
    if (this == NULL) {
        return;
    }
    SSL_CTX_free(this->ssl_ctx);
    g_free(this);
}

SSL *
TlsContext_CreateSession(TlsContext *this, int fd, const char *address)
{
    SSL *session = SSL_new(this->ssl_ctx);

    SSL_set_fd(session, fd);
    if (this->server) {
        SSL_set_accept_state(session);
    }
    else {
        SSL_set_connect_state(session);
        X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session), address);
    }
    return session;
}
