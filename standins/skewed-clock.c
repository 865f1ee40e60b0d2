/* Library for LD_PRELOAD that shifts the time of day of a process. The file
 * named by SKEW_FILE holds the offset in microseconds and is read at each call.
 * The monotonic clock is not shifted, just as when an operator sets the clock
 * of a host. */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MICROS_PER_S 1000000

static int64_t
read_skew_us(void)
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
call_real_clock_gettime(clockid_t clock, struct timespec *time)
{
    static int (*real)(clockid_t, struct timespec *);

    if (real == NULL) {
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT,
                                                            "clock_gettime");
    }
    return real(clock, time);
}

static int64_t
skewed_now_us(void)
{
    struct timespec time;

    call_real_clock_gettime(CLOCK_REALTIME, &time);
    return (int64_t)time.tv_sec * MICROS_PER_S + time.tv_nsec / 1000 +
           read_skew_us();
}

int
clock_gettime(clockid_t clock, struct timespec *time)
{
    if (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) {
        int64_t now = skewed_now_us();

        time->tv_sec = now / MICROS_PER_S;
        time->tv_nsec = now % MICROS_PER_S * 1000;
        return 0;
    }
    return call_real_clock_gettime(clock, time);
}

int
gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    int64_t now = skewed_now_us();

    (void)zone;
    time->tv_sec = now / MICROS_PER_S;
    time->tv_usec = now % MICROS_PER_S;
    return 0;
}

time_t
time(time_t *out)
{
    time_t now = skewed_now_us() / MICROS_PER_S;

    if (out != NULL) {
        *out = now;
    }
    return now;
}
