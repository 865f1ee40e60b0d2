#include "ConfigSimulationLog.h"

static void
free_text(gpointer text)
{
    g_string_free(text, TRUE);
}

void
SimulatedStream_Init(SimulatedStream *this)
{
    this->records = g_ptr_array_new_with_free_func(free_text);
    this->times = g_array_new(FALSE, FALSE, sizeof(Micros));
    this->first = 0;
}

void
SimulatedStream_Clear(SimulatedStream *this)
{
    g_ptr_array_free(this->records, TRUE);
    g_array_free(this->times, TRUE);
}

uint64_t
SimulatedStream_Append(SimulatedStream *this, Str record, Micros now)
{
    g_ptr_array_add(this->records, Str_ToString(record));
    g_array_append_val(this->times, now);
    return this->records->len - 1;
}

void
SimulatedStream_Expire(SimulatedStream *this, Micros time)
{
    while (this->first < this->records->len &&
           g_array_index(this->times, Micros, this->first) < time) {
        this->first++;
    }
}

uint64_t
SimulatedStream_Next(const SimulatedStream *this)
{
    return this->records->len;
}

size_t
SimulatedStream_Read(const SimulatedStream *this, uint64_t from, uint64_t next,
                     ConfigRecord *records, size_t max)
{
    size_t count = 0;

    for (uint64_t i = MAX(from, this->first); i < next && count < max; i++) {
        const GString *text = this->records->pdata[i];

        records[count++] = (ConfigRecord){
            i,
            (uint64_t)(g_array_index(this->times, Micros, i) / MICROS_PER_MS),
            {text->str, text->len}};
    }
    return count;
}
