#include <stdio.h>
#include <string.h>

#include "PlatformCaller.h"
#include "PlatformUpstream.h"
#include "Settings.h"

/* The users' platform around gateway hosts in one process: the store, the
 * upstreams and the callers. It injects faults by a seed and checks from both
 * ends what the hosts promise. */

#define HOST "gateway.example"
#define SERVICE "desk"
#define CONFIG_PERIOD (3 * MICROS_PER_S)

typedef struct Options_ {
    int64_t seed;
    int64_t upstreams;
    int64_t domains;
    int64_t start_ms;
    int64_t load_ms;
    int64_t rest_ms;
    int64_t work_ms;
    int64_t drain_ms;
    int64_t show_late_ms;
    double rate;
    double fault_period_s;
    double link_period_s;
    double served_least;
    char *hosts;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting table[] = {
    {"seed", SETTING_INT, FIELD(seed), false, "seed of load and faults"},
    {"upstreams", SETTING_INT, FIELD(upstreams), false, "number of them"},
    {"domains", SETTING_INT, FIELD(domains), false, "failure domains"},
    {"start-ms", SETTING_INT, FIELD(start_ms), false,
     "time before the callers begin"},
    {"load-ms", SETTING_INT, FIELD(load_ms), false, "time of load and faults"},
    {"rest-ms", SETTING_INT, FIELD(rest_ms), false,
     "time of load after the last fault"},
    {"work-ms", SETTING_INT, FIELD(work_ms), false, "mean time of a request"},
    {"drain-ms", SETTING_INT, FIELD(drain_ms), false,
     "bound for requests to an upstream that told that it leaves"},
    {"show-late-ms", SETTING_INT, FIELD(show_late_ms), false,
     "print calls that are not served or take longer, 0 for none"},
    {"rate", SETTING_REAL, FIELD(rate), false, "calls a second"},
    {"fault-period-s", SETTING_REAL, FIELD(fault_period_s), false,
     "mean time between faults, 0 for none"},
    {"link-period-s", SETTING_REAL, FIELD(link_period_s), false,
     "mean time between faults of links and of records, 0 for none"},
    {"served-least", SETTING_REAL, FIELD(served_least), false,
     "share of the calls after the last fault that must be served"},
    {"hosts", SETTING_TEXT, FIELD(hosts), false,
     "ADDRESS:PORT,... of the gateway hosts"},
};

typedef struct Platform_ {
    Options options;
    Clock *clock;
    Random *random;
    Random *link_random; /* so that links do not change the other faults */
    HttpLoop *loop;
    PlatformStore *store;
    PlatformChecker *truth;
    LinkFaults *links;
    PlatformCaller *caller;
    GPtrArray *upstreams; /* PlatformUpstream */
    Timer phase;
    Timer fault;
    Timer link_fault;
    Timer store_back;
    Timer config;
    unsigned version;
    unsigned served_before;
    unsigned sent_before;
    int phases;
    bool faults_over;
} Platform;

static void
put_config(Platform *this)
{
    g_autofree char *text = g_strdup_printf(
        "{\"version\":\"%08x\",\"services\":[{\"name\":\"" SERVICE
        "\",\"healthPath\":\"/health\"}],\"limits\":{\"maxHeaderBytes\":16384,"
        "\"maxBodyBytes\":1000000,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
        "\"hosts\":[{\"host\":\"" HOST "\",\"paths\":["
        "{\"name\":\"safe\",\"pathPrefix\":\"/safe/\",\"kind\":\"safe\","
        "\"timeoutS\":1.2,\"targetLatencyS\":0.25,\"priority\":2,"
        "\"service\":\"" SERVICE "\",\"maxAttempts\":2},"
        "{\"name\":\"once\",\"pathPrefix\":\"/once/\",\"kind\":\"unsafe\","
        "\"timeoutS\":1.2,\"targetLatencyS\":0.3,\"priority\":1,"
        "\"service\":\"" SERVICE "\",\"maxAttempts\":2}]}]}",
        ++this->version);

    PlatformStore_Put(this->store, "keyed.op", "config", text);
}

static void
on_config(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, config);

    put_config(this);
    Timer_Start(&this->config, this->loop->timers, CONFIG_PERIOD, on_config);
}

static PlatformUpstream *
any_upstream(Platform *this)
{
    return g_ptr_array_index(this->upstreams,
                             Random_Below(this->random, this->upstreams->len));
}

static unsigned
count_up(const Platform *this)
{
    unsigned n = 0;

    for (guint i = 0; i < this->upstreams->len; i++) {
        n += PlatformUpstream_IsUp(g_ptr_array_index(this->upstreams, i));
    }
    return n;
}

static void
forgive_drains(Platform *this)
{
    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream_ExtendDrainLimit(
            g_ptr_array_index(this->upstreams, i));
    }
}

static void
on_store_back(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, store_back);

    PlatformStore_SetMode(this->store, STORE_UP);
    forgive_drains(this);
}

static void
disturb_store(Platform *this)
{
    static const StoreMode modes[] = {STORE_UNAVAILABLE,  STORE_RATE_LIMITED,
                                      STORE_UNRESPONSIVE, STORE_DISCONNECTING,
                                      STORE_SLOW,         STORE_GARBLED};
    Micros time = MICROS_PER_S / 2 +
                  (Micros)Random_Below(this->random, 3 * MICROS_PER_S);

    PlatformStore_SetMode(
        this->store, modes[Random_Below(this->random, G_N_ELEMENTS(modes))]);
    Timer_Start(&this->store_back, this->loop->timers, time, on_store_back);
}

/* Half of the upstreams stay up, so that there is something to serve with. */
static void
disturb_upstream(Platform *this)
{
    PlatformUpstream *upstream = any_upstream(this);
    const char *what = "restart";

    if (!PlatformUpstream_IsUp(upstream)) {
        PlatformUpstream_Restart(upstream);
    }
    else if (count_up(this) <= this->upstreams->len / 2) {
        what = "none";
    }
    else if (Random_Below(this->random, 2) == 0) {
        what = "crash";
        PlatformUpstream_Crash(upstream);
    }
    else {
        what = "drain";
        PlatformUpstream_Drain(upstream);
    }
    printf("fault=%s\n", what);
}

static void
inject_fault(Platform *this)
{
    switch (Random_Below(this->random, 8)) {
    case 0:
        printf("fault=store\n");
        disturb_store(this);
        break;
    case 1:
        printf("fault=forget\n");
        PlatformStore_Compact(this->store);
        break;
    case 2:
        printf("fault=silence\n");
        PlatformUpstream_MuteConnections(any_upstream(this));
        break;
    default:
        disturb_upstream(this);
    }
    fflush(stdout);
}

static void
on_fault(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, fault);
    double period = this->options.fault_period_s * MICROS_PER_S;

    if (this->faults_over || period <= 0) {
        return;
    }
    inject_fault(this);
    Timer_Start(&this->fault, this->loop->timers,
                1 + (Micros)Random_Exponential(this->random, period),
                on_fault);
}

static void
on_link_clear(void *user, LinkGroup group)
{
    Platform *this = user;

    if (group == LINKS_TO_STORE) {
        forgive_drains(this);
    }
}

/* Records that another writer could leave: neither an upstream nor a
 * configuration that hosts can use. */
static void
put_bad_record(Platform *this)
{
    static const char *const texts[] = {
        "{",
        "\xff\xfe",
        "[]",
        "{\"address\":7,\"born\":\"now\"}",
        "{\"address\":\"127.0.0.1:1\",\"born\":1.5,\"info\":{\"service\":"
        "\"" SERVICE "\"},\"status\":{\"state\":\"odd\",\"seqNo\":1}}",
    };
    const char *text =
        texts[Random_Below(this->link_random, G_N_ELEMENTS(texts))];

    if (Random_Below(this->link_random, 3) == 0) {
        PlatformStore_Put(this->store, "keyed.op", "config", text);
    }
    else {
        PlatformStore_Put(this->store, "keyed.servers", "i-stranger", text);
    }
}

static void
write_late(Platform *this)
{
    PlatformUpstream_WriteStaleRecord(g_ptr_array_index(
        this->upstreams,
        Random_Below(this->link_random, this->upstreams->len)));
}

static void
on_link_fault(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, link_fault);
    double period = this->options.link_period_s * MICROS_PER_S;

    if (this->faults_over || period <= 0) {
        return;
    }
    switch (Random_Below(this->link_random, 6)) {
    case 0:
        printf("fault=bad-record\n");
        put_bad_record(this);
        break;
    case 1:
        printf("fault=late-write\n");
        write_late(this);
        break;
    default:
        LinkFaults_Inject(this->links);
    }
    fflush(stdout);
    Timer_Start(&this->link_fault, this->loop->timers,
                1 + (Micros)Random_Exponential(this->link_random, period),
                on_link_fault);
}

static void
end_faults(Platform *this)
{
    this->faults_over = true;
    Timer_Stop(&this->store_back);
    on_store_back(&this->store_back);
    LinkFaults_ClearAll(this->links);
    for (guint i = 0; i < this->upstreams->len; i++) {
        PlatformUpstream *upstream = g_ptr_array_index(this->upstreams, i);

        if (!PlatformUpstream_IsUp(upstream)) {
            PlatformUpstream_Restart(upstream);
        }
    }
    printf("faults=over\n");
    fflush(stdout);
}

/* Start, load with faults, recovery, rest, answers to the last calls. */
static void
on_phase(Timer *timer)
{
    Platform *this = TIMER_OWNER(timer, Platform, phase);
    const Options *options = &this->options;
    Micros next = 0;

    switch (this->phases++) {
    case 0:
        PlatformCaller_Start(this->caller);
        on_fault(&this->fault);
        on_link_fault(&this->link_fault);
        next = options->load_ms * MICROS_PER_MS;
        break;
    case 1:
        end_faults(this);
        next = options->rest_ms * MICROS_PER_MS;
        break;
    case 2:
        this->served_before = PlatformChecker_ServedCount(this->truth);
        this->sent_before = PlatformChecker_SentCount(this->truth);
        PlatformChecker_RequireAnswers(this->truth);
        next = options->rest_ms * MICROS_PER_MS;
        break;
    case 3:
        PlatformCaller_Stop(this->caller);
        next = 2 * MICROS_PER_S;
        break;
    default:
        HttpLoop_Stop();
        return;
    }
    Timer_Start(&this->phase, this->loop->timers, next, on_phase);
}

static bool
create_world(Platform *this)
{
    PlatformContext world = {
        .loop = this->loop,
        .clock = this->clock,
        .random = this->random,
        .store = this->store,
        .truth = this->truth,
        .links = this->links,
        .work = this->options.work_ms * MICROS_PER_MS,
        .lost_share = this->options.fault_period_s > 0 ? 0.005 : 0,
        .cut_share = this->options.fault_period_s > 0 ? 0.005 : 0,
        .drain_time = this->options.drain_ms * MICROS_PER_MS,
    };

    for (int64_t i = 0; i < this->options.upstreams; i++) {
        g_autofree char *domain =
            g_strdup_printf("d%d", (int)(i % this->options.domains));
        PlatformUpstream *upstream =
            PlatformUpstream_Create(&world, SERVICE, domain, (unsigned)i);

        if (upstream == NULL) {
            return false;
        }
        g_ptr_array_add(this->upstreams, upstream);
    }
    return true;
}

/* Callers reach each host, and each host the store, through a link of its own.
 * Returns the addresses for the callers, or NULL. */
static char *
link_hosts(Platform *this)
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

static int
judge(Platform *this)
{
    unsigned violations = PlatformChecker_PrintTotals(this->truth);
    double served =
        PlatformChecker_ServedCount(this->truth) - this->served_before;
    double offered =
        PlatformChecker_SentCount(this->truth) - this->sent_before;

    printf("store_calls=%u\nserved_at_rest=%.3f\n",
           PlatformStore_RequestCount(this->store), served / offered);
    if (served < this->options.served_least * offered) {
        printf("violation: too few calls were served at rest\n");
        violations++;
    }
    return violations > 0 ? 1 : 0;
}

static void
free_upstream(gpointer data)
{
    PlatformUpstream_Destroy(data);
}

static int
play(Platform *this)
{
    g_autofree char *targets = NULL;
    int code = 1;

    this->clock = Clock_CreateSystem();
    this->random = Random_Create((uint64_t)this->options.seed);
    this->link_random = Random_Create((uint64_t)this->options.seed);
    this->loop = HttpLoop_Create();
    this->links =
        LinkFaults_Create(this->loop, this->link_random, on_link_clear, this);
    this->truth = PlatformChecker_Create();
    this->upstreams = g_ptr_array_new_with_free_func(free_upstream);
    this->store = PlatformStore_Create(this->loop);
    targets = this->store != NULL ? link_hosts(this) : NULL;
    if (targets != NULL) {
        this->caller =
            PlatformCaller_Create(this->loop, this->clock, this->random,
                                  this->truth, targets, this->options.rate);
    }
    if (this->caller != NULL && create_world(this)) {
        PlatformCaller_PrintSlowCalls(
            this->caller, this->options.show_late_ms * MICROS_PER_MS);
        on_config(&this->config);
        Timer_Start(&this->phase, this->loop->timers,
                    this->options.start_ms * MICROS_PER_MS, on_phase);
        HttpLoop_Run(this->loop, false);
        code = judge(this);
    }
    HttpLoop_Close(this->loop);
    if (this->caller != NULL) {
        PlatformCaller_Destroy(this->caller);
    }
    g_ptr_array_free(this->upstreams, TRUE);
    PlatformStore_Destroy(this->store);
    LinkFaults_Destroy(this->links);
    HttpLoop_Destroy(this->loop);
    PlatformChecker_Destroy(this->truth);
    Random_Destroy(this->random);
    Random_Destroy(this->link_random);
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
                                     .drain_ms = 2500,
                                     .rate = 100,
                                     .served_least = 0.95,
                                     .hosts = NULL}};
    int code = Settings_Parse(table, G_N_ELEMENTS(table), &platform.options,
                              argc, argv);

    if (code == 0) {
        code = play(&platform);
    }
    else {
        code = code < 0 ? 2 : 0;
    }
    Settings_Clear(table, G_N_ELEMENTS(table), &platform.options);
    return code;
}
