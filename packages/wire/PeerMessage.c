#include "PeerMessage.h"

#include <string.h>

/* Limit on the memory of one decoded message. Without it, a malicious message
 * of many empty submessages takes about 50 times its own length. */
#define MEMORY_MAX_BYTES ((size_t)4 * 1024 * 1024)
/* Smallest payload of a block. */
#define BLOCK_MIN_BYTES ((size_t)8 * 1024)
#define ALIGNMENT_BYTES ((size_t)16)

/* Header of a memory block, which the payload follows. The blocks of a message
 * form an arena and are released together. */
typedef struct Block_ {
    struct Block_ *next;
    size_t used; /* bytes of the payload in use */
    size_t size; /* bytes of the payload */
} Block;

struct PeerMessage_ {
    Agatecrank__PeerMessage *message;
    Block *blocks;
    size_t allocated; /* payload of all blocks, in bytes */
    bool exhausted;   /* an allocation would exceed MEMORY_MAX_BYTES */
};

static size_t
align_up(size_t size)
{
    return (size + ALIGNMENT_BYTES - 1) & ~(ALIGNMENT_BYTES - 1);
}

static bool
add_block(PeerMessage *this, size_t size)
{
    size_t payload = MAX(size, BLOCK_MIN_BYTES);
    Block *block;

    if (this->allocated + payload > MEMORY_MAX_BYTES) {
        this->exhausted = true;
        return false;
    }
    block = g_malloc(align_up(sizeof(Block)) + payload);
    block->next = this->blocks;
    block->used = 0;
    block->size = payload;
    this->blocks = block;
    this->allocated += payload;
    return true;
}

static void *
arena_alloc(void *user, size_t size)
{
    PeerMessage *this = user;
    Block *block = this->blocks;
    char *start;

    if (size > MEMORY_MAX_BYTES) {
        this->exhausted = true;
        return NULL;
    }
    size = align_up(size);
    if (block == NULL || block->size - block->used < size) {
        if (!add_block(this, size)) {
            return NULL;
        }
        block = this->blocks;
    }
    start = (char *)block + align_up(sizeof(Block)) + block->used;
    block->used += size;
    return start;
}

/* The blocks are released by PeerMessage_Destroy(). */
static void
arena_free(void *user, void *pointer)
{
    (void)user;
    (void)pointer;
}

bool
PeerMessage_VersionsCompatible(uint32_t own, uint32_t other)
{
    return other > 0 && other + 1 >= own && other <= own + 1;
}

void
PeerMessage_Destroy(PeerMessage *this)
{
    Block *block;

    if (this == NULL) {
        return;
    }
    block = this->blocks;
    while (block != NULL) {
        Block *next = block->next;

        g_free(block);
        block = next;
    }
    g_free(this);
}

static int
check_envelope(const PeerMessage *this, Str deployment,
               PeerMessageCounters *counters)
{
    if (!PeerMessage_VersionsCompatible(PEER_VERSION,
                                        this->message->version)) {
        counters->other_version++;
        return ERR_PROTOCOL;
    }
    if (!Str_Equal(Str_FromC(this->message->deployment), deployment)) {
        counters->other_deployment++;
        return ERR_DENIED;
    }
    if (!PeerName_IsValid(PeerMessage_Host(this))) {
        counters->malformed++;
        return ERR_PARSE;
    }
    if (PeerMessage_BodyCase(this) ==
        AGATECRANK__PEER_MESSAGE__BODY__NOT_SET) {
        counters->unknown_body++;
        return ERR_NOT_FOUND;
    }
    counters->accepted++;
    return 0;
}

int
PeerMessage_Decode(Str bytes, Str deployment, PeerMessage **message,
                   PeerMessageCounters *counters)
{
    PeerMessage *this;
    ProtobufCAllocator allocator = {arena_alloc, arena_free, NULL};
    int code;

    if (bytes.length > PEER_MESSAGE_MAX_BYTES) {
        counters->oversized++;
        return ERR_LIMIT;
    }
    this = g_new0(PeerMessage, 1);
    allocator.allocator_data = this;
    this->message = agatecrank__peer_message__unpack(
        &allocator, bytes.length, (const uint8_t *)bytes.data);
    if (this->message == NULL) {
        code = this->exhausted ? ERR_LIMIT : ERR_PARSE;
        counters->oversized += this->exhausted;
        counters->malformed += !this->exhausted;
    }
    else {
        code = check_envelope(this, deployment, counters);
    }
    if (code < 0) {
        PeerMessage_Destroy(this);
        return code;
    }
    *message = this;
    return 0;
}

const Agatecrank__PeerMessage *
PeerMessage_Get(const PeerMessage *this)
{
    return this->message;
}

Agatecrank__PeerMessage__BodyCase
PeerMessage_BodyCase(const PeerMessage *this)
{
    return this->message->body_case;
}

Str
PeerMessage_ToStr(ProtobufCBinaryData field)
{
    return (Str){(const char *)field.data, field.len};
}

Str
PeerMessage_Host(const PeerMessage *this)
{
    return Str_FromC(this->message->host);
}

uint64_t
PeerMessage_Incarnation(const PeerMessage *this)
{
    return this->message->incarnation;
}

/* Returns 0, or ERR_LIMIT if the name is too long. */
static int
copy_name(Str name, char out[PEER_NAME_MAX + 1])
{
    if (name.length > PEER_NAME_MAX) {
        return ERR_LIMIT;
    }
    if (name.length > 0) {
        memcpy(out, name.data, name.length);
    }
    out[name.length] = 0;
    return 0;
}

int
PeerMessage_Encode(const PeerEnvelope *envelope,
                   Agatecrank__PeerMessage *message, GString *out)
{
    char deployment[PEER_NAME_MAX + 1];
    char host[PEER_NAME_MAX + 1];
    size_t size;

    if (copy_name(envelope->deployment, deployment) < 0 ||
        copy_name(envelope->host, host) < 0) {
        return ERR_LIMIT;
    }
    message->version = PEER_VERSION;
    message->deployment = deployment;
    message->host = host;
    message->incarnation = envelope->incarnation;
    size = agatecrank__peer_message__get_packed_size(message);
    if (size <= PEER_MESSAGE_MAX_BYTES) {
        g_string_set_size(out, size);
        agatecrank__peer_message__pack(message, (uint8_t *)out->str);
    }
    message->deployment = NULL;
    message->host = NULL;
    return size <= PEER_MESSAGE_MAX_BYTES ? 0 : ERR_LIMIT;
}
