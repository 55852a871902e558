/* Fails system calls of one process, by rate and seed, as Linux documents that they may fail.
 *
 * Loaded with LD_PRELOAD. GLENROCK_CALL_FAULTS names a control file of struct control, which the testbed maps too and
 * changes while the process runs; GLENROCK_CALL_FAULTS_LOG a file to which each fault is appended as one line:
 *
 *     <monotonic seconds> <call> <errno> <local port> <peer port>
 *
 * Errors that end a connection (ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH) really end it, both ways.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call {
    CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_RECEIVE, CALL_SEND, CALL_DATAGRAM, CALL_WAIT,
    CALL_SHORT_READ, CALL_SHORT_WRITE, CALL_SYNC, CALL_RENAME, CALL_FILE_WRITE, CALL_STALL, CALLS
};
static const char *const call_names[CALLS] = {
    "accept", "socket", "connect", "receive", "send", "datagram", "wait",
    "short_read", "short_write", "sync", "rename", "file_write", "stall"
};

#define MAX_ERRORS 8
struct rule {
    uint32_t per_million;
    uint32_t count; /* errors that follow */
    int32_t errors[MAX_ERRORS];
};
struct control {
    uint64_t seed;
    int64_t clock_step_ms; /* added to the wall clock */
    uint32_t stall_ms;
    uint32_t unused;
    struct rule rules[CALLS];
};

static volatile struct control *control;
static int log_fd = -1;
static uint64_t state;

static void real_sleep_ms(uint32_t ms)
{
    struct timespec span = {ms / 1000, (long)(ms % 1000) * 1000000L};
    nanosleep(&span, NULL);
}

static uint64_t draw(void) /* xorshift64* */
{
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return state * 2685821657736338717ULL;
}

__attribute__((constructor)) static void begin(void)
{
    const char *path = getenv("GLENROCK_CALL_FAULTS");
    const char *log = getenv("GLENROCK_CALL_FAULTS_LOG");
    int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped == MAP_FAILED)
        return;
    if (log)
        log_fd = open(log, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (log_fd >= 0 && log_fd < 1000) { /* out of the way of the process's own descriptors */
        struct stat ignored;
        int moved = fcntl(log_fd, F_DUPFD_CLOEXEC, 100);
        if (moved >= 0 && fstat(moved, &ignored) == 0) {
            close(log_fd);
            log_fd = moved;
        }
    }
    control = mapped;
    state = (control->seed + 1) * 0x9E3779B97F4A7C15ULL + (uint64_t)getpid();
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static uint16_t port_of(int fd, int peer)
{
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    int failed = peer ? getpeername(fd, (struct sockaddr *)&address, &length)
                      : getsockname(fd, (struct sockaddr *)&address, &length);
    return failed || address.sin_family != AF_INET ? 0 : ntohs(address.sin_port);
}

static void note(enum call call, int error, int fd)
{
    if (log_fd < 0)
        return;
    char line[128];
    struct timespec now;
    static int (*get_time)(clockid_t, struct timespec *);
    if (!get_time)
        get_time = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    get_time(CLOCK_MONOTONIC, &now);
    int size = snprintf(line, sizeof line, "%ld.%09ld %s %d %u %u\n", (long)now.tv_sec, now.tv_nsec, call_names[call],
                        error, fd < 0 ? 0 : port_of(fd, 0), fd < 0 ? 0 : port_of(fd, 1));
    static ssize_t (*put)(int, const void *, size_t);
    if (!put)
        put = (ssize_t(*)(int, const void *, size_t))dlsym(RTLD_NEXT, "write");
    if (put(log_fd, line, (size_t)size) < 0)
        return;
}

/* Whether this call fails; the errno is set then. */
static int fails(enum call call, int fd)
{
    if (!control || !control->rules[call].per_million || draw() % 1000000 >= control->rules[call].per_million)
        return 0;
    uint32_t count = control->rules[call].count;
    int error = count ? control->rules[call].errors[draw() % count] : 0;
    int before = errno;
    note(call, error, fd);
    errno = before;
    if (error == ECONNRESET || error == EPIPE || error == ETIMEDOUT || error == EHOSTUNREACH) {
        struct linger reset = {1, 0};
        if (call == CALL_RECEIVE || call == CALL_SEND) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(fd, SHUT_RDWR);
        }
    }
    errno = error;
    return 1;
}

static void perhaps_stall(void)
{
    if (control && control->stall_ms && fails(CALL_STALL, -1))
        real_sleep_ms(control->stall_ms);
}

static int is_tcp(int fd)
{
    int kind = 0;
    socklen_t length = sizeof kind;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &length) == 0 && kind == SOCK_STREAM;
}

static int is_file(int fd)
{
    struct stat status;
    return fd > 2 && fd != log_fd && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(accept4);
    perhaps_stall();
    return fails(CALL_ACCEPT, -1) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    return domain == AF_INET && fails(CALL_SOCKET, -1) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);
    perhaps_stall();
    if (address->sa_family != AF_INET || !fails(CALL_CONNECT, -1))
        return real(fd, address, length);
    /* connect(2): an interrupted call establishes the connection in the background, as with EINPROGRESS. */
    if (errno == EINTR && (real(fd, address, length) == 0 || errno == EINPROGRESS))
        errno = EINTR;
    return -1;
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    REAL(recv);
    if (is_tcp(fd)) {
        if (fails(CALL_RECEIVE, fd))
            return -1;
        if (size > 1 && fails(CALL_SHORT_READ, fd))
            size = 1;
    }
    return real(fd, buffer, size, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    REAL(send);
    perhaps_stall();
    if (is_tcp(fd)) {
        if (fails(CALL_SEND, fd))
            return -1;
        if (size > 1 && fails(CALL_SHORT_WRITE, fd))
            size = 1;
    }
    return real(fd, buffer, size, flags);
}

ssize_t sendto(int fd, const void *buffer, size_t size, int flags, const struct sockaddr *address, socklen_t length)
{
    REAL(sendto);
    return fails(CALL_DATAGRAM, -1) ? -1 : real(fd, buffer, size, flags, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    perhaps_stall();
    return fails(CALL_WAIT, -1) ? -1 : real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    perhaps_stall();
    return fails(CALL_WAIT, -1) ? -1 : real(fd, events, most, timeout, mask);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    REAL(write);
    if (control && control->rules[CALL_FILE_WRITE].per_million && is_file(fd) && fails(CALL_FILE_WRITE, -1)) {
        if (errno)
            return -1;
        size = size > 1 ? size / 2 : size; /* a rule without errors: a short write */
    }
    return real(fd, buffer, size);
}

int fsync(int fd)
{
    REAL(fsync);
    return fails(CALL_SYNC, -1) ? -1 : real(fd);
}

int rename(const char *from, const char *to)
{
    REAL(rename);
    return fails(CALL_RENAME, -1) ? -1 : real(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    REAL(clock_gettime);
    int result = real(clock, time);
    if (!result && clock == CLOCK_REALTIME && control) {
        int64_t step = control->clock_step_ms;
        time->tv_sec += step / 1000;
    }
    return result;
}
