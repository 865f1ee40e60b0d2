#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpFetch.h"
#include "HttpServer.h"

#define BODY_BYTES 300000
/* More than the buffers of the system take. */
#define LONG_BODY_BYTES 16000000
#define CERTIFICATE_VALIDITY_S 3600
#define TEST_TIMEOUT_US (10 * MICROS_PER_S)
#define IDLE_TIME_US (100 * MICROS_PER_MS)
#define IDLE_ITERATIONS_MAX 50
/* The client reads a response long before the end of its connection. */
#define RAW_DELAY_US (50 * MICROS_PER_MS)

/* Paths of a self-signed certificate and its key. */
typedef struct CertificateFiles_ {
    char *certificate;
    char *key;
} CertificateFiles;

typedef struct Fixture_ {
    char *folder;
    Clock *clock;
    Loop *loop;
    HttpServer *server;
    HttpFetch *fetch;
    GString *received;
    GString *peer_name;
    int code;
    int status;
    size_t length;
    size_t body_bytes;
} Fixture;

static X509 *
sign(EVP_PKEY *key, const char *name, const char *address)
{
    X509 *certificate = X509_new();
    X509_NAME *subject = X509_get_subject_name(certificate);
    char *alternative = g_strdup_printf("IP:%s", address);
    X509_EXTENSION *extension;

    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -CERTIFICATE_VALIDITY_S);
    X509_gmtime_adj(X509_getm_notAfter(certificate), CERTIFICATE_VALIDITY_S);
    X509_set_pubkey(certificate, key);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               (const unsigned char *)name, -1, -1, 0);
    X509_set_issuer_name(certificate, subject);
    extension =
        X509V3_EXT_conf_nid(NULL, NULL, NID_subject_alt_name, alternative);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
    X509_sign(certificate, key, EVP_sha256());
    g_free(alternative);
    return certificate;
}

static CertificateFiles
create_certificate(const char *folder, const char *name, const char *address)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = sign(key, name, address);
    CertificateFiles files = {g_strdup_printf("%s/%s.pem", folder, name),
                              g_strdup_printf("%s/%s.key", folder, name)};
    FILE *file = fopen(files.certificate, "w");

    PEM_write_X509(file, certificate);
    fclose(file);
    file = fopen(files.key, "w");
    PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
    fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
}

static void
remove_certificate(CertificateFiles *files)
{
    g_remove(files->certificate);
    g_remove(files->key);
    g_free(files->certificate);
    g_free(files->key);
}

static void
on_request(void *user, HttpRequest *request)
{
    Fixture *f = user;
    Str name = HttpRequest_CertificateName(request);

    Str_AppendTo(name, f->peer_name);
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    Fixture *f = user;

    Str_AppendTo(data, f->received);
}

static void
on_body_end(void *user, HttpRequest *request)
{
    Fixture *f = user;
    HeaderList *headers = HeaderList_Create();

    HttpRequest_Respond(request, 200, headers, Str_FromString(f->received));
    HeaderList_Destroy(headers);
}

static void
on_drained(void *user, HttpRequest *request)
{
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
}

static const HttpServerHandlers handlers = {
    on_request, on_body, on_body_end, on_drained, on_closed,
};

static void
on_response(void *user, const HttpFetchResponse *response)
{
    Fixture *f = user;

    f->code = response->code;
    f->status = response->status;
    f->length = response->body.length;
    Loop_Stop(f->loop);
}

/* Sends a request whose body the server returns. The client trusts the
 * certificate of @trusted and presents that of @client_files, if not NULL. */
static void
transfer_body(Fixture *f, const CertificateFiles *server_files,
              const CertificateFiles *trusted,
              const CertificateFiles *client_files,
              bool require_client_certificate)
{
    HttpServerOptions server = {
        .address = "127.0.0.1",
        .keep_alive_s = 60,
        .certificate_file = server_files->certificate,
        .key_file = server_files->key,
        .client_ca_file =
            require_client_certificate ? trusted->certificate : NULL,
    };
    HttpClientOptions client = {
        .ca_file = trusted->certificate,
        .certificate_file =
            client_files != NULL ? client_files->certificate : NULL,
        .key_file = client_files != NULL ? client_files->key : NULL,
    };
    GString *body = g_string_new(NULL);
    char *url;

    for (size_t i = 0; i < f->body_bytes; i++) {
        g_string_append_c(body, (gchar)('a' + i % 26));
    }
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->received = g_string_new(NULL);
    f->peer_name = g_string_new(NULL);
    f->server = HttpServer_Create(f->loop, &server, &handlers, f, NULL);
    g_assert_nonnull(f->server);
    url = g_strdup_printf("https://127.0.0.1:%u", HttpServer_Port(f->server));
    f->fetch = HttpFetch_Create(f->loop, Str_FromC(url), 2 * f->body_bytes,
                                &client, NULL);
    HttpFetch_Send(f->fetch, STR("PUT"), STR("/"), NULL, Str_FromString(body),
                   TEST_TIMEOUT_US, on_response, f);
    Loop_Run(f->loop);
    g_string_free(body, TRUE);
    g_free(url);
}

static void
tear_down_transfer(Fixture *f)
{
    Loop_Destroy(f->loop);
    HttpFetch_Destroy(f->fetch);
    HttpServer_Destroy(f->server);
    Clock_Destroy(f->clock);
    g_string_free(f->received, TRUE);
    g_string_free(f->peer_name, TRUE);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    f->body_bytes = BODY_BYTES;
    f->folder = g_dir_make_tmp("agatecrank-tls-XXXXXX", NULL);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    g_rmdir(f->folder);
    g_free(f->folder);
}

/* Guards against bodies that are truncated at TLS records, and against a
 * client certificate that is not recognized. */
static void
test_transfer(Fixture *f, gconstpointer data)
{
    CertificateFiles files =
        create_certificate(f->folder, "host", "127.0.0.1");

    transfer_body(f, &files, &files, &files, true);
    g_assert_cmpint(f->code, ==, 0);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(f->length, ==, BODY_BYTES);
    g_assert_cmpstr(f->peer_name->str, ==, "host");
    tear_down_transfer(f);
    remove_certificate(&files);
}

static void
on_wake(void *user)
{
    Fixture *f = user;

    Loop_Stop(f->loop);
}

/* Guards against a connection that keeps the loop from waiting: a write that
 * had to wait is complete, but the connection still waits to write. */
static void
test_idle_after_transfer(Fixture *f, gconstpointer data)
{
    CertificateFiles files =
        create_certificate(f->folder, "host", "127.0.0.1");
    LoopTimer *timer;
    uint64_t iterations;

    f->body_bytes = LONG_BODY_BYTES;
    transfer_body(f, &files, &files, &files, true);
    timer = LoopTimer_Create(f->loop, on_wake, f);
    iterations = Loop_Iterations(f->loop);
    LoopTimer_Start(timer, IDLE_TIME_US);
    Loop_Run(f->loop);
    g_assert_cmpuint(Loop_Iterations(f->loop) - iterations, <,
                     IDLE_ITERATIONS_MAX);
    LoopTimer_Destroy(timer);
    tear_down_transfer(f);
    remove_certificate(&files);
}

/* Guards against a server with an untrusted certificate or one for another
 * address, and against a client without a trusted certificate where one is
 * required. */
static void
test_rejected_certificates(Fixture *f, gconstpointer data)
{
    CertificateFiles expected =
        create_certificate(f->folder, "right", "127.0.0.1");
    CertificateFiles other =
        create_certificate(f->folder, "other", "127.0.0.1");
    CertificateFiles other_address =
        create_certificate(f->folder, "moved", "127.0.0.9");
    const struct {
        const CertificateFiles *server_files;
        const CertificateFiles *trusted;
        const CertificateFiles *client_files;
        bool client_certificate_required;
    } cases[] = {
        {&expected, &other, NULL, false},
        {&other_address, &other_address, NULL, false},
        {&expected, &expected, NULL, true},
        {&expected, &expected, &other, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        transfer_body(f, cases[i].server_files, cases[i].trusted,
                      cases[i].client_files,
                      cases[i].client_certificate_required);
        g_assert_cmpint(f->code, <, 0);
        g_assert_cmpuint(f->received->len, ==, 0);
        tear_down_transfer(f);
    }
    remove_certificate(&expected);
    remove_certificate(&other);
    remove_certificate(&other_address);
}

/* How a raw server ends its connection after a response without a length. */
typedef enum RawEnd_ {
    RAW_END_NOTIFY, /* the rest of the request is read */
    RAW_END_NOTIFY_RESET,
    RAW_END_CLOSE, /* without a closure alert */
    RAW_END_HALF_CLOSE,
    RAW_END_RESET,
    RAW_END_LATE, /* the response has another part before the alert */
} RawEnd;

typedef struct RawCase_ {
    const char *name;
    RawEnd end;
    size_t body_bytes; /* of the request */
    int code;
} RawCase;

typedef struct RawServer_ {
    const RawCase *item;
    SSL_CTX *context;
    GThread *thread;
    int listen_fd;
    uint16_t port;
} RawServer;

static void
read_raw_head(SSL *session)
{
    char head[4096];
    int n = 0;

    while (n < (int)sizeof(head) - 1 && SSL_read(session, head + n, 1) == 1) {
        head[++n] = '\0';
        if (g_str_has_suffix(head, "\r\n\r\n")) {
            return;
        }
    }
}

static void
end_raw_connection(SSL *session, int fd, RawEnd end)
{
    static const struct linger at_once = {.l_onoff = 1};
    char rest[4096];

    switch (end) {
    case RAW_END_LATE:
        g_usleep(RAW_DELAY_US);
        SSL_write(session, "part", 4);
        g_usleep(RAW_DELAY_US);
        /* fall through */
    case RAW_END_NOTIFY:
        SSL_shutdown(session);
        while (recv(fd, rest, sizeof(rest), 0) > 0) {
        }
        break;
    case RAW_END_NOTIFY_RESET:
        SSL_shutdown(session);
        /* fall through */
    case RAW_END_RESET:
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        break;
    case RAW_END_HALF_CLOSE:
        shutdown(fd, SHUT_WR);
        while (recv(fd, rest, sizeof(rest), 0) > 0) {
        }
        break;
    case RAW_END_CLOSE:
        break;
    }
}

static gpointer
serve_raw(gpointer data)
{
    static const char response[] = "HTTP/1.1 200 OK\r\n\r\npart";
    RawServer *this = data;
    int fd = accept(this->listen_fd, NULL, NULL);
    SSL *session = SSL_new(this->context);

    SSL_set_fd(session, fd);
    if (SSL_accept(session) == 1) {
        read_raw_head(session);
        SSL_write(session, response, sizeof(response) - 1);
        g_usleep(RAW_DELAY_US);
        end_raw_connection(session, fd, this->item->end);
    }
    SSL_free(session);
    close(fd);
    return NULL;
}

static void
start_raw_server(RawServer *this, const CertificateFiles *files)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };
    socklen_t length = sizeof(address);

    this->context = SSL_CTX_new(TLS_server_method());
    g_assert_cmpint(SSL_CTX_use_certificate_file(
                        this->context, files->certificate, SSL_FILETYPE_PEM),
                    ==, 1);
    g_assert_cmpint(SSL_CTX_use_PrivateKey_file(this->context, files->key,
                                                SSL_FILETYPE_PEM),
                    ==, 1);
    this->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(this->listen_fd, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(this->listen_fd, 1), ==, 0);
    getsockname(this->listen_fd, (struct sockaddr *)&address, &length);
    this->port = ntohs(address.sin_port);
    this->thread = g_thread_new("raw server", serve_raw, this);
}

static void
stop_raw_server(RawServer *this)
{
    g_thread_join(this->thread);
    close(this->listen_fd);
    SSL_CTX_free(this->context);
}

/* Guards against the part of a body before a reset, or before an end without a
 * closure alert, that passes for a whole one, and against a whole one that is
 * lost, with and without a request that is still being sent. */
static void
test_end(Fixture *f, gconstpointer data)
{
    const RawCase *item = data;
    RawServer server = {.item = item};
    CertificateFiles files =
        create_certificate(f->folder, "host", "127.0.0.1");
    HttpClientOptions client = {.ca_file = files.certificate};
    g_autofree char *body = g_strnfill(item->body_bytes, 'u');
    g_autofree char *url = NULL;

    start_raw_server(&server, &files);
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    url = g_strdup_printf("https://127.0.0.1:%u", server.port);
    f->fetch =
        HttpFetch_Create(f->loop, Str_FromC(url), BODY_BYTES, &client, NULL);
    HttpFetch_Send(f->fetch, STR("PUT"), STR("/"), NULL,
                   (Str){body, item->body_bytes}, TEST_TIMEOUT_US, on_response,
                   f);
    Loop_Run(f->loop);
    g_assert_cmpint(f->code, ==, item->code);
    if (item->code == 0) {
        g_assert_cmpint(f->status, ==, 200);
        g_assert_cmpuint(f->length, ==, 4);
    }
    Loop_Destroy(f->loop);
    HttpFetch_Destroy(f->fetch);
    Clock_Destroy(f->clock);
    stop_raw_server(&server);
    remove_certificate(&files);
}

/* Guards against a connection that is taken for broken because another one has
 * ended with an error. */
static void
test_error_of_other_connection(Fixture *f, gconstpointer data)
{
    static const RawCase items[] = {{"late", RAW_END_LATE, 0, 0},
                                    {"close", RAW_END_CLOSE, 0, ERR_IO}};
    RawServer servers[] = {{.item = &items[0]}, {.item = &items[1]}};
    HttpFetch *fetches[2];
    CertificateFiles files =
        create_certificate(f->folder, "host", "127.0.0.1");
    HttpClientOptions client = {.ca_file = files.certificate};

    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        g_autofree char *url = NULL;

        start_raw_server(&servers[i], &files);
        url = g_strdup_printf("https://127.0.0.1:%u", servers[i].port);
        fetches[i] = HttpFetch_Create(f->loop, Str_FromC(url), BODY_BYTES,
                                      &client, NULL);
        HttpFetch_Send(fetches[i], STR("GET"), STR("/"), NULL, STR(""),
                       TEST_TIMEOUT_US, on_response, f);
    }
    Loop_Run(f->loop);
    g_assert_cmpint(f->code, ==, ERR_IO);
    Loop_Run(f->loop);
    g_assert_cmpint(f->code, ==, 0);
    g_assert_cmpuint(f->length, ==, 8);
    Loop_Destroy(f->loop);
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        HttpFetch_Destroy(fetches[i]);
        stop_raw_server(&servers[i]);
    }
    Clock_Destroy(f->clock);
    remove_certificate(&files);
}

static const RawCase raw_cases[] = {
    {"notify", RAW_END_NOTIFY, 0, 0},
    {"notify-in-upload", RAW_END_NOTIFY, LONG_BODY_BYTES, 0},
    {"notify-and-reset", RAW_END_NOTIFY_RESET, 0, 0},
    {"notify-and-reset-in-upload", RAW_END_NOTIFY_RESET, LONG_BODY_BYTES, 0},
    {"close", RAW_END_CLOSE, 0, ERR_IO},
    {"close-in-upload", RAW_END_CLOSE, LONG_BODY_BYTES, ERR_IO},
    {"half-close", RAW_END_HALF_CLOSE, 0, ERR_IO},
    {"half-close-in-upload", RAW_END_HALF_CLOSE, LONG_BODY_BYTES, ERR_IO},
    {"reset", RAW_END_RESET, 0, ERR_IO},
    {"reset-in-upload", RAW_END_RESET, LONG_BODY_BYTES, ERR_IO},
};

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/tls/both-ways", test_transfer);
    ADD("/tls/idle-after-transfer", test_idle_after_transfer);
    ADD("/tls/refused", test_rejected_certificates);
    ADD("/tls/error-of-other-connection", test_error_of_other_connection);
    for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
        g_autofree char *path =
            g_strdup_printf("/tls/end/%s", raw_cases[i].name);

        g_test_add(path, Fixture, &raw_cases[i], set_up, test_end, tear_down);
    }
    return g_test_run();
}
