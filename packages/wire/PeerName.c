#include "PeerName.h"

#include <string.h>

bool
PeerName_IsValid(Str text)
{
    if (text.length == 0 || text.length > PEER_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        if (text.data[i] <= ' ' || text.data[i] > '~') {
            return false;
        }
    }
    return true;
}

void
PeerName_Copy(char out[PEER_NAME_MAX + 1], Str text)
{
    size_t length = MIN(text.length, PEER_NAME_MAX);

    if (length > 0) {
        memcpy(out, text.data, length);
    }
    out[length] = 0;
}
