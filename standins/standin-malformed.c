#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpMessage.h"
#include "MalformedCase.h"
#include "Settings.h"

#define READ_BYTES 65536
#define RESPONSES_MAX 4
#define EXTRA_RESPONSE_WAIT_MS 100 /* for bytes after the last ones */

typedef struct Options_ {
    char *target;
    char *service;
    char *token;
    char *only;
    int64_t timeout_ms;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting OPTIONS[] = {
    {"target", SETTING_TEXT, FIELD(target), false, "127.0.0.1:port"},
    {"service", SETTING_TEXT, FIELD(service), false, "Host header"},
    {"token", SETTING_TEXT, FIELD(token), false, "bearer token"},
    {"only", SETTING_TEXT, FIELD(only), false, "run this case alone"},
    {"timeout-ms", SETTING_INT, FIELD(timeout_ms), false,
     "time without a byte after which a case ends"},
};

/* Responses on one connection; @closed: the peer closed it. */
typedef struct Responses_ {
    uint64_t statuses[RESPONSES_MAX];
    int count;
    bool closed;
} Responses;

static int
connect_to(const char *target)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    const char *colon = strrchr(target, ':');
    g_autofree char *host = NULL;
    int fd;

    if (colon == NULL) {
        return ERR_PARSE;
    }
    host = g_strndup(target, (gsize)(colon - target));
    address.sin_port = htons((uint16_t)atoi(colon + 1));
    if (inet_pton(AF_INET, host, &address.sin_addr) != 1) {
        return ERR_PARSE;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return ERR_UNAVAILABLE;
    }
    return fd;
}

/* Errors are ignored: the peer may reject the request and close before it has
 * read everything. */
static void
send_bytes(int fd, Str bytes, int gap_ms)
{
    size_t piece = gap_ms > 0 ? 1 : bytes.length;
    size_t done = 0;

    while (done < bytes.length) {
        ssize_t n = send(fd, bytes.data + done,
                         MIN(piece, bytes.length - done), MSG_NOSIGNAL);

        if (n <= 0) {
            return;
        }
        done += (size_t)n;
        if (gap_ms > 0) {
            g_usleep((gulong)gap_ms * 1000);
        }
    }
}

/* Counts the responses in @input; the last one may be incomplete. */
static void
count_responses(Responses *responses, const GString *input)
{
    Str rest = Str_FromString(input);
    HttpMessage message;

    responses->count = 0;
    while (responses->count < RESPONSES_MAX && rest.length > 0 &&
           HttpMessage_Parse(&message, rest) == 1) {
        size_t skip = message.bytes + message.length;
        uint64_t status = 0;

        Str_ParseU64(message.start[1], &status);
        if (status >= 200) {
            responses->statuses[responses->count++] = status;
        }
        skip = MIN(skip, rest.length);
        rest.data += skip;
        rest.length -= skip;
    }
}

static void
read_responses(int fd, int timeout_ms, Responses *responses)
{
    GString *input = g_string_new(NULL);
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    char bytes[READ_BYTES];

    while (poll(&wait, 1,
                input->len > 0 ? MIN(timeout_ms, EXTRA_RESPONSE_WAIT_MS)
                               : timeout_ms) > 0) {
        ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

        if (n <= 0) {
            responses->closed = true;
            break;
        }
        g_string_append_len(input, bytes, n);
    }
    count_responses(responses, input);
    g_string_free(input, TRUE);
}

static bool
meets_expectation(const MalformedCase *test, const Responses *responses)
{
    int ok = 0;

    for (int i = 0; i < responses->count; i++) {
        ok += responses->statuses[i] / 100 == 2;
    }
    switch (test->expectation) {
    case EXPECT_OK:
        return ok == 1 && responses->count == 1;
    case EXPECT_REJECTED:
        return ok == 0 && responses->count <= 1;
    case EXPECT_ANY:
        return true;
    }
    return false;
}

static void
print_responses(const MalformedCase *test, const Responses *responses,
                bool met)
{
    g_autofree char *name = g_strdelimit(g_strdup(test->name), "-", '_');

    if (responses->count > 0) {
        printf("%s=%" G_GUINT64_FORMAT "\n", name, responses->statuses[0]);
    }
    else {
        printf("%s=%s\n", name, responses->closed ? "closed" : "timeout");
    }
    printf("%s_answers=%d\n", name, responses->count);
    printf("%s_met=%s\n", name, met ? "yes" : "no");
}

static int
run_case(const MalformedCase *test, const Options *options)
{
    GString *bytes = g_string_new(NULL);
    Responses responses = {0};
    int fd = connect_to(options->target);
    bool met;

    if (fd < 0) {
        fprintf(stderr, "can not connect to %s\n", options->target);
        g_string_free(bytes, TRUE);
        return ERR_UNAVAILABLE;
    }
    MalformedCase_Write(test, options->service, options->token, bytes);
    send_bytes(fd, Str_FromString(bytes), test->gap_ms);
    if (test->close_early) {
        shutdown(fd, SHUT_WR);
    }
    read_responses(fd, (int)options->timeout_ms, &responses);
    close(fd);
    g_string_free(bytes, TRUE);
    met = meets_expectation(test, &responses);
    print_responses(test, &responses, met);
    return met ? 0 : 1;
}

static int
run_all(const Options *options)
{
    int cases = 0;
    int unmet = 0;

    for (size_t i = 0; i < MALFORMED_CASES_COUNT; i++) {
        const MalformedCase *test = &MALFORMED_CASES[i];
        int code;

        if (*options->only != '\0' && strcmp(options->only, test->name) != 0) {
            continue;
        }
        code = run_case(test, options);
        if (code < 0) {
            return 2;
        }
        cases++;
        unmet += code;
    }
    printf("cases=%d\nunmet=%d\n", cases, unmet);
    return unmet > 0 || cases == 0 ? 1 : 0;
}

int
main(int argc, char **argv)
{
    Options options = {.service = "demo", .timeout_ms = 500};
    int code =
        Settings_Parse(OPTIONS, G_N_ELEMENTS(OPTIONS), &options, argc, argv);
    int exit_code = code < 0 ? 2 : 0;

    signal(SIGPIPE, SIG_IGN);
    if (code == 0) {
        exit_code = run_all(&options);
    }
    Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &options);
    return exit_code;
}
