#include "BalancerDaemon.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>

#include "Admin.h"
#include "ClaimFollower.h"
#include "ConfigFollower.h"
#include "HostListClient.h"
#include "LogSink.h"
#include "PeerExchange.h"
#include "Prober.h"
#include "Proxy.h"

#define TICK_US (5 * MICROS_PER_MS)
/* Longer without open requests, since 5 ms ticks cost 0.5% of a core and
 * nothing that is due then is urgent. */
#define IDLE_TICK_US (25 * MICROS_PER_MS)
#define SERIES_MAX 20000
#define CLIENT_IDLE_TIMEOUT_S 60
#define SERVER_KEEP_ALIVE_S 60
/* Longest time that a new host delays readiness for the claims streams. */
#define CLAIMS_WAIT_MAX_US (1500 * MICROS_PER_MS)
#define ATTEMPTS_MAX 3
#define STORED_RESPONSE_MAX_BYTES (64 * 1024)

struct BalancerDaemon_ {
    const Settings *settings;
    Clock *clock;
    LogSink *log_sink;
    EventLog *log;
    EventLog *decision_log;
    Counters *counters;
    Random *random;
    Loop *loop;
    ConfigState *config;
    ConfigSync *sync;
    Balancer *balancer;
    Proxy *proxy;
    Prober *prober;
    Admin *admin;
    PeerKeys *peer_keys;
    PeerExchange *peers;
    LogClient *log_client;
    HostListClient *host_list;
    ConfigFollower *config_follower;
    ClaimFollower *claim_follower;
    LoopTimer *timer;
    uint64_t incarnation;
    bool ready;
    bool leaving;
    Micros notice_end; /* the host accepts requests until then */
    Micros drain_deadline;
    Micros claims_deadline;
    int exit_code;
};

static uint64_t
random_seed(void)
{
    uint64_t seed = 0;

    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
        seed = (uint64_t)g_get_real_time();
    }
    return seed;
}

static const char *
path_or_null(Str path)
{
    return path.length > 0 ? path.data : NULL;
}

/* ---- events --------------------------------------------------------- */

static bool
are_claims_usable(const BalancerDaemon *this)
{
    const Claims *claims = Balancer_Claims(this->balancer);

    for (uint32_t i = 0; i < this->settings->claims_partitions; i++) {
        if (!Claims_LogUsable(claims, i)) {
            return false;
        }
    }
    return true;
}

/* A host whose claims log is unusable becomes ready after CLAIMS_WAIT_MAX_US,
 * because it can still serve all requests that need no claim. */
static void
update_ready(BalancerDaemon *this)
{
    bool ready = ConfigSync_Ready(this->sync) &&
                 HostListClient_Age(this->host_list) >= 0 &&
                 (are_claims_usable(this) ||
                  Clock_Now(this->clock) >= this->claims_deadline);

    if (ready == this->ready) {
        return;
    }
    this->ready = ready;
    Balancer_SetReady(this->balancer, ready);
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "ready")) {
        EventLog_Int(this->log, "offset",
                     (int64_t)ConfigState_Offset(this->config));
        EventLog_End(this->log);
    }
}

static void
on_config_changed(void *user)
{
    BalancerDaemon *this = user;

    Balancer_OnConfigChanged(this->balancer);
    update_ready(this);
    Proxy_RunActions(this->proxy);
}

static void
fetch_from_peer(void *user, const ConfigFetch *fetch, uint64_t choice)
{
    BalancerDaemon *this = user;

    PeerExchange_Fetch(this->peers, fetch, choice);
}

static void
on_claim_event(void *user)
{
    BalancerDaemon *this = user;

    Proxy_RunActions(this->proxy);
}

static void
on_peer_event(void *user)
{
    BalancerDaemon *this = user;

    ConfigFollower_RunActions(this->config_follower);
    Proxy_RunActions(this->proxy);
}

static void
perform_claim_action(void *user, const ClaimAction *action)
{
    BalancerDaemon *this = user;

    if (action->kind == CLAIM_APPEND) {
        ClaimFollower_Append(this->claim_follower, action);
    }
    else {
        PeerExchange_SendClaim(this->peers, action);
    }
}

static void
on_host_list_changed(void *user, const HostEntry *entries, size_t count)
{
    BalancerDaemon *this = user;

    PeerExchange_OnHostList(this->peers, entries, count);
    Balancer_OnHostList(this->balancer, entries, count);
    update_ready(this);
    Proxy_RunActions(this->proxy);
}

/* ---- shutdown ------------------------------------------------------- */

static void
stop_loop(BalancerDaemon *this, int code)
{
    size_t open = Proxy_OpenRequests(this->proxy);

    this->exit_code = code;
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "stopped")) {
        EventLog_Int(this->log, "interrupted_requests", (int64_t)open);
        EventLog_End(this->log);
    }
    Loop_Stop(this->loop);
}

static void
check_drained(BalancerDaemon *this)
{
    if (Clock_Now(this->clock) < this->notice_end) {
        return;
    }
    Proxy_StopListening(this->proxy);
    if (Proxy_OpenRequests(this->proxy) == 0) {
        stop_loop(this, EXIT_DRAINED);
    }
    else if (Clock_Now(this->clock) >= this->drain_deadline) {
        stop_loop(this, EXIT_INTERRUPTED);
    }
}

static void
begin_leaving(BalancerDaemon *this, const char *reason)
{
    this->leaving = true;
    this->drain_deadline =
        Clock_Now(this->clock) +
        (Micros)this->settings->drain_timeout_s * MICROS_PER_S;
    this->notice_end = Clock_Now(this->clock) +
                       (Micros)this->settings->drain_notice_ms * MICROS_PER_MS;
    Admin_SetLeaving(this->admin);
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "leaving")) {
        EventLog_CStr(this->log, "reason", reason);
        EventLog_Int(this->log, "open_requests",
                     (int64_t)Proxy_OpenRequests(this->proxy));
        EventLog_End(this->log);
    }
    PeerExchange_Leave(this->peers);
    Proxy_DisableKeepAlive(this->proxy);
}

static void
on_signal(void *user, int number)
{
    BalancerDaemon *this = user;

    if (number == SIGHUP) {
        return;
    }
    if (this->leaving) {
        stop_loop(this, Proxy_OpenRequests(this->proxy) > 0 ? EXIT_INTERRUPTED
                                                            : EXIT_DRAINED);
        return;
    }
    begin_leaving(this, number == SIGTERM ? "sigterm" : "sigint");
}

static Micros
tick_interval(const BalancerDaemon *this)
{
    Micros now = Clock_Now(this->clock);
    Micros due = Claims_NextTick(Balancer_Claims(this->balancer)) - now;

    if (Balancer_OpenRequests(this->balancer) > 0 || due < TICK_US) {
        return TICK_US;
    }
    return due < IDLE_TICK_US ? due : IDLE_TICK_US;
}

static void
tick(void *user)
{
    BalancerDaemon *this = user;

    LoopTimer_Start(this->timer, tick_interval(this));
    update_ready(this);
    Balancer_OnTick(this->balancer);
    Proxy_RunActions(this->proxy);
    if (!this->leaving &&
        Membership_Superseded(PeerExchange_Membership(this->peers))) {
        begin_leaving(this, "another process has this host id");
    }
    if (this->leaving) {
        check_drained(this);
    }
}

/* ---- creation ------------------------------------------------------- */

static void
create_base(BalancerDaemon *this)
{
    const Settings *settings = this->settings;

    this->clock = Clock_CreateSystem();
    this->log_sink =
        LogSink_Create(this->clock, settings->host_id, STDERR_FILENO);
    this->log = EventLog_Create(this->clock, (LogLevel)settings->log_level, 0,
                                LogSink_Write, this->log_sink);
    this->decision_log = EventLog_Create(
        this->clock, (LogLevel)settings->log_level,
        settings->decision_lines_per_s, LogSink_Write, this->log_sink);
    this->counters = Counters_Create(SERIES_MAX);
    this->random = Random_Create(random_seed());
    this->incarnation = Membership_NewIncarnation(this->clock, this->random);
}

static void
create_core(BalancerDaemon *this)
{
    const Settings *settings = this->settings;
    ConfigOptions config = {.bootstrap_keys = settings->bootstrap_keys};
    ConfigSyncOptions sync = {0};
    BalancerOptions options = {
        .router = RouterOptions_Default(),
        .admission = {.mode = settings->limits_enabled ? ADMISSION_SHARED
                                                       : ADMISSION_OFF,
                      .hosts = 1},
        .claims = ClaimsOptions_Default(settings->host_id, this->incarnation),
        .domain = settings->domain,
        .attempts_max = ATTEMPTS_MAX,
    };

    options.router.policy = (RoutingPolicy)settings->routing_policy;
    options.claims.partitions = settings->claims_partitions;
    options.claims.answer_limit = STORED_RESPONSE_MAX_BYTES;
    sync.snapshots.interval =
        (Micros)settings->snapshot_interval_s * MICROS_PER_S;
    sync.snapshots.spread = (Micros)settings->snapshot_spread_s * MICROS_PER_S;
    this->config = ConfigState_Create(&config);
    this->sync = ConfigSync_Create(&sync, this->config, this->clock,
                                   this->random, this->log);
    this->balancer =
        Balancer_Create(&options, this->config, this->clock, this->random,
                        this->decision_log, this->counters);
}

static int
read_peer_keys(BalancerDaemon *this, Error *error)
{
    const CurveSettings *curve = &this->settings->curve;

    if (curve->secret_key_file.length == 0) {
        if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "peers-off")) {
            EventLog_CStr(this->log, "text",
                          "no [curve] keys: the links to other hosts are off");
            EventLog_End(this->log);
        }
        return 0;
    }
    this->peer_keys =
        PeerKeys_Read(curve->public_key_file.data, curve->secret_key_file.data,
                      curve->peer_keys_file.data, error);
    return this->peer_keys != NULL ? 0 : ERR_INVALID;
}

static int
create_peers(BalancerDaemon *this, Error *error)
{
    const Settings *settings = this->settings;
    PeerExchangeOptions options = {
        .balancer = this->balancer,
        .sync = this->sync,
        .link = PeerLinkOptions_Default(),
        .host = settings->host_id,
        .domain = settings->domain,
        .address = settings->listen.peer_address,
        .seeds = settings->peer_seeds.items,
        .seed_count = settings->peer_seeds.count,
        .incarnation = this->incarnation,
        .on_event = on_peer_event,
        .user = this,
    };

    if (read_peer_keys(this, error) < 0) {
        return ERR_INVALID;
    }
    options.link.address = settings->listen.peer_address;
    options.link.port = (uint16_t)settings->listen.peer_port;
    options.link.deployment = settings->deployment;
    options.link.keys = this->peer_keys;
    this->peers = PeerExchange_Create(&options, this->loop, this->random,
                                      this->log, error);
    return this->peers != NULL ? 0 : ERR_IO;
}

static int
create_proxy(BalancerDaemon *this, Error *error)
{
    const Settings *settings = this->settings;
    ProxyOptions options = {
        .server = {.address = settings->listen.caller_address.data,
                   .port = (uint16_t)settings->listen.caller_port,
                   .keep_alive_s = SERVER_KEEP_ALIVE_S,
                   .certificate_file =
                       path_or_null(settings->tls.caller_certificate_file),
                   .key_file = path_or_null(settings->tls.caller_key_file),
                   .client_ca_file =
                       path_or_null(settings->tls.caller_client_ca_file)},
        .client = {.max_connections = 64,
                   .idle_timeout_s = CLIENT_IDLE_TIMEOUT_S,
                   .ca_file = path_or_null(settings->tls.upstream_ca_file)},
        .request_buffer_bytes = settings->request_buffer_bytes,
        .response_buffer_bytes = settings->response_buffer_bytes,
        .answer_limit = STORED_RESPONSE_MAX_BYTES,
    };

    this->proxy =
        Proxy_Create(this->loop, this->balancer, this->random, this->counters,
                     &options, perform_claim_action, this, error);
    if (this->proxy == NULL) {
        return ERR_IO;
    }
    this->prober = Prober_Create(this->loop, this->balancer, this->counters,
                                 &options.client);
    return 0;
}

static int
create_followers(BalancerDaemon *this, Error *error)
{
    const Settings *settings = this->settings;
    Micros timeout = (Micros)settings->log_timeout_ms * MICROS_PER_MS;
    HttpClientOptions tls = {.ca_file =
                                 path_or_null(settings->tls.log_ca_file)};
    static const ConfigFollowerHandlers handlers = {on_config_changed,
                                                    fetch_from_peer};

    this->log_client = LogClient_Create(this->loop, settings->log_url, &tls,
                                        this->log, error);
    if (this->log_client == NULL) {
        return ERR_INVALID;
    }
    this->host_list = HostListClient_Create(
        this->loop, settings->host_list_url,
        (Micros)settings->host_list_interval_ms * MICROS_PER_MS, &tls,
        this->log, on_host_list_changed, this, error);
    if (this->host_list == NULL) {
        return ERR_INVALID;
    }
    this->config_follower = ConfigFollower_Create(
        this->loop, this->sync, this->config, this->log_client, timeout,
        this->log, &handlers, this);
    this->claim_follower =
        ClaimFollower_Create(this->loop, Balancer_Claims(this->balancer),
                             settings->claims_partitions, this->log_client,
                             timeout, on_claim_event, this);
    return 0;
}

static int
create_admin(BalancerDaemon *this, Error *error)
{
    const Settings *settings = this->settings;
    AdminOptions options = {
        .server = {.address = settings->listen.admin_address.data,
                   .port = (uint16_t)settings->listen.admin_port,
                   .keep_alive_s = SERVER_KEEP_ALIVE_S,
                   .certificate_file =
                       path_or_null(settings->tls.admin_certificate_file),
                   .key_file = path_or_null(settings->tls.admin_key_file),
                   .client_ca_file =
                       path_or_null(settings->tls.admin_client_ca_file)},
        .balancer = this->balancer,
        .config = this->config,
        .sync = this->sync,
        .counters = this->counters,
        .settings = settings,
        .log_client = this->log_client,
        .host_list = this->host_list,
        .peers = this->peers,
        .ready = &this->ready,
    };

    this->admin = Admin_Create(this->loop, &options, error);
    return this->admin != NULL ? 0 : ERR_IO;
}

BalancerDaemon *
BalancerDaemon_Create(const Settings *settings, Error *error)
{
    BalancerDaemon *this = g_new0(BalancerDaemon, 1);

    this->settings = settings;
    create_base(this);
    this->loop = Loop_Create(this->clock, this->log, error);
    if (this->loop == NULL) {
        BalancerDaemon_Destroy(this);
        return NULL;
    }
    create_core(this);
    if (create_peers(this, error) < 0 || create_proxy(this, error) < 0 ||
        create_followers(this, error) < 0 || create_admin(this, error) < 0 ||
        Loop_WatchSignals(this->loop, on_signal, this, error) < 0) {
        BalancerDaemon_Destroy(this);
        return NULL;
    }
    this->timer = LoopTimer_Create(this->loop, tick, this);
    LoopTimer_Start(this->timer, TICK_US);
    this->claims_deadline = Clock_Now(this->clock) + CLAIMS_WAIT_MAX_US;
    return this;
}

static void
destroy_net(BalancerDaemon *this)
{
    LoopTimer_Destroy(this->timer);
    if (this->claim_follower != NULL) {
        ClaimFollower_Destroy(this->claim_follower);
    }
    if (this->config_follower != NULL) {
        ConfigFollower_Destroy(this->config_follower);
    }
    if (this->prober != NULL) {
        Prober_Destroy(this->prober);
    }
    if (this->admin != NULL) {
        Admin_Destroy(this->admin);
    }
    if (this->proxy != NULL) {
        Proxy_Destroy(this->proxy);
    }
    if (this->peers != NULL) {
        PeerExchange_Destroy(this->peers);
    }
    PeerKeys_Destroy(this->peer_keys);
    HostListClient_Destroy(this->host_list);
    LogClient_Destroy(this->log_client);
}

static void
destroy_core(BalancerDaemon *this)
{
    Balancer_Destroy(this->balancer);
    ConfigSync_Destroy(this->sync);
    ConfigState_Destroy(this->config);
}

void
BalancerDaemon_Destroy(BalancerDaemon *this)
{
    if (this->loop != NULL) {
        /* Sockets are closed first because their handlers still use the other
         * objects. */
        Loop_Close(this->loop);
        destroy_net(this);
        destroy_core(this);
        Loop_Destroy(this->loop);
    }
    Random_Destroy(this->random);
    Counters_Destroy(this->counters);
    EventLog_Destroy(this->decision_log);
    EventLog_Destroy(this->log);
    LogSink_Destroy(this->log_sink);
    Clock_Destroy(this->clock);
    g_free(this);
}

static void
log_ports(BalancerDaemon *this)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "listening")) {
        EventLog_Int(this->log, "caller_port", Proxy_Port(this->proxy));
        EventLog_Int(this->log, "admin_port", Admin_Port(this->admin));
        EventLog_Int(this->log, "peer_port", PeerExchange_Port(this->peers));
        EventLog_End(this->log);
    }
}

int
BalancerDaemon_Run(BalancerDaemon *this)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "started")) {
        EventLog_CStr(this->log, "version", AGATECRANK_VERSION);
        EventLog_Str(this->log, "domain", this->settings->domain);
        EventLog_Str(this->log, "deployment", this->settings->deployment);
        EventLog_End(this->log);
    }
    log_ports(this);
    Loop_Run(this->loop);
    return this->exit_code;
}
