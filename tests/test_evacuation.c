#include <glib.h>
#include <string.h>

#include "Dispatcher.h"
#include "GatewayFixture.h"

/* Guards against requests that are sent to the upstreams of an evacuated
 * failure domain, by any of the ways in which a request gets to an upstream. */

#define SLOT_COUNT 4
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define TIMEOUT_US (800 * MICROS_PER_MS)
#define UPSTREAM_COUNT 4
#define QUEUED_MIN 3
#define REQUEST_COUNT 60

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    DispatchAction action; /* the last one, except for probes */
    Job *sent[REQUEST_COUNT];
    char sent_to[REQUEST_COUNT][8];
    bool ended[REQUEST_COUNT];
    unsigned sends;
    unsigned responses;
    unsigned probes;
} Fixture;

static void
add_upstream(Fixture *f, const char *id, const char *domain)
{
    UpstreamEntry entry = GatewayFixture_Upstream(id, 80, SLOT_COUNT);

    entry.domain = Str_FromC(domain);
    Dispatcher_PutUpstream(f->dispatcher, &entry);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 1,
        .retry_extra = 100,
        .outage_grace = MICROS_PER_S,
    };
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    add_upstream(f, "a1", "a");
    add_upstream(f, "a2", "a");
    add_upstream(f, "b1", "b");
    add_upstream(f, "b2", "b");
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Dispatcher_Destroy(f->dispatcher);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static LoadReport
report_of(const Fixture *f, Str upstream)
{
    LoadReport report = {.slots = SLOT_COUNT, .slowdown_percent = 100};

    for (unsigned i = 0; i < f->sends; i++) {
        report.inflight +=
            !f->ended[i] && Str_Equal(upstream, Str_FromC(f->sent_to[i]));
    }
    return report;
}

static void
answer_probe(Fixture *f, const DispatchAction *action)
{
    LoadReport report = report_of(f, action->probe.instance);

    f->probes++;
    Dispatcher_OnProbeResult(f->dispatcher, action->probe.upstream,
                             PROBE_ANSWERED, &report);
}

static void
take_actions(Fixture *f)
{
    DispatchAction action;

    while (Dispatcher_NextAction(f->dispatcher, &action)) {
        if (action.kind == DISPATCH_PROBE) {
            answer_probe(f, &action);
            continue;
        }
        if (action.kind == DISPATCH_SEND) {
            f->sent[f->sends] = action.job;
            g_snprintf(f->sent_to[f->sends], sizeof(f->sent_to[0]), STR_FORMAT,
                       STR_ARGS(action.send.instance));
            f->sends++;
        }
        f->responses += action.kind == DISPATCH_RESPOND;
        f->action = action;
    }
}

static void
submit(Fixture *f, bool forwarded)
{
    JobInfo info = {
        .id = STR("r"),
        .method = STR("GET"),
        .host = GATEWAY_FIXTURE_HOST,
        .path = STR("/safe/x"),
        .timeout = TIMEOUT_US,
        .forwarded = forwarded,
        .attempts_max = forwarded ? 2 : 0,
    };

    Dispatcher_Submit(f->dispatcher, &info, NULL);
    take_actions(f);
}

static void
end_attempt(Fixture *f, unsigned i, AttemptResult result, int status)
{
    AttemptEndInfo info = {.result = result, .status = status};
    LoadReport report;

    f->ended[i] = true;
    report = report_of(f, Str_FromC(f->sent_to[i]));
    info.report = &report;
    GatewayFixture_EndAttempt(f->dispatcher, f->sent[i], &info);
    take_actions(f);
}

static void
evacuate(Fixture *f, const char *domain, bool evacuated)
{
    Dispatcher_SetEvacuated(f->dispatcher, Str_FromC(domain), evacuated);
    take_actions(f);
}

static void
assert_sent_to(const Fixture *f, unsigned first, char domain)
{
    g_assert_cmpuint(f->sends, >, first);
    for (unsigned i = first; i < f->sends; i++) {
        g_assert_cmpint(f->sent_to[i][0], ==, domain);
    }
}

static void
test_first_attempts(Fixture *f, gconstpointer data)
{
    evacuate(f, "a", true);
    for (int i = 0; i < 6; i++) {
        submit(f, i % 2 == 1);
    }
    assert_sent_to(f, 0, 'b');
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_EVACUATED), ==, 2);
}

/* An upstream that the host learns of later is in the domain, too. */
static void
test_added_later(Fixture *f, gconstpointer data)
{
    evacuate(f, "a", true);
    add_upstream(f, "a3", "a");
    for (int i = 0; i < 6; i++) {
        submit(f, false);
    }
    assert_sent_to(f, 0, 'b');
    evacuate(f, "a", false);
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_EVACUATED), ==, 0);
}

/* Requests in progress end normally; a retry goes to another domain. */
static void
test_retry(Fixture *f, gconstpointer data)
{
    submit(f, false);
    submit(f, false);
    g_assert_cmpuint(f->sends, ==, 2);
    g_assert_cmpint(f->sent_to[0][0], ==, 'a');
    evacuate(f, "a", true);
    g_assert_cmpuint(f->responses, ==, 0);
    end_attempt(f, 0, ATTEMPT_RESULT_NOT_RUN, 503);
    assert_sent_to(f, 2, 'b');
    end_attempt(f, 1, ATTEMPT_RESULT_RESPONSE, 200);
    g_assert_cmpuint(f->responses, ==, 0);
}

/* Fills all upstreams, and queues some requests more. */
static void
fill(Fixture *f)
{
    for (unsigned i = 0; i < UPSTREAM_COUNT * SLOT_COUNT + QUEUED_MIN; i++) {
        submit(f, false);
    }
    g_assert_cmpuint(f->responses, ==, 0);
    g_assert_cmpuint(f->sends, <=, UPSTREAM_COUNT * SLOT_COUNT);
}

static void
test_queued(Fixture *f, gconstpointer data)
{
    unsigned sends;

    fill(f);
    sends = f->sends;
    evacuate(f, "a", true);
    for (unsigned i = 0; i < sends; i++) {
        end_attempt(f, i, ATTEMPT_RESULT_RESPONSE, 200);
    }
    assert_sent_to(f, sends, 'b');
}

/* What cannot be served any more is refused at once, not at its deadline. */
static void
test_all_evacuated(Fixture *f, gconstpointer data)
{
    unsigned sends, queued;

    fill(f);
    sends = f->sends;
    queued = UPSTREAM_COUNT * SLOT_COUNT + QUEUED_MIN - sends;
    evacuate(f, "a", true);
    evacuate(f, "b", true);
    g_assert_cmpuint(f->responses, ==, queued);
    g_assert_cmpuint(f->sends, ==, sends);
    submit(f, false);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->action.respond.reason, ==, "evacuated");
    g_assert_cmpint(f->action.respond.retry_after, >, 0);
    g_assert_cmpuint(f->sends, ==, sends);
    evacuate(f, "b", false);
    end_attempt(f, sends - 1, ATTEMPT_RESULT_RESPONSE, 200);
    submit(f, false);
    assert_sent_to(f, sends, 'b');
}

/* A snapshot has the domains that are still evacuated. */
static void
test_snapshot(Fixture *f, gconstpointer data)
{
    GHashTable *domains =
        g_hash_table_new((GHashFunc)g_string_hash, (GEqualFunc)g_string_equal);
    GString *listed = g_string_new("b");

    evacuate(f, "a", true);
    evacuate(f, "b", true);
    g_hash_table_add(domains, listed);
    Dispatcher_RetainEvacuated(f->dispatcher, domains);
    take_actions(f);
    g_assert_cmpuint(Dispatcher_EvacuatedCount(f->dispatcher), ==, 1);
    for (int i = 0; i < 6; i++) {
        submit(f, false);
    }
    assert_sent_to(f, 0, 'a');
    g_hash_table_destroy(domains);
    g_string_free(listed, TRUE);
}

static void
add_test(const char *path, void (*test)(Fixture *, gconstpointer))
{
    g_test_add(path, Fixture, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_test("/evacuation/first-attempts", test_first_attempts);
    add_test("/evacuation/added-later", test_added_later);
    add_test("/evacuation/retry", test_retry);
    add_test("/evacuation/queued", test_queued);
    add_test("/evacuation/all-evacuated", test_all_evacuated);
    add_test("/evacuation/snapshot", test_snapshot);
    return g_test_run();
}
