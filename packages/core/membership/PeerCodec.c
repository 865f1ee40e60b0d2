#include "PeerCodec.h"

#include <string.h>

#define KEY_HASH_BYTES 16
/* Payload of a ConfigChunk: one record of the log, or several smaller ones. */
#define CHUNK_PAYLOAD_MAX_BYTES ((size_t)260 * 1024)
/* Upper bound of the bytes of a record besides its data. */
#define RECORD_OVERHEAD_BYTES 32

static ProtobufCBinaryData
borrow_bytes(const void *data, size_t length)
{
    return (ProtobufCBinaryData){.len = length, .data = (uint8_t *)data};
}

static bool
has_body(const PeerMessage *message, Agatecrank__PeerMessage__BodyCase body)
{
    return PeerMessage_BodyCase(message) == body;
}

/* Reads a digest of full length; an empty one is read as all zeros. */
static int
read_digest(ProtobufCBinaryData from, uint8_t to[SNAPSHOT_DIGEST_BYTES])
{
    memset(to, 0, SNAPSHOT_DIGEST_BYTES);
    if (from.len == 0) {
        return 0;
    }
    if (from.len != SNAPSHOT_DIGEST_BYTES) {
        return ERR_PROTOCOL;
    }
    memcpy(to, from.data, SNAPSHOT_DIGEST_BYTES);
    return 0;
}

int
PeerCodec_WriteFetch(const PeerEnvelope *envelope, const ConfigFetch *fetch,
                     GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__FetchConfig body = AGATECRANK__FETCH_CONFIG__INIT;

    body.from = fetch->from;
    body.snapshot = fetch->snapshot;
    body.digest = borrow_bytes(fetch->digest, SNAPSHOT_DIGEST_BYTES);
    body.index = fetch->index;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_FETCH_CONFIG;
    message.fetch_config = &body;
    return PeerMessage_Encode(envelope, &message, out);
}

int
PeerCodec_ReadFetch(const PeerMessage *message, ConfigFetch *fetch)
{
    const Agatecrank__FetchConfig *body;

    if (!has_body(message, AGATECRANK__PEER_MESSAGE__BODY_FETCH_CONFIG)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->fetch_config;
    fetch->from = body->from;
    fetch->snapshot = body->snapshot;
    fetch->index = body->index;
    return read_digest(body->digest, fetch->digest);
}

static void
write_snapshot_piece(const SnapshotChunk *from, Agatecrank__SnapshotPiece *to)
{
    agatecrank__snapshot_piece__init(to);
    to->offset = from->offset;
    to->digest = borrow_bytes(from->digest, SNAPSHOT_DIGEST_BYTES);
    to->index = from->index;
    to->count = from->count;
    to->data = borrow_bytes(from->data.data, from->data.length);
}

/* Returns the number of leading records that fit into one message. The first
 * one always does. */
static size_t
count_fitting_records(const ConfigChunk *chunk)
{
    size_t bytes = 0;
    size_t n = 0;

    while (n < chunk->count) {
        bytes += chunk->records[n].data.length + RECORD_OVERHEAD_BYTES;
        if (n > 0 && bytes > CHUNK_PAYLOAD_MAX_BYTES) {
            break;
        }
        n++;
    }
    return n;
}

int
PeerCodec_WriteChunk(const PeerEnvelope *envelope, const ConfigChunk *chunk,
                     GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__ConfigChunk body = AGATECRANK__CONFIG_CHUNK__INIT;
    Agatecrank__SnapshotPiece piece;
    size_t n = chunk->snapshot ? 0 : count_fitting_records(chunk);
    Agatecrank__ConfigRecord *records = g_new(Agatecrank__ConfigRecord, n);
    Agatecrank__ConfigRecord **list = g_new(Agatecrank__ConfigRecord *, n);
    int code;

    body.next = chunk->next;
    body.before = borrow_bytes(chunk->before, SNAPSHOT_DIGEST_BYTES);
    if (chunk->snapshot) {
        write_snapshot_piece(&chunk->piece, &piece);
        body.piece = &piece;
    }
    for (size_t i = 0; i < n; i++) {
        const ConfigRecord *from = &chunk->records[i];

        agatecrank__config_record__init(&records[i]);
        records[i].offset = from->offset;
        records[i].time_ms = from->time_ms;
        records[i].data = borrow_bytes(from->data.data, from->data.length);
        list[i] = &records[i];
    }
    body.n_records = n;
    body.records = list;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_CONFIG_CHUNK;
    message.config_chunk = &body;
    code = PeerMessage_Encode(envelope, &message, out);
    g_free(list);
    g_free(records);
    return code;
}

static int
read_snapshot_piece(const Agatecrank__SnapshotPiece *from, SnapshotChunk *to)
{
    to->offset = from->offset;
    to->index = from->index;
    to->count = from->count;
    to->data = PeerMessage_ToStr(from->data);
    if (from->digest.len != SNAPSHOT_DIGEST_BYTES ||
        from->index >= from->count) {
        return ERR_PROTOCOL;
    }
    return read_digest(from->digest, to->digest);
}

int
PeerCodec_ReadChunk(const PeerMessage *message, ConfigChunk *chunk,
                    GArray *records)
{
    const Agatecrank__ConfigChunk *body;

    if (!has_body(message, AGATECRANK__PEER_MESSAGE__BODY_CONFIG_CHUNK)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->config_chunk;
    memset(chunk, 0, sizeof(*chunk));
    g_array_set_size(records, 0);
    chunk->next = body->next;
    chunk->snapshot = body->piece != NULL;
    if (read_digest(body->before, chunk->before) < 0 ||
        (chunk->snapshot &&
         read_snapshot_piece(body->piece, &chunk->piece) < 0)) {
        return ERR_PROTOCOL;
    }
    for (size_t i = 0; i < body->n_records && !chunk->snapshot; i++) {
        ConfigRecord record = {
            .offset = body->records[i]->offset,
            .time_ms = body->records[i]->time_ms,
            .data = PeerMessage_ToStr(body->records[i]->data),
        };

        g_array_append_val(records, record);
    }
    chunk->records = (const ConfigRecord *)(void *)records->data;
    chunk->count = records->len;
    return 0;
}

static void
write_key_hash(KeyHash key, uint8_t out[KEY_HASH_BYTES])
{
    for (size_t i = 0; i < KEY_HASH_BYTES; i++) {
        out[i] = (uint8_t)(key.word[i / 8] >> (8 * (i % 8)));
    }
}

static int
read_key_hash(ProtobufCBinaryData from, KeyHash *key)
{
    if (from.len != KEY_HASH_BYTES) {
        return ERR_PROTOCOL;
    }
    key->word[0] = key->word[1] = 0;
    for (size_t i = 0; i < KEY_HASH_BYTES; i++) {
        key->word[i / 8] |= (uint64_t)from.data[i] << (8 * (i % 8));
    }
    return 0;
}

/* One claim to encode. ClaimItem.host is a C string, so each claim needs a
 * terminated copy of its host name. */
typedef struct ClaimBuffer_ {
    Agatecrank__ClaimItem item;
    uint8_t key[KEY_HASH_BYTES];
    char host[CLAIM_HOST_MAX_BYTES + 1];
} ClaimBuffer;

static int
write_claim(const Claim *from, ClaimBuffer *to)
{
    if (from->host.length > CLAIM_HOST_MAX_BYTES) {
        return ERR_LIMIT;
    }
    agatecrank__claim_item__init(&to->item);
    write_key_hash(from->key, to->key);
    memcpy(to->host, from->host.length > 0 ? from->host.data : "",
           from->host.length);
    to->host[from->host.length] = 0;
    to->item.key = borrow_bytes(to->key, KEY_HASH_BYTES);
    to->item.digest = from->digest;
    to->item.host = to->host;
    to->item.incarnation = from->incarnation;
    to->item.number = from->number;
    to->item.key_time_ms = from->key_time_ms;
    return 0;
}

int
PeerCodec_WriteSubmit(const PeerEnvelope *envelope, const ClaimSubmit *submit,
                      GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__ClaimSubmit body = AGATECRANK__CLAIM_SUBMIT__INIT;
    ClaimBuffer *claims;
    Agatecrank__ClaimItem **list;
    int code = 0;

    if (submit->n > CLAIM_RECORD_ITEMS_MAX) {
        return ERR_LIMIT;
    }
    claims = g_new(ClaimBuffer, submit->n);
    list = g_new(Agatecrank__ClaimItem *, submit->n);
    for (size_t i = 0; i < submit->n && code == 0; i++) {
        code = write_claim(&submit->claims[i], &claims[i]);
        list[i] = &claims[i].item;
    }
    body.partition = submit->partition;
    body.n_claims = submit->n;
    body.claims = list;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_CLAIM_SUBMIT;
    message.claim_submit = &body;
    if (code == 0) {
        code = PeerMessage_Encode(envelope, &message, out);
    }
    g_free(list);
    g_free(claims);
    return code;
}

static int
read_claim(const Agatecrank__ClaimItem *from, Claim *to)
{
    to->digest = from->digest;
    to->host = Str_FromC(from->host);
    to->incarnation = from->incarnation;
    to->number = from->number;
    to->key_time_ms = from->key_time_ms;
    if (to->host.length == 0 || to->host.length > CLAIM_HOST_MAX_BYTES) {
        return ERR_PROTOCOL;
    }
    return read_key_hash(from->key, &to->key);
}

int
PeerCodec_ReadSubmit(const PeerMessage *message, ClaimSubmit *submit,
                     GArray *claims)
{
    const Agatecrank__ClaimSubmit *body;

    if (!has_body(message, AGATECRANK__PEER_MESSAGE__BODY_CLAIM_SUBMIT)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->claim_submit;
    g_array_set_size(claims, 0);
    if (body->n_claims > CLAIM_RECORD_ITEMS_MAX) {
        return ERR_PROTOCOL;
    }
    for (size_t i = 0; i < body->n_claims; i++) {
        Claim claim;

        if (read_claim(body->claims[i], &claim) < 0) {
            return ERR_PROTOCOL;
        }
        g_array_append_val(claims, claim);
    }
    submit->partition = body->partition;
    submit->claims = (const Claim *)(void *)claims->data;
    submit->n = claims->len;
    return 0;
}

int
PeerCodec_WriteQuery(const PeerEnvelope *envelope,
                     const ClaimOutcomeQuery *query, GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__ClaimOutcomeQuery body = AGATECRANK__CLAIM_OUTCOME_QUERY__INIT;
    uint8_t key[KEY_HASH_BYTES];

    write_key_hash(query->key, key);
    body.number = query->number;
    body.key = borrow_bytes(key, sizeof(key));
    body.digest = query->digest;
    body.key_time_ms = query->key_time_ms;
    body.holder_incarnation = query->holder_incarnation;
    body.issued = query->issued;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_QUERY;
    message.claim_outcome_query = &body;
    return PeerMessage_Encode(envelope, &message, out);
}

int
PeerCodec_ReadQuery(const PeerMessage *message, ClaimOutcomeQuery *query)
{
    const Agatecrank__ClaimOutcomeQuery *body;

    if (!has_body(message,
                  AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_QUERY)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->claim_outcome_query;
    query->number = body->number;
    query->digest = body->digest;
    query->key_time_ms = body->key_time_ms;
    query->from = PeerMessage_Host(message);
    query->from_incarnation = PeerMessage_Incarnation(message);
    query->holder_incarnation = body->holder_incarnation;
    query->issued = body->issued;
    return read_key_hash(body->key, &query->key);
}

/* States by their number on the wire; 0 is not used. */
static const ClaimReplyState reply_states_by_number[] = {
    CLAIM_REPLY_UNKNOWN,           CLAIM_REPLY_PENDING,
    CLAIM_REPLY_NOT_RUN,           CLAIM_REPLY_RAN,
    CLAIM_REPLY_UNKNOWN,           CLAIM_REPLY_REUSED,
    CLAIM_REPLY_INCARNATION_ENDED, CLAIM_REPLY_GRANTED,
    CLAIM_REPLY_REDIRECT,
};

static uint32_t
reply_state_number(ClaimReplyState state)
{
    for (uint32_t i = 1; i < G_N_ELEMENTS(reply_states_by_number); i++) {
        if (reply_states_by_number[i] == state) {
            return i;
        }
    }
    return 0;
}

int
PeerCodec_WriteReply(const PeerEnvelope *envelope,
                     const ClaimOutcomeReply *reply, GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__ClaimOutcomeReply body = AGATECRANK__CLAIM_OUTCOME_REPLY__INIT;
    uint8_t key[KEY_HASH_BYTES];

    write_key_hash(reply->key, key);
    body.number = reply->number;
    body.key = borrow_bytes(key, sizeof(key));
    body.to_incarnation = reply->to_incarnation;
    body.state = reply_state_number(reply->state);
    body.holder = borrow_bytes(reply->holder.data, reply->holder.length);
    body.holder_incarnation = reply->holder_incarnation;
    body.answer = borrow_bytes(reply->answer.data, reply->answer.length);
    body.has_answer = reply->has_answer;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_REPLY;
    message.claim_outcome_reply = &body;
    return PeerMessage_Encode(envelope, &message, out);
}

int
PeerCodec_ReadReply(const PeerMessage *message, ClaimOutcomeReply *reply)
{
    const Agatecrank__ClaimOutcomeReply *body;

    if (!has_body(message,
                  AGATECRANK__PEER_MESSAGE__BODY_CLAIM_OUTCOME_REPLY)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->claim_outcome_reply;
    reply->number = body->number;
    reply->to_incarnation = body->to_incarnation;
    reply->state = body->state < G_N_ELEMENTS(reply_states_by_number)
                       ? reply_states_by_number[body->state]
                       : CLAIM_REPLY_UNKNOWN;
    reply->holder = PeerMessage_ToStr(body->holder);
    reply->holder_incarnation = body->holder_incarnation;
    reply->answer = PeerMessage_ToStr(body->answer);
    reply->has_answer = body->has_answer;
    if (reply->holder.length > CLAIM_HOST_MAX_BYTES) {
        return ERR_PROTOCOL;
    }
    return read_key_hash(body->key, &reply->key);
}

int
PeerCodec_WriteSlot(const PeerEnvelope *envelope, const SlotMessage *slot,
                    const PeerNames *names, GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__SlotMessage body = AGATECRANK__SLOT_MESSAGE__INIT;
    Str service = names->name(names->user, PEER_NAME_SERVICE, slot->service);
    Str upstream = {NULL, 0};

    if (slot->kind == SLOT_GRANT || slot->kind == SLOT_RETURN) {
        upstream =
            names->name(names->user, PEER_NAME_UPSTREAM, slot->upstream);
        if (upstream.length == 0) {
            return ERR_NOT_FOUND;
        }
    }
    if (service.length == 0) {
        return ERR_NOT_FOUND;
    }
    body.kind = (uint32_t)slot->kind + 1;
    body.service = borrow_bytes(service.data, service.length);
    body.upstream = borrow_bytes(upstream.data, upstream.length);
    body.id = slot->id;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_SLOT_MESSAGE;
    message.slot_message = &body;
    return PeerMessage_Encode(envelope, &message, out);
}

/* Returns 0, or ERR_NOT_FOUND if the name is empty or unknown. */
static int
find_index(const PeerNames *names, PeerNameKind kind, Str name,
           uint32_t *index)
{
    *index = NAME_INDEX_NONE;
    if (name.length > 0) {
        *index = names->index(names->user, kind, name);
    }
    return *index == NAME_INDEX_NONE ? ERR_NOT_FOUND : 0;
}

int
PeerCodec_ReadSlot(const PeerMessage *message, const PeerNames *names,
                   SlotMessage *slot)
{
    const Agatecrank__SlotMessage *body;
    int code;

    if (!has_body(message, AGATECRANK__PEER_MESSAGE__BODY_SLOT_MESSAGE)) {
        return ERR_PROTOCOL;
    }
    body = PeerMessage_Get(message)->slot_message;
    if (body->kind == 0 || body->kind > (uint32_t)SLOT_RETURN + 1) {
        return ERR_PROTOCOL;
    }
    slot->kind = (SlotMessageKind)(body->kind - 1);
    slot->peer = Str_Hash(PeerMessage_Host(message));
    slot->id = body->id;
    slot->upstream = 0;
    code = find_index(names, PEER_NAME_SERVICE,
                      PeerMessage_ToStr(body->service), &slot->service);
    if (code == 0 && body->upstream.len > 0) {
        code = find_index(names, PEER_NAME_UPSTREAM,
                          PeerMessage_ToStr(body->upstream), &slot->upstream);
    }
    else if (slot->kind == SLOT_GRANT || slot->kind == SLOT_RETURN) {
        code = code < 0 ? code : ERR_PROTOCOL;
    }
    return code;
}

int
PeerCodec_UsageToItem(const UsageItem *usage, const PeerNames *names,
                      SharedItem *item)
{
    memset(item, 0, sizeof(*item));
    item->kind = SHARED_USAGE;
    item->age = usage->age;
    item->usage.service =
        names->name(names->user, PEER_NAME_SERVICE, usage->service);
    item->usage.usage = usage->usage;
    item->usage.effective = usage->effective;
    item->usage.caller_level = usage->caller_level;
    if (item->usage.service.length == 0) {
        return ERR_NOT_FOUND;
    }
    if (usage->line == ADMISSION_LEVEL_LINE) {
        return 0;
    }
    item->usage.line = names->name(names->user, PEER_NAME_LINE, usage->line);
    return item->usage.line.length == 0 ? ERR_NOT_FOUND : 0;
}

int
PeerCodec_ItemToUsage(const SharedItem *item, const PeerNames *names,
                      UsageItem *usage)
{
    if (item->kind != SHARED_USAGE) {
        return ERR_INVALID;
    }
    usage->usage = item->usage.usage;
    usage->effective = item->usage.effective;
    usage->caller_level = item->usage.caller_level;
    usage->age = item->age;
    usage->line = ADMISSION_LEVEL_LINE;
    if (find_index(names, PEER_NAME_SERVICE, item->usage.service,
                   &usage->service) < 0 ||
        find_index(names, PEER_NAME_HOST, item->host, &usage->host) < 0) {
        return ERR_NOT_FOUND;
    }
    if (item->usage.line.length == 0) {
        return 0;
    }
    return find_index(names, PEER_NAME_LINE, item->usage.line, &usage->line);
}

int
PeerCodec_FingerprintToItem(const QuarantineItem *quarantine_item,
                            const PeerNames *names, SharedItem *item)
{
    uint32_t losses = MIN(quarantine_item->losses, QUARANTINE_LOSS_THRESHOLD);

    memset(item, 0, sizeof(*item));
    item->kind = SHARED_FINGERPRINT;
    item->age = quarantine_item->age;
    item->fingerprint.line = names->name(names->user, PEER_NAME_LINE,
                                         quarantine_item->fingerprint.line);
    item->fingerprint.high = quarantine_item->fingerprint.high;
    item->fingerprint.low = quarantine_item->fingerprint.low;
    item->fingerprint.losses = losses;
    item->fingerprint.released = quarantine_item->released;
    for (uint32_t i = 0; i < losses; i++) {
        item->fingerprint.upstreams[i] = names->name(
            names->user, PEER_NAME_UPSTREAM, quarantine_item->upstreams[i]);
    }
    return item->fingerprint.line.length == 0 ? ERR_NOT_FOUND : 0;
}

int
PeerCodec_ItemToFingerprint(const SharedItem *item, const PeerNames *names,
                            QuarantineItem *quarantine_item)
{
    if (item->kind != SHARED_FINGERPRINT) {
        return ERR_INVALID;
    }
    memset(quarantine_item, 0, sizeof(*quarantine_item));
    quarantine_item->fingerprint.high = item->fingerprint.high;
    quarantine_item->fingerprint.low = item->fingerprint.low;
    quarantine_item->losses =
        MIN(item->fingerprint.losses, QUARANTINE_LOSS_THRESHOLD);
    quarantine_item->age = item->age;
    quarantine_item->released = item->fingerprint.released;
    for (size_t i = 0; i < QUARANTINE_LOSS_THRESHOLD; i++) {
        find_index(names, PEER_NAME_UPSTREAM, item->fingerprint.upstreams[i],
                   &quarantine_item->upstreams[i]);
    }
    return find_index(names, PEER_NAME_LINE, item->fingerprint.line,
                      &quarantine_item->fingerprint.line);
}
