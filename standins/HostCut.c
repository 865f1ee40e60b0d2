#include "HostCut.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that fill the accept queue of a listener with a backlog of 0. */
#define FILLERS 4

struct HostCut_ {
    LinkFaults *links;
    CutKind kind;
    GArray *hosts;
    char *file;
    int trap; /* socket to which new connections are redirected */
    int port; /* of the trap */
    int fillers[FILLERS];
};

bool
HostCut_ParseKind(const char *text, CutKind *kind)
{
    /* In the order of enum CutKind. */
    static const char *const names[] = {"silent", "refused", "reset"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_strcmp0(text, names[i]) == 0) {
            *kind = (CutKind)i;
            return true;
        }
    }
    return false;
}

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* Binds a port. Without a listener the system refuses connections to it. */
static bool
bind_trap(HostCut *this)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->trap = open_socket();
    if (bind(this->trap, (struct sockaddr *)&address, length) < 0 ||
        getsockname(this->trap, (struct sockaddr *)&address, &length) < 0) {
        return false;
    }
    this->port = ntohs(address.sin_port);
    return true;
}

/* While its accept queue is full, the system drops requests to connect. */
static bool
fill_queue(HostCut *this)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)this->port)};

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (listen(this->trap, 0) < 0) {
        return false;
    }
    for (int i = 0; i < FILLERS; i++) {
        this->fillers[i] = open_socket();
        if (connect(this->fillers[i], (struct sockaddr *)&address,
                    sizeof(address)) < 0 &&
            errno != EINPROGRESS) {
            return false;
        }
    }
    return true;
}

HostCut *
HostCut_Create(LinkFaults *links, CutKind kind, GArray *hosts,
               const char *file)
{
    HostCut *this = g_new0(HostCut, 1);

    this->links = links;
    this->kind = kind;
    this->hosts = hosts;
    this->file = g_strdup(file);
    for (int i = 0; i < FILLERS; i++) {
        this->fillers[i] = -1;
    }
    if (!bind_trap(this) || (kind == CUT_SILENT && !fill_queue(this))) {
        HostCut_Destroy(this);
        return NULL;
    }
    return this;
}

void
HostCut_Destroy(HostCut *this)
{
    if (this == NULL) {
        return;
    }
    for (int i = 0; i < FILLERS; i++) {
        if (this->fillers[i] >= 0) {
            close(this->fillers[i]);
        }
    }
    close(this->trap);
    g_array_free(this->hosts, TRUE);
    g_free(this->file);
    g_free(this);
}

void
HostCut_Begin(HostCut *this)
{
    g_autofree char *text = g_strdup_printf("%d\n", this->port);

    if (!g_file_set_contents(this->file, text, -1, NULL)) {
        g_error("cannot write %s", this->file);
    }
    switch (this->kind) {
    case CUT_SILENT:
        LinkFaults_SilenceSources(this->links, LINKS_TO_UPSTREAMS,
                                  this->hosts);
        break;
    case CUT_RESET:
        LinkFaults_ResetSources(this->links, LINKS_TO_UPSTREAMS, this->hosts);
        break;
    case CUT_REFUSED:
        break;
    }
}

void
HostCut_End(HostCut *this)
{
    g_unlink(this->file);
    LinkFaults_SilenceSources(this->links, LINKS_TO_UPSTREAMS, NULL);
}
