#include "Pattern.h"

#include <string.h>

#define BLOCK_BYTES 8

/* splitmix64 with a counter, so that any block can be computed directly. */
static uint64_t
block_at(uint64_t seed, uint64_t index)
{
    uint64_t z = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

uint64_t
Pattern_Seed(Str request_id)
{
    return Str_Hash(request_id);
}

void
Pattern_Fill(uint64_t seed, uint64_t offset, char *out, size_t length)
{
    while (length > 0) {
        uint64_t block = block_at(seed, offset / BLOCK_BYTES);
        size_t skip = offset % BLOCK_BYTES;
        size_t piece =
            BLOCK_BYTES - skip < length ? BLOCK_BYTES - skip : length;

        memcpy(out, (const char *)&block + skip, piece);
        out += piece;
        offset += piece;
        length -= piece;
    }
}

bool
Pattern_Matches(uint64_t seed, uint64_t offset, Str bytes)
{
    char expected[4096];
    size_t done = 0;

    while (done < bytes.length) {
        size_t piece = bytes.length - done;

        piece = piece < sizeof(expected) ? piece : sizeof(expected);
        Pattern_Fill(seed, offset + done, expected, piece);
        if (memcmp(expected, bytes.data + done, piece) != 0) {
            return false;
        }
        done += piece;
    }
    return true;
}
