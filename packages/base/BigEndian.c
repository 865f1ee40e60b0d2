#include "BigEndian.h"

void
BigEndian_Append(GString *out, uint64_t number, size_t bytes)
{
    for (size_t i = bytes; i > 0; i--) {
        g_string_append_c(out, (gchar)(number >> (8 * (i - 1))));
    }
}

uint64_t
BigEndian_Read(const char *data, size_t bytes)
{
    uint64_t number = 0;

    for (size_t i = 0; i < bytes; i++) {
        number = number << 8 | (unsigned char)data[i];
    }
    return number;
}
