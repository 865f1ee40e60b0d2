#ifndef AGATECRANK_STANDINS_LOADHISTORY_H
#define AGATECRANK_STANDINS_LOADHISTORY_H

#include "Clock.h"

/** struct LoadSample_ - load of an upstream from a time on */
typedef struct LoadSample_ {
    Micros since;
    uint32_t inflight;
    uint32_t queue;
} LoadSample;

/** typedef LoadHistory - past load, so that reports can lag */
typedef struct LoadHistory_ LoadHistory;

LoadHistory *LoadHistory_Create(void);
void LoadHistory_Destroy(LoadHistory *this);

/** LoadHistory_Add() - the load changed; times must not go back */
void LoadHistory_Add(LoadHistory *this, LoadSample sample);

/** LoadHistory_At() - load at @time; older samples are dropped */
LoadSample LoadHistory_At(LoadHistory *this, Micros time);

#endif
