#include "Prober.h"

#include <glib.h>
#include <string.h>

#define TICK_INTERVAL_US (25 * MICROS_PER_MS)
#define HTTP_PROBE_TIMEOUT_US (1 * MICROS_PER_S)
#define PROBE_BODY_BYTES_MAX 512
#define PROBE_RESPONSE_BYTES_MAX 65536
/* Estimated size of a request and of the response headers, for the budget. */
#define PROBE_OVERHEAD_BYTES 400

struct Prober_ {
    Loop *loop;
    Balancer *balancer;
    Counters *counters;
    HttpClient *client;
    LoopTimer *timer;
};

typedef struct Probe_ {
    Prober *prober;
    ProbeRequest request;
    HttpCall *call;
    LoopTimer *timer;
    Micros started_at;
    int status;
    char body[PROBE_BODY_BYTES_MAX];
    size_t length;
} Probe;

static void
count_probe(Prober *this, const Probe *probe)
{
    NameTable *services = Balancer_Services(this->balancer);
    CounterLabel label = {"service",
                          NameTable_Name(services, probe->request.service)};

    Counters_Add(this->counters, "agatecrank_probes_total", &label, 1, 1);
    Counters_Add(this->counters, "agatecrank_probe_bytes_total", &label, 1,
                 PROBE_OVERHEAD_BYTES + probe->length);
}

static void
finish_probe(Probe *probe, bool complete)
{
    Prober *this = probe->prober;
    Str text = Str_Trim((Str){probe->body, probe->length});
    LoadReport report;
    bool valid;

    while (text.length > 0 && text.data[text.length - 1] == '\n') {
        text.length--;
    }
    valid = complete && probe->status == 200 &&
            LoadReport_Parse(text, &report) == 0;
    Router_OnProbe(Balancer_Router(this->balancer), &probe->request,
                   valid ? &report : NULL,
                   (uint32_t)(PROBE_OVERHEAD_BYTES + probe->length),
                   Clock_Now(Loop_Clock(this->loop)) - probe->started_at);
    count_probe(this, probe);
    LoopTimer_Destroy(probe->timer);
    g_free(probe);
}

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Probe *probe = user;

    probe->status = status;
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Probe *probe = user;
    size_t space = sizeof(probe->body) - probe->length;
    size_t n = data.length < space ? data.length : space;

    memcpy(probe->body + probe->length, data.data, n);
    probe->length += n;
}

static void
on_drained(void *user, HttpCall *call)
{
}

static void
on_complete(void *user, HttpCall *call)
{
    finish_probe(user, true);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    finish_probe(user, false);
}

static const HttpCallHandlers handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

static void
on_timeout(void *user)
{
    Probe *probe = user;

    if (probe->call != NULL) {
        HttpCall_Cancel(probe->call);
    }
    finish_probe(probe, false);
}

static void
send_probe(Prober *this, const ProbeRequest *request)
{
    const DirectoryUpstream *upstream =
        Directory_At(Balancer_Directory(this->balancer), request->upstream);
    Probe *probe = g_new0(Probe, 1);
    HttpCallSpec spec = {
        .method = STR("GET"),
        .path = STR("/load"),
        .response_bytes_max = PROBE_RESPONSE_BYTES_MAX,
    };

    probe->prober = this;
    probe->request = *request;
    probe->started_at = Clock_Now(Loop_Clock(this->loop));
    probe->timer = LoopTimer_Create(this->loop, on_timeout, probe);
    if (upstream != NULL) {
        spec.address = upstream->address;
        spec.port = upstream->port;
        probe->call =
            HttpClient_Start(this->client, &spec, &handlers, probe, NULL);
    }
    LoopTimer_Start(probe->timer,
                    probe->call != NULL ? HTTP_PROBE_TIMEOUT_US : 1);
}

static void
on_tick(void *user)
{
    Prober *this = user;
    ProbeRequest request;

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    LoopTimer_Start(this->timer, TICK_INTERVAL_US);
    while (Router_NextProbe(Balancer_Router(this->balancer), &request)) {
        send_probe(this, &request);
    }
}

Prober *
Prober_Create(Loop *loop, Balancer *balancer, Counters *counters,
              const HttpClientOptions *client_options)
{
    HttpClientOptions options = *client_options;
    Prober *this = g_new0(Prober, 1);

    options.max_connections = 1;
    this->loop = loop;
    this->balancer = balancer;
    this->counters = counters;
    this->client = HttpClient_Create(loop, &options);
    this->timer = LoopTimer_Create(loop, on_tick, this);
    LoopTimer_Start(this->timer, TICK_INTERVAL_US);
    return this;
}

void
Prober_Destroy(Prober *this)
{
    LoopTimer_Destroy(this->timer);
    HttpClient_Destroy(this->client);
    g_free(this);
}
