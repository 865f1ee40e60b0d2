#include "Hex.h"

#include "Error.h"

void
Hex_Append(GString *out, const uint8_t *bytes, size_t length)
{
    static const char digits[] = "0123456789abcdef";

    for (size_t i = 0; i < length; i++) {
        g_string_append_c(out, digits[bytes[i] >> 4]);
        g_string_append_c(out, digits[bytes[i] & 15]);
    }
}

int
Hex_Parse(Str text, uint8_t *bytes, size_t length)
{
    if (text.length != 2 * length) {
        return ERR_PARSE;
    }
    for (size_t i = 0; i < length; i++) {
        char high = text.data[2 * i];
        char low = text.data[2 * i + 1];

        if (!g_ascii_isxdigit(high) || !g_ascii_isxdigit(low) ||
            g_ascii_isupper(high) || g_ascii_isupper(low)) {
            return ERR_PARSE;
        }
        bytes[i] = (uint8_t)(g_ascii_xdigit_value(high) * 16 +
                             g_ascii_xdigit_value(low));
    }
    return 0;
}
