#include "Cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "PeerCodec.h"

#define FRAMING_BYTES 100
/* Messages queued for a paused host; further ones are dropped. */
#define INBOX_MAX 64
#define SEED_COUNT 3
#define PEER_PORT 7400
#define DEPLOYMENT STR("cluster")

typedef struct Packet_ {
    uint32_t from;
    uint32_t to;
    GBytes *bytes;
} Packet;

typedef struct SentMessage_ {
    Micros time;
    size_t bytes;
} SentMessage;

struct Cluster_ {
    ClusterOptions options;
    Clock *clock;
    EventQueue *queue;
    Random *random;
    ClusterHost hosts[CLUSTER_HOSTS_MAX];
    uint32_t count;
    bool closing;
    uint64_t isolated_domains; /* one bit for each domain */
    Micros isolation_changed;
    ClusterItemHandler *handler;
    void *user;
    GString *bytes;
    Gossip *gossip;
    GHashTable *addresses;          /* address to index + 1 */
    bool listed[CLUSTER_HOSTS_MAX]; /* hosts in the next host list */
};

ClusterOptions
ClusterOptions_Default(uint64_t seed)
{
    return (ClusterOptions){
        .hosts = 20,
        .domains = 4,
        .seed = seed,
        .member = MembershipOptions_Default(),
        .min_delay = 500,
        .mean_jitter = 200,
        .late_delay_max = 5 * MICROS_PER_S,
        .host_list_lag = 2 * MICROS_PER_S,
    };
}

static void
start_event(void *user, uint64_t host)
{
    Cluster_Start(user, (uint32_t)host);
}

/* Passes the previous host list to every host, then takes a new one. */
static void
host_list_event(void *user, uint64_t argument)
{
    Cluster *this = user;
    HostEntry entries[CLUSTER_HOSTS_MAX];
    size_t n = 0;

    memset(entries, 0, sizeof(entries));
    for (uint32_t i = 0; i < this->count; i++) {
        ClusterHost *host = &this->hosts[i];

        if (this->listed[i]) {
            entries[n].id = Str_FromC(host->id);
            entries[n].role = HOST_BALANCER;
            entries[n].address =
                (Str){host->address, strcspn(host->address, ":")};
            entries[n++].peer_port = PEER_PORT;
        }
        this->listed[i] = host->alive;
    }
    for (uint32_t i = 0; i < this->count; i++) {
        if (this->hosts[i].alive && !this->hosts[i].paused) {
            Membership_OnHostList(this->hosts[i].membership, entries, n);
        }
    }
    if (!this->closing) {
        EventQueue_Add(this->queue, this->options.host_list_lag,
                       host_list_event, this, 0);
    }
}

Cluster *
Cluster_Create(const ClusterOptions *options)
{
    Cluster *this = g_new0(Cluster, 1);

    this->options = *options;
    this->clock = Clock_CreateManual(MICROS_PER_S, 1000000 * MICROS_PER_S);
    this->queue = EventQueue_Create(this->clock);
    this->random = Random_Create(options->seed);
    this->bytes = g_string_new(NULL);
    this->gossip = g_new0(Gossip, 1);
    this->addresses = g_hash_table_new(g_str_hash, g_str_equal);
    if (options->host_list_lag > 0) {
        EventQueue_Add(this->queue, options->host_list_lag, host_list_event,
                       this, 0);
    }
    for (uint32_t i = 0; i < options->hosts; i++) {
        Cluster_Add(this);
        EventQueue_Add(this->queue, (Micros)Random_Below(this->random, 500000),
                       start_event, this, i);
    }
    return this;
}

static void
free_packet(Packet *packet)
{
    g_bytes_unref(packet->bytes);
    g_free(packet);
}

static void
stop_host(ClusterHost *host)
{
    Packet *packet;

    if (host->membership != NULL) {
        Membership_Destroy(host->membership);
    }
    host->membership = NULL;
    host->alive = host->paused = host->leaving = false;
    while ((packet = g_queue_pop_head(host->paused_inbox)) != NULL) {
        free_packet(packet);
    }
}

static void deliver_event(void *user, uint64_t packet);

void
Cluster_Destroy(Cluster *this)
{
    for (uint32_t i = 0; i < this->count; i++) {
        ClusterHost *host = &this->hosts[i];

        stop_host(host);
        Random_Destroy(host->random);
        g_queue_free_full(host->sent_window, g_free);
        g_queue_free(host->paused_inbox);
    }
    this->closing = true;
    /* Packets in flight are released by their events. */
    this->isolated_domains = UINT64_MAX;
    EventQueue_RunUntil(this->queue, Clock_Now(this->clock) +
                                         this->options.late_delay_max +
                                         10 * MICROS_PER_S);
    EventQueue_Destroy(this->queue);
    Clock_Destroy(this->clock);
    Random_Destroy(this->random);
    g_string_free(this->bytes, TRUE);
    g_free(this->gossip);
    g_hash_table_destroy(this->addresses);
    g_free(this);
}

void
Cluster_SetItemHandler(Cluster *this, ClusterItemHandler *handler, void *user)
{
    this->handler = handler;
    this->user = user;
}

void
Cluster_Run(Cluster *this, Micros duration)
{
    EventQueue_RunUntil(this->queue, Clock_Now(this->clock) + duration);
}

Micros
Cluster_Now(const Cluster *this)
{
    return Clock_Now(this->clock);
}

uint32_t
Cluster_Count(const Cluster *this)
{
    return this->count;
}

ClusterHost *
Cluster_Host(Cluster *this, uint32_t index)
{
    return &this->hosts[index];
}

Random *
Cluster_Random(Cluster *this)
{
    return this->random;
}

uint32_t
Cluster_Add(Cluster *this)
{
    uint32_t index = this->count++;
    ClusterHost *host = &this->hosts[index];

    host->domain_index = index % this->options.domains;
    snprintf(host->id, sizeof(host->id), "balancer-%03u", index);
    snprintf(host->address, sizeof(host->address), "10.20.%u.%u:7400",
             host->domain_index, index);
    snprintf(host->domain, sizeof(host->domain), "domain-%u",
             host->domain_index);
    host->random = Random_Create(Random_Next(this->random));
    host->paused_inbox = g_queue_new();
    host->sent_window = g_queue_new();
    g_hash_table_insert(this->addresses, host->address,
                        GUINT_TO_POINTER(index + 1));
    return index;
}

/* Three random live hosts, as the platform would list them, or the first. */
static size_t
choose_seeds(Cluster *this, uint32_t self, Str seeds[SEED_COUNT])
{
    size_t n = 0;

    for (uint32_t tries = 0;
         tries < 200 && n < SEED_COUNT && !this->options.fixed_seeds;
         tries++) {
        uint32_t i = (uint32_t)Random_Below(this->random, this->count);

        if (i != self && this->hosts[i].alive) {
            seeds[n++] = Str_FromC(this->hosts[i].address);
        }
    }
    while (n < SEED_COUNT) {
        seeds[n] = Str_FromC(this->hosts[n].address);
        n++;
    }
    return n;
}

void
Cluster_Start(Cluster *this, uint32_t index)
{
    ClusterHost *host = &this->hosts[index];
    MembershipOptions options = this->options.member;
    Str seeds[SEED_COUNT];

    if (host->alive) {
        return;
    }
    options.deployment = DEPLOYMENT;
    options.host = Str_FromC(host->id);
    options.address = Str_FromC(host->address);
    options.domain = Str_FromC(host->domain);
    options.incarnation = Membership_NewIncarnation(this->clock, host->random);
    options.seeds = seeds;
    options.seed_count = choose_seeds(this, index, seeds);
    host->membership = Membership_Create(&options, this->clock, host->random);
    host->incarnation = options.incarnation;
    host->alive = true;
    host->start_count++;
    host->state_changed = Clock_Now(this->clock);
    host->scheduled = 0;
    Cluster_Flush(this, index);
}

void
Cluster_Kill(Cluster *this, uint32_t index)
{
    stop_host(&this->hosts[index]);
    this->hosts[index].state_changed = Clock_Now(this->clock);
}

void
Cluster_Leave(Cluster *this, uint32_t index)
{
    this->hosts[index].leaving = true;
    Membership_Leave(this->hosts[index].membership);
    Cluster_Flush(this, index);
}

void
Cluster_Pause(Cluster *this, uint32_t index, bool paused)
{
    ClusterHost *host = &this->hosts[index];
    Packet *packet;

    if (!host->alive || host->paused == paused) {
        return;
    }
    host->paused = paused;
    host->state_changed = Clock_Now(this->clock);
    while (!paused &&
           (packet = g_queue_pop_head(host->paused_inbox)) != NULL) {
        deliver_event(this, (uint64_t)(uintptr_t)packet);
    }
    if (!paused) {
        host->scheduled = 0;
        Cluster_Flush(this, index);
    }
}

void
Cluster_IsolateDomain(Cluster *this, uint32_t domain, bool isolated)
{
    if (isolated) {
        this->isolated_domains |= (uint64_t)1 << domain;
    }
    else {
        this->isolated_domains &= ~((uint64_t)1 << domain);
    }
    this->isolation_changed = Clock_Now(this->clock);
}

Micros
Cluster_IsolationChanged(const Cluster *this)
{
    return this->isolation_changed;
}

bool
Cluster_IsReachable(Cluster *this, uint32_t a, uint32_t b)
{
    uint32_t left = this->hosts[a].domain_index;
    uint32_t right = this->hosts[b].domain_index;

    return left == right || (((this->isolated_domains >> left) |
                              (this->isolated_domains >> right)) &
                             1) == 0;
}

/* Adds a message to the statistics of the last second. */
static void
record_sent(ClusterHost *host, Micros now, size_t bytes)
{
    SentMessage *sent = g_new(SentMessage, 1);
    SentMessage *oldest;

    sent->time = now;
    sent->bytes = bytes + FRAMING_BYTES;
    g_queue_push_tail(host->sent_window, sent);
    host->window_bytes += sent->bytes;
    host->window_messages++;
    while ((oldest = g_queue_peek_head(host->sent_window))->time <=
           now - MICROS_PER_S) {
        host->window_bytes -= oldest->bytes;
        host->window_messages--;
        g_free(g_queue_pop_head(host->sent_window));
    }
    host->window_bytes_max = MAX(host->window_bytes_max, host->window_bytes);
    host->window_messages_max =
        MAX(host->window_messages_max, host->window_messages);
}

static Micros
random_delay(Cluster *this)
{
    double mean_jitter = (double)this->options.mean_jitter;
    Micros delay = this->options.min_delay +
                   (Micros)Random_Exponential(this->random, mean_jitter);

    if (this->options.late_ratio > 0 &&
        Random_Unit(this->random) < this->options.late_ratio) {
        delay += (Micros)Random_Below(this->random,
                                      (uint64_t)this->options.late_delay_max);
    }
    return MIN(delay, this->options.late_delay_max + 5 * MICROS_PER_S);
}

static void
send_packet(Cluster *this, uint32_t from, uint32_t to, GBytes *bytes)
{
    Packet *packet;

    if (Random_Unit(this->random) < this->options.loss_ratio ||
        !Cluster_IsReachable(this, from, to)) {
        return;
    }
    packet = g_new(Packet, 1);
    *packet = (Packet){from, to, g_bytes_ref(bytes)};
    EventQueue_Add(this->queue, random_delay(this), deliver_event, this,
                   (uint64_t)(uintptr_t)packet);
}

static void
send_message(Cluster *this, uint32_t from, const PeerTarget *to)
{
    char address[PEER_NAME_MAX + 1];
    uint32_t index;
    GBytes *bytes;

    g_snprintf(address, sizeof(address), STR_FORMAT, STR_ARGS(to->address));
    record_sent(&this->hosts[from], Clock_Now(this->clock), this->bytes->len);
    g_assert_cmpuint(this->bytes->len, <=, GOSSIP_MAX_BYTES);
    index = GPOINTER_TO_UINT(g_hash_table_lookup(this->addresses, address));
    g_assert_cmpuint(index, >, 0);
    bytes = g_bytes_new(this->bytes->str, this->bytes->len);
    send_packet(this, from, index - 1, bytes);
    if (Random_Unit(this->random) < this->options.duplicate_ratio) {
        send_packet(this, from, index - 1, bytes);
    }
    g_bytes_unref(bytes);
}

static void
tick_event(void *user, uint64_t argument)
{
    Cluster *this = user;
    uint32_t index = (uint32_t)(argument & 0xffff);
    ClusterHost *host = &this->hosts[index];

    if (host->alive && !host->paused && host->start_count == argument >> 16 &&
        Clock_Now(this->clock) >= host->scheduled) {
        host->scheduled = 0;
        Membership_OnTick(host->membership);
        Cluster_Flush(this, index);
    }
}

void
Cluster_Flush(Cluster *this, uint32_t index)
{
    ClusterHost *host = &this->hosts[index];
    Micros now = Clock_Now(this->clock);
    PeerTarget to;
    SharedItem item;
    Micros next;

    while (Membership_NextMessage(host->membership, &to, this->bytes)) {
        send_message(this, index, &to);
    }
    while (Membership_NextItem(host->membership, &item)) {
        if (this->handler != NULL) {
            this->handler(this->user, index, &item);
        }
    }
    next = MAX(Membership_NextTick(host->membership), now + MICROS_PER_MS);
    if (host->scheduled == 0 || next < host->scheduled) {
        host->scheduled = next;
        EventQueue_Add(this->queue, next - now, tick_event, this,
                       (host->start_count << 16) | index);
    }
}

static void
deliver_event(void *user, uint64_t argument)
{
    Cluster *this = user;
    Packet *packet = (Packet *)(uintptr_t)argument;
    ClusterHost *host = &this->hosts[packet->to];
    PeerMessageCounters counters = {0};
    PeerMessage *message = NULL;
    gsize length;
    const char *data = g_bytes_get_data(packet->bytes, &length);

    if (host->alive && host->paused &&
        g_queue_get_length(host->paused_inbox) < INBOX_MAX) {
        g_queue_push_tail(host->paused_inbox, packet);
        return;
    }
    if (host->alive && !host->paused &&
        Cluster_IsReachable(this, packet->from, packet->to)) {
        host->received_bytes += length + FRAMING_BYTES;
        g_assert_cmpint(PeerMessage_Decode((Str){data, length}, DEPLOYMENT,
                                           &message, &counters),
                        ==, 0);
        g_assert_cmpint(PeerCodec_ReadGossip(message, this->gossip, NULL), ==,
                        0);
        Membership_OnGossip(host->membership, this->gossip);
        PeerMessage_Destroy(message);
        Cluster_Flush(this, packet->to);
    }
    free_packet(packet);
}

void
Cluster_Share(Cluster *this, uint32_t index, const SharedItem *item)
{
    ClusterHost *host = &this->hosts[index];

    if (host->alive && !host->paused) {
        g_assert_cmpint(Membership_Share(host->membership, item), ==, 0);
        Cluster_Flush(this, index);
    }
}

size_t
Cluster_GetView(Cluster *this, uint32_t index, uint64_t *incarnations)
{
    HostView views[CLUSTER_HOSTS_MAX];
    size_t n = Membership_Live(this->hosts[index].membership, views,
                               CLUSTER_HOSTS_MAX);

    memset(incarnations, 0, this->count * sizeof(*incarnations));
    for (size_t i = 0; i < n; i++) {
        unsigned number = (unsigned)strtoul(
            views[i].id.data + strlen("balancer-"), NULL, 10);

        g_assert_cmpuint(number, <, this->count);
        incarnations[number] = views[i].incarnation;
    }
    return n;
}
