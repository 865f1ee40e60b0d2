#include "TlsContext.h"

#include <glib.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>

struct TlsContext_ {
    SSL_CTX *library;
    bool server;
};

static bool
load_files(SSL_CTX *library, const TlsFiles *files)
{
    if (files->certificate != NULL &&
        (SSL_CTX_use_certificate_chain_file(library, files->certificate) !=
             1 ||
         SSL_CTX_use_PrivateKey_file(library, files->key, SSL_FILETYPE_PEM) !=
             1)) {
        return false;
    }
    return files->ca == NULL ||
           SSL_CTX_load_verify_locations(library, files->ca, NULL) == 1;
}

TlsContext *
TlsContext_Create(bool server, const TlsFiles *files, Error *error)
{
    TlsContext *this = g_new0(TlsContext, 1);

    this->server = server;
    this->library =
        SSL_CTX_new(server ? TLS_server_method() : TLS_client_method());
    if (this->library == NULL || !load_files(this->library, files)) {
        Error_Set(error, ERR_INVALID, "tls-files", STR(""), "%s",
                  ERR_reason_error_string(ERR_peek_last_error()));
        TlsContext_Destroy(this);
        return NULL;
    }
    SSL_CTX_set_min_proto_version(this->library, TLS1_2_VERSION);
    SSL_CTX_set_mode(this->library, SSL_MODE_ENABLE_PARTIAL_WRITE |
                                        SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    if (files->ca != NULL) {
        SSL_CTX_set_verify(this->library,
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
    SSL_CTX_free(this->library);
    g_free(this);
}

SSL *
TlsContext_Session(TlsContext *this, int fd, const char *address)
{
    SSL *session = SSL_new(this->library);

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
