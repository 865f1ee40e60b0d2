/* Preloaded into a process, shifts its time of day by the microseconds that
 * the file named in SKEW_FILE holds, read at each call. The monotonic clock is
 * left alone, as it is when an operator sets a host's clock. */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MICROS_PER_S 1000000

static int64_t
skew(void)
{
    const char *path = getenv("SKEW_FILE");
    char text[32] = "";
    int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;

    if (fd < 0) {
        return 0;
    }
    if (read(fd, text, sizeof(text) - 1) < 0) {
        text[0] = 0;
    }
    close(fd);
    return strtoll(text, NULL, 10);
}

static int
real_time(clockid_t clock, struct timespec *time)
{
    static int (*real)(clockid_t, struct timespec *);

    if (real == NULL) {
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT,
                                                            "clock_gettime");
    }
    return real(clock, time);
}

static int64_t
shifted_now(void)
{
    struct timespec time;

    real_time(CLOCK_REALTIME, &time);
    return (int64_t)time.tv_sec * MICROS_PER_S + time.tv_nsec / 1000 + skew();
}

int
clock_gettime(clockid_t clock, struct timespec *time)
{
    if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) {
        int64_t now = shifted_now();

        time->tv_sec = now / MICROS_PER_S;
        time->tv_nsec = now % MICROS_PER_S * 1000;
        return 0;
    }
    return real_time(clock, time);
}

int
gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    int64_t now = shifted_now();

    (void)zone;
    time->tv_sec = now / MICROS_PER_S;
    time->tv_usec = now % MICROS_PER_S;
    return 0;
}

time_t
time(time_t *out)
{
    time_t now = shifted_now() / MICROS_PER_S;

    if (out != NULL) {
        *out = now;
    }
    return now;
}
