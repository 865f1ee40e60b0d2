#include "ClaimRecord.h"

#include <string.h>

#include "claims.pb-c.h"

#define KEY_BYTES 16

static void
fill_item(Agatecrank__ClaimItem *item, const Claim *claim, char *host)
{
    agatecrank__claim_item__init(item);
    memcpy(host, claim->host.data, claim->host.length);
    item->key.data = (uint8_t *)(uintptr_t)claim->key.word;
    item->key.len = KEY_BYTES;
    item->digest = claim->digest;
    item->host = host;
    item->incarnation = claim->incarnation;
    item->number = claim->number;
    item->key_time_ms = claim->key_time_ms;
}

void
ClaimRecord_Write(uint32_t partitions, const Claim *claims, size_t n,
                  GString *out)
{
    Agatecrank__ClaimBatch batch = AGATECRANK__CLAIM_BATCH__INIT;
    Agatecrank__ClaimItem *items = g_new(Agatecrank__ClaimItem, n);
    Agatecrank__ClaimItem **pointers = g_new(Agatecrank__ClaimItem *, n);
    char *hosts = g_malloc0(n * (CLAIM_HOST_MAX_BYTES + 1));
    size_t start = out->len;

    for (size_t i = 0; i < n; i++) {
        fill_item(&items[i], &claims[i],
                  hosts + i * (CLAIM_HOST_MAX_BYTES + 1));
        pointers[i] = &items[i];
    }
    batch.version = CLAIM_RECORD_VERSION;
    batch.minimum_reader = 1;
    batch.partitions = partitions;
    batch.n_items = n;
    batch.items = pointers;
    g_string_set_size(
        out, start + agatecrank__claim_batch__get_packed_size(&batch));
    agatecrank__claim_batch__pack(&batch, (uint8_t *)out->str + start);
    g_free(hosts);
    g_free(pointers);
    g_free(items);
}

static bool
read_item(const Agatecrank__ClaimItem *item, Claim *claim)
{
    size_t length = strlen(item->host);

    if (item->key.len != KEY_BYTES || length == 0 ||
        length > CLAIM_HOST_MAX_BYTES) {
        return false;
    }
    memcpy(claim->key.word, item->key.data, KEY_BYTES);
    claim->digest = item->digest;
    claim->host = (Str){item->host, length};
    claim->incarnation = item->incarnation;
    claim->number = item->number;
    claim->key_time_ms = item->key_time_ms;
    return true;
}

int
ClaimRecord_Read(Str record, uint32_t *partitions, ClaimVisitor *visit,
                 void *user)
{
    Agatecrank__ClaimBatch *batch;
    int skipped = 0;

    if (record.length == 0) {
        return ERR_PARSE;
    }
    batch = agatecrank__claim_batch__unpack(NULL, record.length,
                                            (const uint8_t *)record.data);
    if (batch == NULL) {
        return ERR_PARSE;
    }
    /* Arbitrary bytes often decode as a message of unknown fields. */
    if (batch->version == 0 || batch->partitions == 0) {
        agatecrank__claim_batch__free_unpacked(batch, NULL);
        return ERR_PARSE;
    }
    *partitions = batch->partitions;
    if (batch->minimum_reader > CLAIM_RECORD_VERSION) {
        agatecrank__claim_batch__free_unpacked(batch, NULL);
        return ERR_PROTOCOL;
    }
    for (size_t i = 0; i < batch->n_items; i++) {
        Claim claim;

        if (read_item(batch->items[i], &claim)) {
            visit(user, &claim);
        }
        else {
            skipped++;
        }
    }
    agatecrank__claim_batch__free_unpacked(batch, NULL);
    return skipped;
}
