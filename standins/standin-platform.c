#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>

#include "CutExcuse.h"
#include "HostCut.h"
#include "HostEvents.h"
#include "PlatformCaller.h"
#include "PlatformUpstream.h"
#include "Settings.h"

/* Simulates the platform around gateway hosts in one process: store, upstreams
 * and callers. Injects faults by a seed, and checks the guarantees of the hosts
 * from both sides of them. */

#define HOST "gateway.example"
#define SERVICE "desk"
/* graceS of the hosts. */
#define STOP_GRACE_US (6 * MICROS_PER_S)
/* Time for which callers wait longer than the routes allow. */
#define CALLER_EXTRA_TIME_US (300 * MICROS_PER_MS)
/* Time after the last call in which responses arrive, at least. */
#define LAST_WAIT_MIN_US (2 * MICROS_PER_S)
#define CONFIG_INTERVAL_US (3 * MICROS_PER_S)
#define COPY_AGE_US (2 * MICROS_PER_S)
#define RESTORE_OUTAGE_US (300 * MICROS_PER_MS)
#define REWRITE_DELAY_US (1 * MICROS_PER_S)
/* Time in which a host notices that its path is cut. */
#define CUT_NOTICE_US (3 * MICROS_PER_S)
/* Least share of the calls that a cut host serves, of that of the others. */
#define CUT_SERVED_LEAST_RATIO (2.0 / 3)
/* Calls at cut hosts that are needed for a verdict. */
#define CUT_CALLS_LEAST 20
#define LIMIT_MIN_PER_S 1.0
#define LIMIT_SPREAD_PER_S 4.0
#define LOST_RESPONSE_RATIO 0.005
#define RETRY_WINDOW_US (10 * MICROS_PER_S)
#define RETRY_RATIO 0.2
#define RETRY_EXTRA 64
#define PRESSED_TIME_US (1000 * MICROS_PER_MS)
/* One in so many notices is of all upstreams at once. */
#define NOTICE_OF_ALL_ONE_IN 12

typedef struct Options_ {
    int64_t seed;
    int64_t upstreams;
    int64_t domains;
    int64_t start_ms;
    int64_t load_ms;
    int64_t rest_ms;
    int64_t work_ms;
    int64_t route_ms;
    int64_t drain_ms;
    int64_t show_late_ms;
    int64_t crash_interval_ms;
    int64_t limit_interval_ms;
    int64_t notice_interval_ms;
    int64_t restore_interval_ms;
    int64_t cut_hosts;
    int64_t body_bytes_max;
    int64_t head_bytes_max;
    int64_t loss_period_ms;
    double loss_ratio;
    double rate;
    double fault_period_s;
    double link_period_s;
    double served_least;
    double endless_share;
    double repeated_share;
    int64_t outdated_interval_ms;
    char *hosts;
    char *cut_kind;
    char *cut_file;
    char *host_events;
    char *host_states;
    char *host_stops;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting OPTIONS[] = {
    {"seed", SETTING_INT, FIELD(seed), false, "seed of load and faults"},
    {"upstreams", SETTING_INT, FIELD(upstreams), false, "number of them"},
    {"domains", SETTING_INT, FIELD(domains), false, "failure domains"},
    {"start-ms", SETTING_INT, FIELD(start_ms), false,
     "time before the callers begin"},
    {"load-ms", SETTING_INT, FIELD(load_ms), false, "time of load and faults"},
    {"rest-ms", SETTING_INT, FIELD(rest_ms), false,
     "time of load after the last fault"},
    {"work-ms", SETTING_INT, FIELD(work_ms), false, "mean time of a request"},
    {"route-ms", SETTING_INT, FIELD(route_ms), false,
     "timeoutS of the routes"},
    {"drain-ms", SETTING_INT, FIELD(drain_ms), false,
     "bound for requests to an upstream that told that it leaves"},
    {"show-late-ms", SETTING_INT, FIELD(show_late_ms), false,
     "print calls that are not served or take longer, 0 for none"},
    {"crash-interval-ms", SETTING_INT, FIELD(crash_interval_ms), false,
     "mean time between requests that end upstreams, 0 for none"},
    {"limit-interval-ms", SETTING_INT, FIELD(limit_interval_ms), false,
     "mean time between changes of the limits of upstreams, 0 for none"},
    {"notice-interval-ms", SETTING_INT, FIELD(notice_interval_ms), false,
     "mean time between upstreams that leave or ask for pauses, 0 for none"},
    {"restore-interval-ms", SETTING_INT, FIELD(restore_interval_ms), false,
     "mean time between returns of the store from a copy, 0 for none"},
    {"loss-period-ms", SETTING_INT, FIELD(loss_period_ms), false,
     "time of each loss of many responses and of each pause between them, 0 "
     "for"
     " none"},
    {"loss-ratio", SETTING_REAL, FIELD(loss_ratio), false,
     "share of the responses that are lost then"},
    {"rate", SETTING_REAL, FIELD(rate), false, "calls a second"},
    {"fault-period-s", SETTING_REAL, FIELD(fault_period_s), false,
     "mean time between faults, 0 for none"},
    {"link-period-s", SETTING_REAL, FIELD(link_period_s), false,
     "mean time between faults of links and of records, 0 for none"},
    {"served-least", SETTING_REAL, FIELD(served_least), false,
     "share of the calls after the last fault that must be served"},
    {"endless-share", SETTING_REAL, FIELD(endless_share), false,
     "share of the responses of upstreams that do not end"},
    {"repeated-share", SETTING_REAL, FIELD(repeated_share), false,
     "share of the refusals of upstreams that are sent once more"},
    {"outdated-interval-ms", SETTING_INT, FIELD(outdated_interval_ms), false,
     "mean time between entries of ended upstreams whose address is in use, 0 "
     "for none"},
    {"body-bytes-max", SETTING_INT, FIELD(body_bytes_max), false,
     "limit on request bodies in the configuration"},
    {"head-bytes-max", SETTING_INT, FIELD(head_bytes_max), false,
     "limit on header blocks in the configuration"},
    {"hosts", SETTING_TEXT, FIELD(hosts), false,
     "ADDRESS:PORT,... of the gateway hosts"},
    {"cut-hosts", SETTING_INT, FIELD(cut_hosts), false,
     "number of hosts, the first ones, that reach no upstream during the "
     "load"},
    {"cut-kind", SETTING_TEXT, FIELD(cut_kind), false,
     "silent, refused or reset"},
    {"host-events", SETTING_TEXT, FIELD(host_events), false,
     "file with the times at which hosts are started and frozen"},
    {"host-stops", SETTING_TEXT, FIELD(host_stops), false,
     "file with the times at which hosts are told to stop; requests around "
     "stops are checked"},
    {"cut-file", SETTING_TEXT, FIELD(cut_file), false,
     "file by which the hosts' library learns of the cut"},
    {"host-states", SETTING_TEXT, FIELD(host_states), false,
     "folder with a file for each host that says whether it is up"},
};

typedef struct Platform_ {
    Options options;
    Clock *clock;
    Random *random;
    Random *link_random; /* separate: link faults do not change others */
    Random *crash_random;
    Random *limit_random;
    Random *notice_random;
    Random *restore_random;
    Random *outdated_random;
    HttpLoop *loop;
    PlatformStore *store;
    PlatformChecker *checker;
    LinkFaults *links;
    PlatformCaller *caller;
    GPtrArray *upstreams; /* PlatformUpstream */
    Timer phase_timer;
    Timer fault_timer;
    Timer link_fault_timer;
    Timer store_recovery_timer;
    Timer config_timer;
    Timer crash_timer;
    Timer limit_timer;
    Timer notice_timer;
    Timer outdated_timer;
    Timer copy_timer;
    Timer restore_timer;
    Timer rewrite_timer;
    Timer cut_timer;
    GArray *hosts;      /* in_addr_t */
    HostEvents *events; /* NULL if none are recorded */
    HostEvents *stops;  /* the same */
    HostCut *cut;       /* NULL without cut hosts */
    HostStates *states; /* NULL without their folder */
    CutExcuse *excuse;  /* the same */
    Timer loss_timer;
    Micros store_sound_since;
    double lost_response_ratio;
    unsigned version;
    unsigned served_before_check;
    unsigned sent_before_check;
    int phase;
    bool faults_ended;
} Platform;

static Micros
caller_timeout(const Platform *this)
{
    return this->options.route_ms * MICROS_PER_MS + CALLER_EXTRA_TIME_US;
}

static void
publish_config(Platform *this)
{
    double timeout_s = (double)this->options.route_ms / 1000;
    /* Probes would tell which entries are outdated. */
    const char *health_path = this->options.outdated_interval_ms > 0
                                  ? ""
                                  : ",\"healthPath\":\"/health\"";
    g_autofree char *text = g_strdup_printf(
        "{\"version\":\"%08x\",\"services\":[{\"name\":\"" SERVICE
        "\"%s}],\"limits\":{\"maxHeaderBytes\":%" G_GINT64_FORMAT
        ",\"maxBodyBytes\":%" G_GINT64_FORMAT
        ",\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
        "\"hosts\":[{\"host\":\"" HOST "\",\"paths\":["
        "{\"name\":\"safe\",\"pathPrefix\":\"/safe/\",\"kind\":\"safe\","
        "\"timeoutS\":%.3f,\"targetLatencyS\":0.25,\"priority\":2,"
        "\"service\":\"" SERVICE "\",\"maxAttempts\":2},"
        "{\"name\":\"once\",\"pathPrefix\":\"/once/\",\"kind\":\"unsafe\","
        "\"timeoutS\":%.3f,\"targetLatencyS\":0.3,\"priority\":1,"
        "\"service\":\"" SERVICE "\",\"maxAttempts\":2}]}]}",
        ++this->version, health_path, this->options.head_bytes_max,
        this->options.body_bytes_max, timeout_s, timeout_s);

    PlatformStore_Put(this->store, "keyed.op", "config", text);
}

static void
on_config_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, config_timer);

    publish_config(this);
    Timer_Start(&this->config_timer, this->loop->timers, CONFIG_INTERVAL_US,
                on_config_timer);
}

static PlatformUpstream *
random_upstream(Platform *this)
{
    return g_ptr_array_index(this->upstreams,
                             Random_Below(this->random, this->upstreams->len));
}

static unsigned
count_running_upstreams(const Platform *this)
{
    unsigned n = 0;

    for (guint i = 0; i < this->upstreams->len; i++) {
        n += PlatformUpstream_IsUp(g_ptr_array_index(this->upstreams, i));
    }
    return n;
}

static void
extend_drain_limits(Platform *this)
{
    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream_ExtendDrainLimit(
            g_ptr_array_index(this->upstreams, i));
    }
}

static void
on_store_recovery(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, store_recovery_timer);

    PlatformStore_SetMode(this->store, STORE_UP);
    this->store_sound_since = Clock_Now(this->clock);
    extend_drain_limits(this);
}

static void
inject_store_fault(Platform *this)
{
    static const StoreMode modes[] = {STORE_UNAVAILABLE,  STORE_RATE_LIMITED,
                                      STORE_UNRESPONSIVE, STORE_DISCONNECTING,
                                      STORE_SLOW,         STORE_GARBLED};
    Micros duration = MICROS_PER_S / 2 +
                      (Micros)Random_Below(this->random, 3 * MICROS_PER_S);

    PlatformStore_SetMode(
        this->store, modes[Random_Below(this->random, G_N_ELEMENTS(modes))]);
    Timer_Start(&this->store_recovery_timer, this->loop->timers, duration,
                on_store_recovery);
}

/* Keeps half of the upstreams up, so that calls can still be served. */
static void
inject_upstream_fault(Platform *this)
{
    PlatformUpstream *upstream = random_upstream(this);
    const char *name = "restart";

    if (!PlatformUpstream_IsUp(upstream)) {
        PlatformUpstream_Restart(upstream);
    }
    else if (count_running_upstreams(this) <= this->upstreams->len / 2) {
        name = "none";
    }
    else if (Random_Below(this->random, 2) == 0) {
        name = "crash";
        PlatformUpstream_Crash(upstream);
    }
    else {
        name = "drain";
        PlatformUpstream_Drain(upstream);
    }
    printf("fault=%s\n", name);
}

static void
inject_fault(Platform *this)
{
    switch (Random_Below(this->random, 8)) {
    case 0:
        printf("fault=store\n");
        inject_store_fault(this);
        break;
    case 1:
        printf("fault=forget\n");
        PlatformStore_Compact(this->store);
        break;
    case 2:
        printf("fault=silence\n");
        PlatformUpstream_StallConnections(random_upstream(this));
        break;
    default:
        inject_upstream_fault(this);
    }
    fflush(stdout);
}

static void
on_fault_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, fault_timer);
    double period = this->options.fault_period_s * MICROS_PER_S;

    if (this->faults_ended || period <= 0) {
        return;
    }
    inject_fault(this);
    Timer_Start(&this->fault_timer, this->loop->timers,
                1 + (Micros)Random_Exponential(this->random, period),
                on_fault_timer);
}

static void
on_link_clear(void *user, LinkGroup group)
{
    Platform *this = user;

    if (group == LINKS_TO_STORE) {
        this->store_sound_since = Clock_Now(this->clock);
        extend_drain_limits(this);
    }
}

/* Writes a malformed upstream record or configuration, as another writer might
 * do. */
static void
write_malformed_record(Platform *this)
{
    static const char *const records[] = {
        "{",
        "\xff\xfe",
        "[]",
        "{\"address\":7,\"born\":\"now\"}",
        "{\"address\":\"127.0.0.1:1\",\"born\":1.5,\"info\":{\"service\":"
        "\"" SERVICE "\"},\"status\":{\"state\":\"odd\",\"seqNo\":1}}",
    };
    const char *record =
        records[Random_Below(this->link_random, G_N_ELEMENTS(records))];

    if (Random_Below(this->link_random, 3) == 0) {
        PlatformStore_Put(this->store, "keyed.op", "config", record);
    }
    else {
        PlatformStore_Put(this->store, "keyed.servers", "i-stranger", record);
    }
}

static void
write_stale_record(Platform *this)
{
    PlatformUpstream_WriteStaleRecord(g_ptr_array_index(
        this->upstreams,
        Random_Below(this->link_random, this->upstreams->len)));
}

static void
on_link_fault_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, link_fault_timer);
    double period = this->options.link_period_s * MICROS_PER_S;

    if (this->faults_ended || period <= 0) {
        return;
    }
    switch (Random_Below(this->link_random, 6)) {
    case 0:
        printf("fault=bad-record\n");
        write_malformed_record(this);
        break;
    case 1:
        printf("fault=late-write\n");
        write_stale_record(this);
        break;
    default:
        LinkFaults_Inject(this->links);
    }
    fflush(stdout);
    Timer_Start(&this->link_fault_timer, this->loop->timers,
                1 + (Micros)Random_Exponential(this->link_random, period),
                on_link_fault_timer);
}

static void
on_crash_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, crash_timer);
    Micros interval = this->options.crash_interval_ms * MICROS_PER_MS;

    if (this->faults_ended || interval <= 0) {
        return;
    }
    PlatformCaller_SendCrashing(this->caller,
                                Random_Below(this->crash_random, 2) == 0);
    Timer_Start(&this->crash_timer, this->loop->timers,
                Random_Jitter(this->crash_random, interval), on_crash_timer);
}

static void
on_limit_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, limit_timer);
    Micros interval = this->options.limit_interval_ms * MICROS_PER_MS;
    PlatformUpstream *upstream;

    if (this->faults_ended || interval <= 0) {
        return;
    }
    upstream =
        g_ptr_array_index(this->upstreams, Random_Below(this->limit_random,
                                                        this->upstreams->len));
    if (PlatformUpstream_Limit(upstream) >= 0 &&
        Random_Below(this->limit_random, 2) == 0) {
        PlatformUpstream_SetLimit(upstream, -1);
    }
    else {
        PlatformUpstream_SetLimit(
            upstream, LIMIT_MIN_PER_S + Random_Unit(this->limit_random) *
                                            LIMIT_SPREAD_PER_S);
    }
    Timer_Start(&this->limit_timer, this->loop->timers,
                Random_Jitter(this->limit_random, interval), on_limit_timer);
}

static double
usual_loss_ratio(const Platform *this)
{
    return this->options.fault_period_s > 0 ? LOST_RESPONSE_RATIO : 0;
}

static void start_loss_timer(Platform *this);

static void
on_loss_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, loss_timer);
    bool losing = this->lost_response_ratio > usual_loss_ratio(this);

    if (this->faults_ended) {
        return;
    }
    this->lost_response_ratio =
        losing ? usual_loss_ratio(this) : this->options.loss_ratio;
    printf("fault=responses ratio=%.3f\n", this->lost_response_ratio);
    fflush(stdout);
    start_loss_timer(this);
}

static void
start_loss_timer(Platform *this)
{
    Micros period = this->options.loss_period_ms * MICROS_PER_MS;

    if (period > 0) {
        Timer_Start(&this->loss_timer, this->loop->timers, period,
                    on_loss_timer);
    }
}

static void
press_all(Platform *this)
{
    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream_Press(
            g_ptr_array_index(this->upstreams, i),
            Random_Jitter(this->notice_random, PRESSED_TIME_US));
    }
}

static void
announce(Platform *this, PlatformUpstream *upstream)
{
    switch (Random_Below(this->notice_random, 4)) {
    case 0:
        if (PlatformUpstream_IsUp(upstream)) {
            PlatformUpstream_Leave(upstream);
        }
        break;
    case 1:
        PlatformUpstream_SetMalformed(upstream, true);
        break;
    case 2:
        PlatformUpstream_SetMalformed(upstream, false);
        break;
    default:
        PlatformUpstream_Press(
            upstream, Random_Jitter(this->notice_random, PRESSED_TIME_US));
    }
}

static void
on_notice_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, notice_timer);
    Micros interval = this->options.notice_interval_ms * MICROS_PER_MS;

    if (this->faults_ended || interval <= 0) {
        return;
    }
    if (Random_Below(this->notice_random, NOTICE_OF_ALL_ONE_IN) == 0) {
        press_all(this);
    }
    else {
        announce(this, g_ptr_array_index(this->upstreams,
                                         Random_Below(this->notice_random,
                                                      this->upstreams->len)));
    }
    Timer_Start(&this->notice_timer, this->loop->timers,
                Random_Jitter(this->notice_random, interval), on_notice_timer);
}

static void
on_outdated_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, outdated_timer);
    Micros interval = this->options.outdated_interval_ms * MICROS_PER_MS;

    if (this->faults_ended || interval <= 0) {
        return;
    }
    PlatformUpstream_ListOutdated(g_ptr_array_index(
        this->upstreams,
        Random_Below(this->outdated_random, this->upstreams->len)));
    Timer_Start(&this->outdated_timer, this->loop->timers,
                Random_Jitter(this->outdated_random, interval),
                on_outdated_timer);
}

static void on_copy_timer(Timer *timer);

/* Upstreams write what they know again; operators have done so at once. One
 * that leaves has written that already. */
static void
on_rewrite_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, rewrite_timer);

    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream *upstream = g_ptr_array_index(this->upstreams, i);

        if (PlatformUpstream_IsUp(upstream)) {
            PlatformUpstream_Describe(upstream);
        }
    }
}

/* Writes again what the copy lacks of an upstream that leaves. */
static void
drain_after_restore(Platform *this)
{
    PlatformUpstream *upstream =
        g_ptr_array_index(this->upstreams, Random_Below(this->restore_random,
                                                        this->upstreams->len));

    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream *other = g_ptr_array_index(this->upstreams, i);

        if (!PlatformUpstream_IsUp(other)) {
            PlatformUpstream_Describe(other);
        }
    }
    if (PlatformUpstream_IsUp(upstream) &&
        count_running_upstreams(this) > this->upstreams->len / 2) {
        PlatformUpstream_Drain(upstream);
    }
}

static void
restore_store(Platform *this)
{
    printf("fault=restore\n");
    fflush(stdout);
    PlatformStore_SetMode(this->store, STORE_UP);
    PlatformStore_Restore(this->store);
    publish_config(this);
    this->store_sound_since = Clock_Now(this->clock);
    extend_drain_limits(this);
    drain_after_restore(this);
    /* Written at once, they let the end pass the offsets of the hosts. */
    Timer_Start(&this->rewrite_timer, this->loop->timers,
                Random_Below(this->restore_random, 2) == 0
                    ? 1
                    : Random_Jitter(this->restore_random, REWRITE_DELAY_US),
                on_rewrite_timer);
}

static void
on_restore_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, restore_timer);

    if (PlatformStore_IsUp(this->store)) {
        PlatformStore_SetMode(this->store, STORE_UNAVAILABLE);
        Timer_Start(&this->restore_timer, this->loop->timers,
                    Random_Jitter(this->restore_random, RESTORE_OUTAGE_US),
                    on_restore_timer);
        return;
    }
    restore_store(this);
    on_copy_timer(&this->copy_timer);
}

static void
on_copy_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, copy_timer);
    Micros interval = this->options.restore_interval_ms * MICROS_PER_MS;

    if (this->faults_ended || interval <= 0) {
        return;
    }
    PlatformStore_Copy(this->store);
    Timer_Start(&this->restore_timer, this->loop->timers,
                MAX(Random_Jitter(this->restore_random, interval),
                    Random_Jitter(this->restore_random, COPY_AGE_US)),
                on_restore_timer);
}

static void
on_cut_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, cut_timer);

    PlatformChecker_CountShares(this->checker, true);
}

static guint
cut_host_count(const Platform *this)
{
    return MIN((guint)this->options.cut_hosts, this->hosts->len);
}

static void
report_cut(const Platform *this)
{
    for (guint i = 0; i < cut_host_count(this); i++) {
        NoticeCheck_OnCut(PlatformChecker_Notices(this->checker), i,
                          Clock_Now(this->clock));
    }
}

static void
begin_cut(Platform *this)
{
    if (this->cut != NULL) {
        printf("fault=cut kind=%s\n", this->options.cut_kind);
        fflush(stdout);
        HostCut_Begin(this->cut);
        report_cut(this);
        Timer_Start(&this->cut_timer, this->loop->timers, CUT_NOTICE_US,
                    on_cut_timer);
    }
}

static void
end_cut(Platform *this)
{
    if (this->cut != NULL) {
        Timer_Stop(&this->cut_timer);
        HostCut_End(this->cut);
        report_cut(this);
        PlatformChecker_CountShares(this->checker, false);
    }
}

static void
end_faults(Platform *this)
{
    this->faults_ended = true;
    end_cut(this);
    this->lost_response_ratio = usual_loss_ratio(this);
    Timer_Stop(&this->restore_timer);
    Timer_Stop(&this->store_recovery_timer);
    on_store_recovery(&this->store_recovery_timer);
    if (PlatformChecker_Stops(this->checker) != NULL) {
        StopCheck_ExcuseOpen(PlatformChecker_Stops(this->checker));
    }
    LinkFaults_ClearAll(this->links);
    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream *upstream = g_ptr_array_index(this->upstreams, i);

        PlatformUpstream_SetLimit(upstream, -1);
        PlatformUpstream_SetMalformed(upstream, false);
        PlatformUpstream_Press(upstream, 0);
        if (!PlatformUpstream_IsUp(upstream)) {
            PlatformUpstream_Restart(upstream);
        }
    }
    printf("faults=over\n");
    fflush(stdout);
}

/* Phases: start (before the first call), load with faults, recovery, load
 * without faults (checked), wait for the last responses. */
static void
on_phase_timer(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, phase_timer);
    const Options *options = &this->options;
    Micros duration = 0;

    switch (this->phase++) {
    case 0:
        PlatformCaller_Start(this->caller);
        on_fault_timer(&this->fault_timer);
        on_link_fault_timer(&this->link_fault_timer);
        on_crash_timer(&this->crash_timer);
        on_limit_timer(&this->limit_timer);
        on_notice_timer(&this->notice_timer);
        on_outdated_timer(&this->outdated_timer);
        on_copy_timer(&this->copy_timer);
        begin_cut(this);
        start_loss_timer(this);
        duration = options->load_ms * MICROS_PER_MS;
        break;
    case 1:
        end_faults(this);
        duration = options->rest_ms * MICROS_PER_MS;
        break;
    case 2:
        this->served_before_check = PlatformChecker_ServedCount(this->checker);
        this->sent_before_check = PlatformChecker_SentCount(this->checker);
        /* The last stops may not be over. */
        if (this->stops == NULL) {
            PlatformChecker_RequireResponses(this->checker);
        }
        duration = options->rest_ms * MICROS_PER_MS;
        break;
    case 3:
        PlatformCaller_Stop(this->caller);
        duration =
            MAX(LAST_WAIT_MIN_US, caller_timeout(this) + LAST_WAIT_MIN_US / 4);
        break;
    default:
        HttpLoop_Stop();
        return;
    }
    Timer_Start(&this->phase_timer, this->loop->timers, duration,
                on_phase_timer);
}

static bool
create_upstreams(Platform *this)
{
    PlatformContext context = {
        .loop = this->loop,
        .clock = this->clock,
        .random = this->random,
        .store = this->store,
        .checker = this->checker,
        .links = this->links,
        .hosts = this->hosts,
        .mean_service_time = this->options.work_ms * MICROS_PER_MS,
        .lost_response_ratio = &this->lost_response_ratio,
        .truncated_response_ratio =
            this->options.fault_period_s > 0 ? 0.005 : 0,
        .endless_response_ratio = this->options.endless_share,
        .repeated_refusal_ratio = this->options.repeated_share,
        .store_sound_since = &this->store_sound_since,
        .drain_limit = this->options.drain_ms * MICROS_PER_MS,
    };

    for (int64_t i = 0; i < this->options.upstreams; i++) {
        g_autofree char *domain =
            g_strdup_printf("d%d", (int)(i % this->options.domains));
        PlatformUpstream *upstream =
            PlatformUpstream_Create(&context, SERVICE, domain, (unsigned)i);

        if (upstream == NULL) {
            return false;
        }
        g_ptr_array_add(this->upstreams, upstream);
    }
    return true;
}

/* Adds a link from the callers to each host, and one from each host to the
 * store. Returns the addresses for the callers, or NULL if a link fails. */
static char *
create_host_links(Platform *this)
{
    g_auto(GStrv) hosts = g_strsplit(this->options.hosts, ",", -1);
    g_autofree char *store =
        g_strdup_printf("127.0.0.1:%d", PlatformStore_Port(this->store));
    GString *targets = g_string_new(NULL);
    GString *ports = g_string_new(NULL);

    for (int i = 0; hosts[i] != NULL; i++) {
        int to_host = LinkFaults_Add(this->links, LINKS_TO_HOSTS, hosts[i]);
        int to_store = LinkFaults_Add(this->links, LINKS_TO_STORE, store);

        if (to_host < 0 || to_store < 0) {
            g_string_free(targets, TRUE);
            g_string_free(ports, TRUE);
            return NULL;
        }
        g_string_append_printf(targets, "%s127.0.0.1:%d", i > 0 ? "," : "",
                               to_host);
        g_string_append_printf(ports, " %d", to_store);
    }
    printf("store_ports=%s\n", ports->str);
    fflush(stdout);
    g_string_free(ports, TRUE);
    return g_string_free(targets, FALSE);
}

static GArray *
list_hosts(const Platform *this)
{
    g_auto(GStrv) hosts = g_strsplit(this->options.hosts, ",", -1);
    GArray *addresses = g_array_new(FALSE, FALSE, sizeof(in_addr_t));

    for (int i = 0; hosts[i] != NULL; i++) {
        g_autofree char *host = g_strndup(hosts[i], strcspn(hosts[i], ":"));
        in_addr_t address = inet_addr(host);

        g_array_append_val(addresses, address);
    }
    return addresses;
}

static bool
create_cut(Platform *this)
{
    GArray *addresses;
    CutKind kind;

    if (this->options.cut_hosts == 0) {
        return true;
    }
    if (!HostCut_ParseKind(this->options.cut_kind, &kind)) {
        return false;
    }
    addresses = g_array_new(FALSE, FALSE, sizeof(in_addr_t));
    g_array_append_vals(addresses, this->hosts->data, cut_host_count(this));
    this->cut =
        HostCut_Create(this->links, kind, addresses, this->options.cut_file);
    return this->cut != NULL;
}

static bool
is_excused(void *user, unsigned host)
{
    Platform *this = user;

    for (guint i = 0; i < this->hosts->len; i++) {
        CutExcuse_OnStore(
            this->excuse, i,
            PlatformStore_IsUp(this->store) &&
                !LinkFaults_IsCut(this->links, LINKS_TO_STORE, i));
    }
    return CutExcuse_Applies(this->excuse, host);
}

static void
create_excuse(Platform *this)
{
    this->states = HostStates_Create(this->options.host_states, this->clock);
    this->excuse =
        CutExcuse_Create(this->states, this->links, this->hosts->len,
                         (unsigned)this->options.cut_hosts, this->clock);
    PlatformChecker_SetExcuse(this->checker, is_excused, this);
}

static void
create_stop_check(Platform *this)
{
    StopCheckOptions options = {
        .grace = STOP_GRACE_US,
        .route_time = this->options.route_ms * MICROS_PER_MS,
        .cut_hosts = (unsigned)this->options.cut_hosts,
    };

    this->stops = HostEvents_Create(this->options.host_stops, this->clock);
    options.stops = this->stops;
    PlatformChecker_SetStops(this->checker, StopCheck_Create(&options));
}

static unsigned
print_cut(const Platform *this)
{
    unsigned cut = (unsigned)this->options.cut_hosts;
    unsigned counted = PlatformChecker_CountedCount(this->checker, 0, cut);
    double at_cut = PlatformChecker_ServedShare(this->checker, 0, cut);
    double elsewhere =
        PlatformChecker_ServedShare(this->checker, cut, UINT16_MAX);

    if (this->cut == NULL) {
        return 0;
    }
    printf("counted_at_cut=%u\nserved_at_cut=%.3f\nserved_elsewhere=%.3f\n",
           counted, at_cut, elsewhere);
    if (counted < CUT_CALLS_LEAST) {
        return 0;
    }
    if (elsewhere > 0 && at_cut >= CUT_SERVED_LEAST_RATIO * elsewhere) {
        return 0;
    }
    printf("violation: too few calls were served at the cut hosts\n");
    return 1;
}

static int
print_result(Platform *this)
{
    unsigned violations = PlatformChecker_PrintTotals(this->checker);
    double served =
        PlatformChecker_ServedCount(this->checker) - this->served_before_check;
    double offered =
        PlatformChecker_SentCount(this->checker) - this->sent_before_check;

    printf("store_calls=%u\nserved_at_rest=%.3f\n",
           PlatformStore_RequestCount(this->store), served / offered);
    if (served < this->options.served_least * offered) {
        printf("violation: too few calls were served at rest\n");
        violations++;
    }
    violations += print_cut(this);
    return violations > 0 ? 1 : 0;
}

static void
free_upstream(gpointer data)
{
    PlatformUpstream_Destroy(data);
}

static int
run_platform(Platform *this)
{
    static const RetryRuleOptions retry_limit = {RETRY_WINDOW_US, RETRY_RATIO,
                                                 RETRY_EXTRA};
    g_autofree char *targets = NULL;
    int code = 1;

    this->clock = Clock_CreateSystem();
    this->lost_response_ratio = usual_loss_ratio(this);
    this->random = Random_Create((uint64_t)this->options.seed);
    this->link_random = Random_Create((uint64_t)this->options.seed);
    this->crash_random = Random_Create((uint64_t)this->options.seed);
    this->limit_random = Random_Create((uint64_t)this->options.seed);
    this->notice_random = Random_Create((uint64_t)this->options.seed);
    this->restore_random = Random_Create((uint64_t)this->options.seed);
    this->outdated_random = Random_Create((uint64_t)this->options.seed);
    this->loop = HttpLoop_Create();
    this->hosts = list_hosts(this);
    this->links =
        LinkFaults_Create(this->loop, this->link_random, on_link_clear, this);
    if (this->options.host_events != NULL) {
        this->events =
            HostEvents_Create(this->options.host_events, this->clock);
    }
    this->checker = PlatformChecker_Create(&retry_limit, this->events);
    if (this->options.host_states != NULL) {
        create_excuse(this);
    }
    if (this->options.host_stops != NULL) {
        create_stop_check(this);
    }
    this->upstreams = g_ptr_array_new_with_free_func(free_upstream);
    this->store = PlatformStore_Create(this->loop);
    targets = this->store != NULL ? create_host_links(this) : NULL;
    if (targets != NULL) {
        this->caller =
            PlatformCaller_Create(this->loop, this->clock, this->random,
                                  this->checker, targets, this->options.rate);
    }
    if (this->caller != NULL && create_upstreams(this) && create_cut(this)) {
        PlatformCaller_SetTimeout(this->caller, caller_timeout(this));
        PlatformCaller_PrintSlowCalls(
            this->caller, this->options.show_late_ms * MICROS_PER_MS);
        on_config_timer(&this->config_timer);
        Timer_Start(&this->phase_timer, this->loop->timers,
                    this->options.start_ms * MICROS_PER_MS, on_phase_timer);
        HttpLoop_Run(this->loop, false);
        code = print_result(this);
    }
    HttpLoop_Close(this->loop);
    if (this->caller != NULL) {
        PlatformCaller_Destroy(this->caller);
    }
    g_ptr_array_free(this->upstreams, TRUE);
    PlatformStore_Destroy(this->store);
    HostCut_Destroy(this->cut);
    LinkFaults_Destroy(this->links);
    HttpLoop_Destroy(this->loop);
    PlatformChecker_Destroy(this->checker);
    HostEvents_Destroy(this->events);
    HostEvents_Destroy(this->stops);
    g_array_free(this->hosts, TRUE);
    CutExcuse_Destroy(this->excuse);
    HostStates_Destroy(this->states);
    Random_Destroy(this->random);
    Random_Destroy(this->link_random);
    Random_Destroy(this->crash_random);
    Random_Destroy(this->limit_random);
    Random_Destroy(this->notice_random);
    Random_Destroy(this->restore_random);
    Random_Destroy(this->outdated_random);
    Clock_Destroy(this->clock);
    return code;
}

int
main(int argc, char **argv)
{
    Platform platform = {.options = {.seed = 1,
                                     .upstreams = 8,
                                     .domains = 2,
                                     .start_ms = 3000,
                                     .load_ms = 5000,
                                     .rest_ms = 3000,
                                     .work_ms = 30,
                                     .route_ms = 1200,
                                     .drain_ms = 2500,
                                     .loss_ratio = 0.5,
                                     .rate = 100,
                                     .served_least = 0.95,
                                     .body_bytes_max = 1000000,
                                     .head_bytes_max = 16384,
                                     .hosts = NULL}};
    int code = Settings_Parse(OPTIONS, G_N_ELEMENTS(OPTIONS),
                              &platform.options, argc, argv);

    if (code == 0) {
        code = run_platform(&platform);
    }
    else {
        code = code < 0 ? 2 : 0;
    }
    Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &platform.options);
    return code;
}
