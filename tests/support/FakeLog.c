#include "FakeLog.h"

typedef struct StoredRecord_ {
    GBytes *bytes;
    uint64_t time_ms;
} StoredRecord;

struct FakeLog_ {
    GArray *records; /* StoredRecord by offset; NULL bytes if expired */
    uint64_t first;  /* oldest record that has not expired */
};

FakeLog *
FakeLog_Create(void)
{
    FakeLog *this = g_new0(FakeLog, 1);

    this->records = g_array_new(FALSE, FALSE, sizeof(StoredRecord));
    return this;
}

void
FakeLog_DropFirst(FakeLog *this)
{
    StoredRecord *stored =
        &g_array_index(this->records, StoredRecord, this->first);

    g_clear_pointer(&stored->bytes, g_bytes_unref);
    this->first++;
}

void
FakeLog_Destroy(FakeLog *this)
{
    while (this->first < this->records->len) {
        FakeLog_DropFirst(this);
    }
    g_array_free(this->records, TRUE);
    g_free(this);
}

uint64_t
FakeLog_Append(FakeLog *this, Str record, uint64_t time_ms)
{
    StoredRecord stored = {.bytes = g_bytes_new(record.data, record.length),
                           .time_ms = time_ms};

    g_array_append_val(this->records, stored);
    return this->records->len - 1;
}

void
FakeLog_Expire(FakeLog *this, uint64_t time_ms)
{
    while (this->first < this->records->len &&
           g_array_index(this->records, StoredRecord, this->first).time_ms <
               time_ms) {
        FakeLog_DropFirst(this);
    }
}

uint64_t
FakeLog_Next(const FakeLog *this)
{
    return this->records->len;
}

ClaimLogRead *
FakeLog_Read(const FakeLog *this, uint32_t partition, uint64_t from,
             size_t max)
{
    ClaimLogRead *read = g_new0(ClaimLogRead, 1);
    uint64_t start = MAX(from, this->first);
    size_t n = start < this->records->len ? this->records->len - start : 0;
    ClaimLogRecord *records;

    n = MIN(n, max);
    records = g_new0(ClaimLogRecord, n);
    for (size_t i = 0; i < n; i++) {
        const StoredRecord *stored =
            &g_array_index(this->records, StoredRecord, start + i);
        size_t length;
        const char *data = g_bytes_get_data(stored->bytes, &length);

        records[i].offset = start + i;
        records[i].time_ms = stored->time_ms;
        records[i].record = (Str){g_memdup2(data, length), length};
    }
    read->partition = partition;
    read->log_first = this->first;
    read->log_next = this->records->len;
    read->records = records;
    read->n = n;
    return read;
}

void
FakeLog_FreeRead(ClaimLogRead *read)
{
    for (size_t i = 0; i < read->n; i++) {
        g_free((char *)(uintptr_t)read->records[i].record.data);
    }
    g_free((ClaimLogRecord *)(uintptr_t)read->records);
    g_free(read);
}
