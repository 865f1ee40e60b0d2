/* Library for LD_PRELOAD that gives a gateway host an address of its own on
 * loopback, SOURCE_ADDRESS, from which it connects. While the file named by
 * CUT_FILE exists, it holds a port of 127.0.0.1 to which connections to other
 * ports of that address are redirected, except to STORE_PORT. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int
call_real_connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);

    if (real == NULL) {
        real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(
            RTLD_NEXT, "connect");
    }
    return real(fd, address, length);
}

static uint16_t
read_cut_port(void)
{
    const char *path = getenv("CUT_FILE");
    char text[16] = "";
    int saved = errno;
    int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;

    if (fd >= 0) {
        if (read(fd, text, sizeof(text) - 1) < 0) {
            text[0] = 0;
        }
        close(fd);
    }
    errno = saved;
    return (uint16_t)strtoul(text, NULL, 10);
}

static void
bind_source(int fd)
{
    struct sockaddr_in source = {.sin_family = AF_INET};
    const char *text = getenv("SOURCE_ADDRESS");
    int on = 1;

    if (text != NULL && inet_pton(AF_INET, text, &source.sin_addr) == 1) {
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
        bind(fd, (struct sockaddr *)&source, sizeof(source));
    }
}

static int
leads_to_upstream(const struct sockaddr_in *target)
{
    const char *store = getenv("STORE_PORT");

    return target->sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
           (store == NULL ||
            ntohs(target->sin_port) != strtoul(store, NULL, 10));
}

int
connect(int fd, const struct sockaddr *address, socklen_t length)
{
    struct sockaddr_in target;
    uint16_t port;

    if (address->sa_family != AF_INET || length < sizeof(target)) {
        return call_real_connect(fd, address, length);
    }
    memcpy(&target, address, sizeof(target));
    bind_source(fd);
    port = read_cut_port();
    if (port > 0 && leads_to_upstream(&target)) {
        target.sin_port = htons(port);
    }
    return call_real_connect(fd, (struct sockaddr *)&target, sizeof(target));
}
