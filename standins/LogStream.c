#include "LogStream.h"

typedef struct Record_ {
    uint64_t offset;
    Micros wall_time;
    Micros appended;
    GBytes *bytes;
} Record;

struct LogStream_ {
    GQueue records; /* of Record, oldest first */
    uint64_t next;
};

static void
free_record(void *pointer)
{
    Record *record = pointer;

    g_bytes_unref(record->bytes);
    g_free(record);
}

LogStream *
LogStream_Create(void)
{
    LogStream *this = g_new0(LogStream, 1);

    g_queue_init(&this->records);
    return this;
}

void
LogStream_Destroy(LogStream *this)
{
    g_queue_clear_full(&this->records, free_record);
    g_free(this);
}

uint64_t
LogStream_Append(LogStream *this, Str record, Micros now, Micros wall_time)
{
    Record *added = g_new0(Record, 1);

    added->offset = this->next++;
    added->wall_time = wall_time;
    added->appended = now;
    added->bytes = g_bytes_new(record.data, record.length);
    g_queue_push_tail(&this->records, added);
    return added->offset;
}

uint64_t
LogStream_First(const LogStream *this)
{
    const GList *head = this->records.head;

    return head != NULL ? ((const Record *)head->data)->offset : this->next;
}

uint64_t
LogStream_Next(const LogStream *this)
{
    return this->next;
}

uint64_t
LogStream_VisibleNext(const LogStream *this, Micros time)
{
    const GList *link = this->records.tail;

    while (link != NULL && ((const Record *)link->data)->appended > time) {
        link = link->prev;
    }
    return link != NULL ? ((const Record *)link->data)->offset + 1
                        : LogStream_First(this);
}

uint64_t
LogStream_Expire(LogStream *this, uint64_t count, Micros before)
{
    uint64_t dropped = 0;
    const Record *record;

    while ((record = g_queue_peek_head(&this->records)) != NULL &&
           (record->appended <= before ||
            (count > 0 && this->records.length > count))) {
        free_record(g_queue_pop_head(&this->records));
        dropped++;
    }
    return dropped;
}

/* Most reads ask for the newest records, so the search starts at the end. */
static const GList *
find_first_from(const LogStream *this, uint64_t from)
{
    const GList *link = this->records.tail;

    if (link == NULL || ((const Record *)link->data)->offset < from) {
        return NULL;
    }
    while (link->prev != NULL &&
           ((const Record *)link->prev->data)->offset >= from) {
        link = link->prev;
    }
    return link;
}

void
LogStream_Read(const LogStream *this, uint64_t from, uint64_t next,
               uint64_t max, uint64_t max_bytes, GString *out)
{
    const GList *link = find_first_from(this, from);

    for (; link != NULL && max > 0; link = link->next, max--) {
        const Record *record = link->data;
        gsize length;
        const char *data = g_bytes_get_data(record->bytes, &length);

        if (record->offset >= next ||
            (out->len > 0 && out->len + length > max_bytes)) {
            return;
        }
        g_string_append_printf(
            out,
            "%" G_GUINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GSIZE_FORMAT "\n",
            record->offset, (gint64)(record->wall_time / MICROS_PER_MS),
            length);
        g_string_append_len(out, data, (gssize)length);
        g_string_append_c(out, '\n');
    }
}
