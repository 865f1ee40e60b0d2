#include "ReplayWindow.h"

#include <string.h>

static void
clear_bit(ReplayWindow *this, uint64_t sequence)
{
    uint64_t bit = sequence % REPLAY_WINDOW_SIZE;

    this->used[bit / 64] &= ~(UINT64_C(1) << bit % 64);
}

static void
advance(ReplayWindow *this, uint64_t sequence)
{
    if (sequence - this->highest >= REPLAY_WINDOW_SIZE) {
        memset(this->used, 0, sizeof(this->used));
    }
    else {
        for (uint64_t n = this->highest; n != sequence;) {
            clear_bit(this, ++n);
        }
    }
    this->highest = sequence;
}

bool
ReplayWindow_Use(ReplayWindow *this, uint64_t sequence)
{
    uint64_t bit = sequence % REPLAY_WINDOW_SIZE;
    uint64_t mask = UINT64_C(1) << bit % 64;

    if (sequence == 0 || (sequence <= this->highest &&
                          this->highest - sequence >= REPLAY_WINDOW_SIZE)) {
        return false;
    }
    if (sequence > this->highest) {
        advance(this, sequence);
    }
    if ((this->used[bit / 64] & mask) != 0) {
        return false;
    }
    this->used[bit / 64] |= mask;
    return true;
}
