#ifndef AGATECRANK_NET_PROBER_H
#define AGATECRANK_NET_PROBER_H

#include "Balancer.h"
#include "HttpClient.h"

/**
 * typedef Prober - sends the load probes that the router requests
 *
 * A probe is a GET of /load, and its result goes to Router_OnProbe().
 */
typedef struct Prober_ Prober;

/** Prober_Create() - start to probe; everything is borrowed */
Prober *Prober_Create(Loop *loop, Balancer *balancer, Counters *counters,
                      const HttpClientOptions *client_options);

/** Prober_Destroy() - stop and release */
void Prober_Destroy(Prober *this);

#endif
