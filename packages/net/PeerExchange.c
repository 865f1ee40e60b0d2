#include "PeerExchange.h"

#include <glib.h>

#include "PeerCodec.h"
#include "QuarantineExchange.h"

#define TICK_INTERVAL_US (25 * MICROS_PER_MS)
/* An item with an offset expires after 60 s, so it is renewed before. */
#define OFFSET_INTERVAL_US (30 * MICROS_PER_S)
#define USAGE_INTERVAL_US (50 * MICROS_PER_MS)
#define HOSTS_MAX 1024
#define USAGE_ITEMS_MAX 64

struct PeerExchange_ {
    Balancer *balancer;
    ConfigSync *sync;
    const Clock *clock;
    EventLog *log;
    Membership *membership;
    PeerLink *link;
    LoopTimer *timer;
    QuarantineExchange *quarantine;
    NameTable *hosts; /* ids of all hosts seen */
    PeerNames names;  /* index to name and back, for messages */
    GString *bytes;   /* encoded message to send */
    GString *deployment;
    GString *host;
    Gossip *gossip;              /* buffer to decode gossip into */
    uint64_t membership_version; /* version last passed to the balancer */
    uint64_t shared_offset;      /* configuration offset last shared */
    Micros usage_due;            /* when to share the usage again */
    Micros offset_due;           /* when to share the offset again */
    void (*on_event)(void *user);
    void *user;
};

/* ---- names ----------------------------------------------------------- */

static Str
name_of(void *user, PeerNameKind kind, uint32_t index)
{
    const PeerExchange *this = user;
    const DirectoryUpstream *upstream;

    switch (kind) {
    case PEER_NAME_SERVICE:
        return NameTable_Name(Balancer_Services(this->balancer), index);
    case PEER_NAME_LINE:
        return NameTable_Name(Balancer_Lines(this->balancer), index);
    case PEER_NAME_HOST:
        return NameTable_Name(this->hosts, index);
    case PEER_NAME_UPSTREAM:
        upstream = Directory_At(Balancer_Directory(this->balancer), index);
        return upstream != NULL ? upstream->id : (Str){NULL, 0};
    }
    return (Str){NULL, 0};
}

static uint32_t
index_of(void *user, PeerNameKind kind, Str name)
{
    PeerExchange *this = user;
    const DirectoryUpstream *upstream;

    switch (kind) {
    case PEER_NAME_SERVICE:
        return NameTable_Find(Balancer_Services(this->balancer), name);
    case PEER_NAME_LINE:
        return NameTable_Find(Balancer_Lines(this->balancer), name);
    case PEER_NAME_HOST:
        return NameTable_Intern(this->hosts, name);
    case PEER_NAME_UPSTREAM:
        upstream = Directory_Find(Balancer_Directory(this->balancer), name);
        return upstream != NULL ? upstream->index : NAME_INDEX_NONE;
    }
    return NAME_INDEX_NONE;
}

/* ---- sending --------------------------------------------------------- */

static PeerEnvelope
envelope(const PeerExchange *this)
{
    return (PeerEnvelope){
        {this->deployment->str, this->deployment->len},
        {this->host->str, this->host->len},
        Membership_Incarnation(this->membership),
    };
}

static int
send_to(PeerExchange *this, Str host)
{
    HostView view;

    if (this->link == NULL ||
        !Membership_Find(this->membership, host, &view)) {
        return ERR_NOT_FOUND;
    }
    return PeerLink_Send(this->link, view.address, view.key,
                         Str_FromString(this->bytes));
}

void
PeerExchange_SendClaim(PeerExchange *this, const ClaimAction *action)
{
    PeerEnvelope from = envelope(this);
    int code = ERR_INVALID;

    switch (action->kind) {
    case CLAIM_SUBMIT:
        code = PeerCodec_WriteSubmit(&from, &action->submit, this->bytes);
        break;
    case CLAIM_QUERY:
        code = PeerCodec_WriteQuery(&from, &action->query, this->bytes);
        break;
    case CLAIM_REPLY:
        code = PeerCodec_WriteReply(&from, &action->reply, this->bytes);
        break;
    default:
        break;
    }
    if (code == 0) {
        send_to(this, action->host);
    }
}

static bool
choose_peer(const PeerExchange *this, uint64_t choice, HostView *chosen)
{
    HostView *views = g_new(HostView, HOSTS_MAX);
    size_t n = Membership_Live(this->membership, views, HOSTS_MAX);
    size_t others = 0;

    for (size_t i = 0; i < n; i++) {
        if (!views[i].self) {
            views[others++] = views[i];
        }
    }
    if (others > 0) {
        *chosen = views[choice % others];
    }
    g_free(views);
    return others > 0;
}

void
PeerExchange_Fetch(PeerExchange *this, const ConfigFetch *fetch,
                   uint64_t choice)
{
    PeerEnvelope from = envelope(this);
    HostView peer;

    if (this->link == NULL || !choose_peer(this, choice, &peer) ||
        PeerCodec_WriteFetch(&from, fetch, this->bytes) < 0 ||
        PeerLink_Send(this->link, peer.address, peer.key,
                      Str_FromString(this->bytes)) < 0) {
        ConfigSync_OnFetchFailed(this->sync);
    }
}

static void
send_gossip(PeerExchange *this)
{
    PeerTarget to;

    while (Membership_NextMessage(this->membership, &to, this->bytes)) {
        if (this->link != NULL) {
            PeerLink_Send(this->link, to.address, to.key,
                          Str_FromString(this->bytes));
        }
    }
}

/* Returns the id of the host with this key, which is the hash of the id. */
static Str
find_host(const PeerExchange *this, uint64_t key)
{
    for (uint32_t i = 0; i < NameTable_Count(this->hosts); i++) {
        Str name = NameTable_Name(this->hosts, i);

        if (Str_Hash(name) == key) {
            return name;
        }
    }
    return (Str){NULL, 0};
}

static void
send_slots(PeerExchange *this)
{
    PeerEnvelope from = envelope(this);
    SlotMessage message;

    while (Router_NextSlotMessage(Balancer_Router(this->balancer), &message)) {
        if (PeerCodec_WriteSlot(&from, &message, &this->names, this->bytes) ==
            0) {
            send_to(this, find_host(this, message.peer));
        }
    }
}

/* ---- receiving ------------------------------------------------------- */

static void
handle_fetch(PeerExchange *this, const PeerMessage *message)
{
    PeerEnvelope from = envelope(this);
    ConfigFetch fetch;
    ConfigChunk chunk;

    if (PeerCodec_ReadFetch(message, &fetch) < 0) {
        return;
    }
    if (ConfigSync_Serve(this->sync, &fetch, &chunk) < 0) {
        /* An empty chunk: this host is not ready. */
        chunk = (ConfigChunk){.next = fetch.from};
    }
    if (PeerCodec_WriteChunk(&from, &chunk, this->bytes) < 0) {
        return;
    }
    send_to(this, PeerMessage_Host(message));
}

static void
handle_chunk(PeerExchange *this, const PeerMessage *message)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(ConfigRecord));
    ConfigChunk chunk;

    if (PeerCodec_ReadChunk(message, &chunk, records) == 0) {
        if (chunk.count == 0 && !chunk.snapshot) {
            ConfigSync_OnFetchFailed(this->sync);
        }
        else {
            ConfigSync_OnChunk(this->sync, &chunk);
        }
    }
    g_array_free(records, TRUE);
}

static void
handle_submit(PeerExchange *this, const PeerMessage *message)
{
    GArray *claims = g_array_new(FALSE, FALSE, sizeof(Claim));
    ClaimSubmit submit;

    if (PeerCodec_ReadSubmit(message, &submit, claims) == 0) {
        Claims_OnSubmit(Balancer_Claims(this->balancer), &submit);
    }
    g_array_free(claims, TRUE);
}

static void
handle_query(PeerExchange *this, const PeerMessage *message)
{
    ClaimOutcomeQuery query;

    if (PeerCodec_ReadQuery(message, &query) == 0) {
        Claims_OnQuery(Balancer_Claims(this->balancer), &query);
    }
}

static void
handle_reply(PeerExchange *this, const PeerMessage *message)
{
    ClaimOutcomeReply reply;

    if (PeerCodec_ReadReply(message, &reply) == 0) {
        Claims_OnReply(Balancer_Claims(this->balancer),
                       PeerMessage_Host(message), &reply);
    }
}

static void
handle_slot(PeerExchange *this, const PeerMessage *message)
{
    SlotMessage slot;

    if (PeerCodec_ReadSlot(message, &this->names, &slot) == 0 &&
        Router_OnSlotMessage(Balancer_Router(this->balancer), &slot)) {
        Balancer_OnSlotsChanged(this->balancer, slot.service);
    }
}

static void
handle_gossip(PeerExchange *this, const PeerMessage *message)
{
    if (PeerCodec_ReadGossip(message, this->gossip, NULL) == 0) {
        Membership_OnGossip(this->membership, this->gossip);
    }
}

/* ---- shared items ---------------------------------------------------- */

static void
apply_upstream_item(PeerExchange *this, const SharedItem *item)
{
    bool drain = item->kind == SHARED_DRAIN;
    Str name = drain ? item->drain.upstream : item->suspect.upstream;
    uint32_t upstream = index_of(this, PEER_NAME_UPSTREAM, name);

    if (upstream == NAME_INDEX_NONE) {
        return;
    }
    if (drain) {
        Router_SetDraining(Balancer_Router(this->balancer), upstream,
                           !item->drain.ended);
    }
    else if (!item->suspect.ended) {
        Router_Eject(Balancer_Router(this->balancer), upstream,
                     SharedKind_MaxAge(SHARED_SUSPECT) - item->age);
    }
}

static void
apply_item(PeerExchange *this, const SharedItem *item)
{
    UsageItem usage;
    QuarantineItem fingerprint;

    switch (item->kind) {
    case SHARED_DRAIN:
    case SHARED_SUSPECT:
        apply_upstream_item(this, item);
        return;
    case SHARED_FINGERPRINT:
        if (PeerCodec_ItemToFingerprint(item, &this->names, &fingerprint) ==
            0) {
            QuarantineExchange_Receive(this->quarantine, &fingerprint);
        }
        return;
    case SHARED_CONFIG_OFFSET:
        ConfigSync_OnPeerOffset(this->sync, item->config.offset);
        return;
    case SHARED_USAGE:
        if (PeerCodec_ItemToUsage(item, &this->names, &usage) == 0) {
            Admission_OnPeerUsage(Balancer_Admission(this->balancer), &usage);
        }
        return;
    case SHARED_KIND_COUNT:
        return;
    }
}

static void
share_usage(PeerExchange *this)
{
    UsageItem items[USAGE_ITEMS_MAX];
    SharedItem item;
    size_t n;

    if (Clock_Now(this->clock) < this->usage_due) {
        return;
    }
    this->usage_due = Clock_Now(this->clock) + USAGE_INTERVAL_US;
    n = Admission_LocalUsage(Balancer_Admission(this->balancer), items,
                             USAGE_ITEMS_MAX);
    for (size_t i = 0; i < n; i++) {
        if (PeerCodec_UsageToItem(&items[i], &this->names, &item) == 0) {
            Membership_Share(this->membership, &item);
        }
    }
}

static void
share_health_events(PeerExchange *this)
{
    HealthEvent event;

    while (Router_NextHealthEvent(Balancer_Router(this->balancer), &event)) {
        Str name = name_of(this, PEER_NAME_UPSTREAM, event.upstream);
        SharedItem item = {0};

        if (event.draining) {
            item.kind = SHARED_DRAIN;
            item.drain.upstream = name;
        }
        else {
            item.kind = SHARED_SUSPECT;
            item.suspect.upstream = name;
        }
        Membership_Share(this->membership, &item);
    }
}

static void
share_fingerprints(PeerExchange *this)
{
    QuarantineItem changed[QUARANTINE_BATCH_MAX];
    size_t n = QuarantineExchange_NextBatch(this->quarantine, changed);
    SharedItem item;

    for (size_t i = 0; i < n; i++) {
        if (PeerCodec_FingerprintToItem(&changed[i], &this->names, &item) ==
            0) {
            Membership_Share(this->membership, &item);
        }
    }
    /* Gossip repeats an item until the peers have it. */
    QuarantineExchange_OnBatchEnd(this->quarantine, 0);
}

static void
share_offset(PeerExchange *this)
{
    SharedItem item = {.kind = SHARED_CONFIG_OFFSET};
    ConfigSyncStatus status;

    ConfigSync_Status(this->sync, &status);
    if (status.offset == this->shared_offset &&
        Clock_Now(this->clock) < this->offset_due) {
        return;
    }
    this->offset_due = Clock_Now(this->clock) + OFFSET_INTERVAL_US;
    this->shared_offset = status.offset;
    item.config.offset = status.offset;
    Membership_Share(this->membership, &item);
}

/* ---- periodic work --------------------------------------------------- */

static void
update_hosts(PeerExchange *this)
{
    HostView *views;
    Str *ids;
    size_t n, own = SIZE_MAX;

    if (Membership_Version(this->membership) == this->membership_version) {
        return;
    }
    this->membership_version = Membership_Version(this->membership);
    views = g_new(HostView, HOSTS_MAX);
    ids = g_new(Str, HOSTS_MAX);
    n = Membership_Live(this->membership, views, HOSTS_MAX);
    for (size_t i = 0; i < n; i++) {
        ids[i] = views[i].id;
        NameTable_Intern(this->hosts, views[i].id);
        own = views[i].self ? i : own;
    }
    /* A leaving host is no longer in its own list. It keeps the last list for
     * the requests that it still has to complete. */
    if (own != SIZE_MAX) {
        Balancer_SetHosts(this->balancer, ids, n, own);
    }
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "hosts")) {
        EventLog_Int(this->log, "live", (int64_t)n);
        EventLog_End(this->log);
    }
    g_free(ids);
    g_free(views);
}

static void
exchange_items(PeerExchange *this)
{
    SharedItem item;

    share_usage(this);
    share_health_events(this);
    share_fingerprints(this);
    share_offset(this);
    while (Membership_NextItem(this->membership, &item)) {
        apply_item(this, &item);
    }
    update_hosts(this);
    send_gossip(this);
    send_slots(this);
}

static void
on_tick(void *user)
{
    PeerExchange *this = user;

    LoopTimer_Start(this->timer, TICK_INTERVAL_US);
    if (Clock_Now(this->clock) >= Membership_NextTick(this->membership)) {
        Membership_OnTick(this->membership);
    }
    exchange_items(this);
    this->on_event(this->user);
}

static void
on_message(void *user, const PeerMessage *message)
{
    PeerExchange *this = user;

    switch (PeerMessage_BodyCase(message)) {
    case AGATECRANK__PEER_MESSAGE__BODY_GOSSIP:
        handle_gossip(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_FETCH_CONFIG:
        handle_fetch(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_CONFIG_CHUNK:
        handle_chunk(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_CLAIM_SUBMIT:
        handle_submit(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_QUERY:
        handle_query(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_REPLY:
        handle_reply(this, message);
        break;
    case AGATECRANK__PEER_MESSAGE__BODY_SLOT_MESSAGE:
        handle_slot(this, message);
        break;
    default:
        return;
    }
    exchange_items(this);
    this->on_event(this->user);
}

/* ---- creation -------------------------------------------------------- */

static void
create_membership(PeerExchange *this, const PeerExchangeOptions *options,
                  Random *random)
{
    MembershipOptions membership = MembershipOptions_Default();
    char *address = g_strdup_printf(
        STR_FORMAT ":%u", STR_ARGS(options->address), PeerExchange_Port(this));

    membership.deployment = options->link.deployment;
    membership.host = options->host;
    membership.address = Str_FromC(address);
    membership.domain = options->domain;
    membership.incarnation = options->incarnation;
    membership.seeds = options->seeds;
    membership.seed_count = options->seed_count;
    if (options->link.keys != NULL) {
        membership.key =
            (Str){(const char *)options->link.keys->public_key.bytes,
                  PEER_KEY_BYTES};
    }
    this->membership = Membership_Create(&membership, this->clock, random);
    g_free(address);
}

PeerExchange *
PeerExchange_Create(const PeerExchangeOptions *options, Loop *loop,
                    Random *random, EventLog *log, Error *error)
{
    PeerExchange *this = g_new0(PeerExchange, 1);
    QuarantineExchangeOptions quarantine = {0};

    this->balancer = options->balancer;
    this->sync = options->sync;
    this->clock = Loop_Clock(loop);
    this->log = log;
    this->on_event = options->on_event;
    this->user = options->user;
    this->hosts = NameTable_Create();
    this->names = (PeerNames){name_of, index_of, this};
    this->bytes = g_string_new(NULL);
    this->gossip = g_new0(Gossip, 1);
    this->deployment = Str_ToString(options->link.deployment);
    this->host = Str_ToString(options->host);
    if (options->link.keys != NULL) {
        this->link = PeerLink_Create(&options->link, loop, log, on_message,
                                     this, error);
        if (this->link == NULL) {
            PeerExchange_Destroy(this);
            return NULL;
        }
    }
    create_membership(this, options, random);
    this->quarantine =
        QuarantineExchange_Create(Balancer_Quarantine(options->balancer),
                                  &quarantine, this->clock, random);
    this->timer = LoopTimer_Create(loop, on_tick, this);
    LoopTimer_Start(this->timer, TICK_INTERVAL_US);
    return this;
}

void
PeerExchange_Destroy(PeerExchange *this)
{
    LoopTimer_Destroy(this->timer);
    if (this->link != NULL) {
        PeerLink_Destroy(this->link);
    }
    if (this->membership != NULL) {
        Membership_Destroy(this->membership);
    }
    QuarantineExchange_Destroy(this->quarantine);
    NameTable_Destroy(this->hosts);
    g_string_free(this->bytes, TRUE);
    g_string_free(this->deployment, TRUE);
    g_string_free(this->host, TRUE);
    g_free(this->gossip);
    g_free(this);
}

void
PeerExchange_OnHostList(PeerExchange *this, const HostEntry *entries,
                        size_t count)
{
    Membership_OnHostList(this->membership, entries, count);
    exchange_items(this);
}

void
PeerExchange_Leave(PeerExchange *this)
{
    Membership_Leave(this->membership);
    send_gossip(this);
}

uint16_t
PeerExchange_Port(const PeerExchange *this)
{
    return this->link != NULL ? PeerLink_Port(this->link) : 0;
}

const Membership *
PeerExchange_Membership(const PeerExchange *this)
{
    return this->membership;
}
