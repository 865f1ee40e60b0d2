#ifndef AGATECRANK_NET_PROBER_H
#define AGATECRANK_NET_PROBER_H

#include "Balancer.h"
#include "HttpClient.h"

/** typedef Prober - asks upstreams for their load when the router wants it */
typedef struct Prober_ Prober;

/** Prober_Create() - starts at once; everything is borrowed */
Prober *Prober_Create(Loop *loop, Balancer *balancer, Counters *counters,
                      const HttpClientOptions *tls);

/** Prober_Destroy() - stop and release */
void Prober_Destroy(Prober *this);

#endif
