#ifndef AGATECRANK_STANDINS_LOADHISTORY_H
#define AGATECRANK_STANDINS_LOADHISTORY_H

#include "Clock.h"

/**
 * struct LoadSample_ - load of an upstream
 * @since: time of the change to this load
 * @inflight: requests that run
 * @queue: requests that wait for a slot
 */
typedef struct LoadSample_ {
    Micros since;
    uint32_t inflight;
    uint32_t queue;
} LoadSample;

/** typedef LoadHistory - past load of an upstream, for delayed reports */
typedef struct LoadHistory_ LoadHistory;

/** LoadHistory_Create() and LoadHistory_Destroy() - an empty history */
LoadHistory *LoadHistory_Create(void);
void LoadHistory_Destroy(LoadHistory *this);

/** LoadHistory_Add() - add a sample; @since must not decrease */
void LoadHistory_Add(LoadHistory *this, LoadSample sample);

/** LoadHistory_At() - load at @time, or zeros; drops older samples */
LoadSample LoadHistory_At(LoadHistory *this, Micros time);

#endif
