#ifndef AGATECRANK_NET_REPLAYWINDOW_H
#define AGATECRANK_NET_REPLAYWINDOW_H

#include <stdbool.h>
#include <stdint.h>

/** Sequence numbers below the highest one that are told apart */
#define REPLAY_WINDOW_SIZE 4096

/**
 * struct ReplayWindow_ - sequence numbers that were used, for messages that may
 *     overtake each other; all zero at first
 */
typedef struct ReplayWindow_ {
    uint64_t highest;
    uint64_t used[REPLAY_WINDOW_SIZE / 64];
} ReplayWindow;

/**
 * ReplayWindow_Use() - mark a sequence number as used
 *
 * Return: false if it is 0, was used before or is older than the window.
 */
bool ReplayWindow_Use(ReplayWindow *this, uint64_t sequence);

#endif
