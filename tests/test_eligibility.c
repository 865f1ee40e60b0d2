#include <glib.h>

#include "Eligibility.h"
#include "NoticeReader.h"
#include "PlatformDialect.h"

#define UPSTREAM 3
#define OTHER_INDEX 4
#define INSTANCE 77
#define NEXT_INSTANCE 78

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    UpstreamLimits *limits;
    Eligibility *eligibility;
    NoticeReader *reader;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(1);
    f->counters = Counters_Create(100);
    f->limits = UpstreamLimits_Create(STR("host-0"), f->clock, f->random);
    f->eligibility = Eligibility_Create(f->limits, f->clock);
    f->reader =
        NoticeReader_Create(&PLATFORM_DIALECT, f->clock, NULL, f->counters);
    Eligibility_OnListed(f->eligibility, UPSTREAM, INSTANCE);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    NoticeReader_Destroy(f->reader);
    Eligibility_Destroy(f->eligibility);
    UpstreamLimits_Destroy(f->limits);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
assert_reason(const Fixture *f, uint32_t upstream, EligibilityReason reason)
{
    g_assert_cmpstr(
        Eligibility_ReasonName(Eligibility_Reason(f->eligibility, upstream)),
        ==, Eligibility_ReasonName(reason));
}

/* Guards against a description that is believed over a response. */
static void
test_description(Fixture *f, gconstpointer data)
{
    g_assert_true(
        Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock)));
    g_assert_false(
        Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock)));
    Eligibility_SetDraining(f->eligibility, UPSTREAM, false);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    g_assert_true(Eligibility_IsEnding(f->eligibility, UPSTREAM));
    g_assert_false(Eligibility_MayProbe(f->eligibility, UPSTREAM));
    g_assert_cmpint(Eligibility_Wait(f->eligibility, UPSTREAM), ==, -1);
    g_assert_cmpuint(Eligibility_Count(f->eligibility, ELIGIBILITY_LEAVING),
                     ==, 1);
}

/* Guards against an upstream that is used again because its entry lapsed and
 * returned under another index. */
static void
test_relisted(Fixture *f, gconstpointer data)
{
    Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    Clock_Advance(f->clock, 60 * MICROS_PER_S);
    Eligibility_OnListed(f->eligibility, OTHER_INDEX, INSTANCE);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_LEAVING);
}

/* Guards against a response that is forgotten because the entry lapsed before
 * it arrived. */
static void
test_response_while_lapsed(Fixture *f, gconstpointer data)
{
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    Eligibility_OnListed(f->eligibility, UPSTREAM, INSTANCE);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
}

/* Guards against a new incarnation that is taken for the one that left. */
static void
test_new_incarnation(Fixture *f, gconstpointer data)
{
    Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    Eligibility_OnListed(f->eligibility, UPSTREAM, NEXT_INSTANCE);
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
}

/* Guards against memory that grows with each incarnation that leaves. */
static void
test_many_incarnations(Fixture *f, gconstpointer data)
{
    for (uint32_t i = 1; i < 20000; i++) {
        Eligibility_OnListed(f->eligibility, UPSTREAM, i);
        Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
        Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    }
    Eligibility_OnListed(f->eligibility, UPSTREAM, 19999);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    Eligibility_OnListed(f->eligibility, UPSTREAM, 1);
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
}

/* Guards against a pause that a later, shorter one ends, and against probes
 * while it lasts. */
static void
test_pause(Fixture *f, gconstpointer data)
{
    g_assert_true(Eligibility_Pause(f->eligibility, UPSTREAM, 5 * MICROS_PER_S,
                                    Clock_Now(f->clock)));
    g_assert_false(Eligibility_Pause(f->eligibility, UPSTREAM, MICROS_PER_S,
                                     Clock_Now(f->clock)));
    assert_reason(f, UPSTREAM, ELIGIBILITY_PAUSED);
    g_assert_cmpint(Eligibility_Wait(f->eligibility, UPSTREAM), ==,
                    5 * MICROS_PER_S);
    g_assert_false(Eligibility_MayProbe(f->eligibility, UPSTREAM));
    Clock_Advance(f->clock, 5 * MICROS_PER_S - 1);
    assert_reason(f, UPSTREAM, ELIGIBILITY_PAUSED);
    Clock_Advance(f->clock, 1);
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
    g_assert_false(Eligibility_IsPaused(f->eligibility, UPSTREAM));
}

/* Guards against a pause without an end, and against one that is forgotten
 * because the entry lapsed. */
static void
test_pause_bounds(Fixture *f, gconstpointer data)
{
    g_assert_false(
        Eligibility_Pause(f->eligibility, UPSTREAM, -1, Clock_Now(f->clock)));
    g_assert_false(
        Eligibility_Pause(f->eligibility, UPSTREAM, 0, Clock_Now(f->clock)));
    Eligibility_Pause(f->eligibility, UPSTREAM, G_MAXINT64,
                      Clock_Now(f->clock));
    g_assert_cmpint(Eligibility_Wait(f->eligibility, UPSTREAM), ==,
                    UPSTREAM_PAUSE_MAX);
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    Eligibility_OnListed(f->eligibility, OTHER_INDEX, INSTANCE);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_PAUSED);
    Eligibility_OnListed(f->eligibility, UPSTREAM, NEXT_INSTANCE);
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
}

static Micros
inherited_wait(const Fixture *f, uint32_t instance, Micros since)
{
    Eligibility_OnListed(f->eligibility, OTHER_INDEX, instance);
    Eligibility_Inherit(f->eligibility, OTHER_INDEX, INSTANCE, since);
    return Eligibility_Wait(f->eligibility, OTHER_INDEX);
}

/* Guards against a new incarnation that is held to a longer pause which the one
 * before asked for, and against memory that grows with each pause. */
static void
test_inherited_pauses(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    for (int i = 0; i < 20; i++) {
        Eligibility_Pause(f->eligibility, UPSTREAM, (100 - i) * MICROS_PER_S,
                          sent + i * MICROS_PER_MS);
    }
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    g_assert_cmpint(inherited_wait(f, 80, sent), ==, 100 * MICROS_PER_S);
    g_assert_cmpint(inherited_wait(f, 81, sent + 19 * MICROS_PER_MS), ==,
                    81 * MICROS_PER_S);
    g_assert_cmpint(inherited_wait(f, 82, sent + 20 * MICROS_PER_MS), ==, 0);
    /* One that is sent later and ends later makes all others needless. */
    Eligibility_OnListed(f->eligibility, UPSTREAM, INSTANCE);
    Eligibility_Pause(f->eligibility, UPSTREAM, 110 * MICROS_PER_S,
                      sent + 30 * MICROS_PER_MS);
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    g_assert_cmpint(inherited_wait(f, 83, sent), ==, 110 * MICROS_PER_S);
    g_assert_cmpint(inherited_wait(f, 84, sent + 30 * MICROS_PER_MS), ==,
                    110 * MICROS_PER_S);
}

/* Guards against an upstream that a host with a fast clock and without probes
 * never uses again. */
static void
test_unconfirmed_leaving(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    Eligibility_SetLeaving(f->eligibility, UPSTREAM, sent);
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    inherited_wait(f, NEXT_INSTANCE, sent);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_LEAVING);
    g_assert_true(Eligibility_MayProbe(f->eligibility, OTHER_INDEX));
    Clock_Advance(f->clock, 60 * MICROS_PER_S);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_OK);
    Eligibility_SetLeaving(f->eligibility, OTHER_INDEX, Clock_Now(f->clock));
    Eligibility_OnNotLeaving(f->eligibility, OTHER_INDEX, Clock_Now(f->clock));
    Clock_Advance(f->clock, 60 * MICROS_PER_S);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_LEAVING);
    g_assert_false(Eligibility_MayProbe(f->eligibility, OTHER_INDEX));
}

/* Guards against a notice over a peer that is forgotten because the entry of its
 * upstream has not been read, or that ends a pause. */
static void
test_peer_notice(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    Eligibility_Pause(f->eligibility, UPSTREAM, 9 * MICROS_PER_S, sent);
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    g_assert_true(Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent));
    g_assert_false(Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent));
    Eligibility_OnListed(f->eligibility, UPSTREAM, INSTANCE);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    g_assert_true(Eligibility_IsPaused(f->eligibility, UPSTREAM));
    Eligibility_OnListed(f->eligibility, OTHER_INDEX, NEXT_INSTANCE);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_OK);
    g_assert_true(
        Eligibility_OnPeerNotice(f->eligibility, NEXT_INSTANCE, sent));
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_LEAVING);
}

/* Guards against a healthy upstream that the word of a faulty peer takes out of
 * use, and against one that leaves and gets requests again because of a probe
 * from before that word. */
static void
test_peer_notice_refuted(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    Clock_Advance(f->clock, 10 * MICROS_PER_MS);
    g_assert_true(Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent));
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    g_assert_true(Eligibility_MayProbe(f->eligibility, UPSTREAM));
    Eligibility_OnNotLeaving(f->eligibility, UPSTREAM, sent);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    Clock_Advance(f->clock, 10 * MICROS_PER_MS);
    Eligibility_OnNotLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
    /* Without any response it lapses. */
    Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent);
    Clock_Advance(f->clock, 59 * MICROS_PER_S);
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
    Clock_Advance(f->clock, 1 * MICROS_PER_S);
    assert_reason(f, UPSTREAM, ELIGIBILITY_OK);
}

/* Guards against an upstream that gets requests again 60 s after it has
 * confirmed what a peer has told, or after a peer has repeated what it has said
 * itself. */
static void
test_peer_notice_confirmed(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent);
    Eligibility_SetLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    Eligibility_OnPeerNotice(f->eligibility, INSTANCE, sent);
    g_assert_false(Eligibility_MayProbe(f->eligibility, UPSTREAM));
    Clock_Advance(f->clock, 61 * MICROS_PER_S);
    Eligibility_OnNotLeaving(f->eligibility, UPSTREAM, Clock_Now(f->clock));
    assert_reason(f, UPSTREAM, ELIGIBILITY_LEAVING);
}

/* Guards against what an upstream has inherited, and a peer tells of it before
 * it is listed, that lapses too early. */
static void
test_peer_notice_renews(Fixture *f, gconstpointer data)
{
    Micros sent = Clock_Now(f->clock);

    Eligibility_SetLeaving(f->eligibility, UPSTREAM, sent);
    Eligibility_OnRemoved(f->eligibility, UPSTREAM);
    inherited_wait(f, NEXT_INSTANCE, sent);
    Eligibility_OnRemoved(f->eligibility, OTHER_INDEX);
    Clock_Advance(f->clock, 30 * MICROS_PER_S);
    Eligibility_OnPeerNotice(f->eligibility, NEXT_INSTANCE, sent);
    Clock_Advance(f->clock, 59 * MICROS_PER_S);
    Eligibility_OnListed(f->eligibility, OTHER_INDEX, NEXT_INSTANCE);
    assert_reason(f, OTHER_INDEX, ELIGIBILITY_LEAVING);
    g_assert_true(Eligibility_MayProbe(f->eligibility, OTHER_INDEX));
}

static UpstreamNotice
read_field(const Fixture *f, int status, const char *name, const char *first,
           const char *second)
{
    HeaderList *headers = HeaderList_Create();
    UpstreamNotice notice;

    HeaderList_Add(headers, Str_FromC(name), Str_FromC(first));
    if (second != NULL) {
        HeaderList_Add(headers, Str_FromC(name), Str_FromC(second));
    }
    notice = NoticeReader_Read(f->reader, status, headers);
    HeaderList_Destroy(headers);
    return notice;
}

/* Guards against malformed fields that take upstreams out of use. */
static void
test_leaving_values(Fixture *f, gconstpointer data)
{
    static const char *const malformed[] = {"",     "0",  "01",  "1, 1", "-1",
                                            "true", "1;", "1 1", "11"};

    g_assert_true(read_field(f, 200, "Server-Leaving", " 1\t", NULL).leaving);
    g_assert_true(read_field(f, 503, "server-leaving", "1", NULL).leaving);
    g_assert_false(read_field(f, 200, "server-leaving", "1", "1").leaving);
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        g_assert_false(
            read_field(f, 200, "server-leaving", malformed[i], NULL).leaving);
    }
}

/* Guards against dates and numbers out of range that are taken for a pause, and
 * against a pause in a response that turned nothing away. */
static void
test_pause_values(Fixture *f, gconstpointer data)
{
    static const struct {
        const char *text;
        Micros pause;
    } cases[] = {
        {"3", 3 * MICROS_PER_S},
        {" 0.25 ", 250 * MICROS_PER_MS},
        {"0", 0},
        {"0.0000001", 1},
        {"120", UPSTREAM_PAUSE_MAX},
        {"121", UPSTREAM_PAUSE_MAX},
        {"9999999999999999999999999999999", UPSTREAM_PAUSE_MAX},
        {"99999999999999999999999999999999", 0},
        {"Fri, 04 Dec 2026 10:00:00 GMT", 0},
        {"-3", 0},
        {"+3", 0},
        {"inf", 0},
        {"nan", 0},
        {"1e3", 0},
        {"2, 5", 0},
        {"1.2.3", 0},
        {".", 0},
        {"", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(
            read_field(f, 503, "Retry-After", cases[i].text, NULL).pause, ==,
            cases[i].pause);
    }
    g_assert_cmpint(read_field(f, 503, "retry-after", "2", "3").pause, ==, 0);
    g_assert_cmpint(read_field(f, 429, "retry-after", "2", NULL).pause, ==, 0);
    g_assert_cmpint(read_field(f, 200, "retry-after", "2", NULL).pause, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, function)                                                   \
    g_test_add("/eligibility/" name, Fixture, NULL, set_up, function,         \
               tear_down)
    ADD("description", test_description);
    ADD("relisted", test_relisted);
    ADD("response-while-lapsed", test_response_while_lapsed);
    ADD("new-incarnation", test_new_incarnation);
    ADD("many-incarnations", test_many_incarnations);
    ADD("leaving-values", test_leaving_values);
    ADD("pause", test_pause);
    ADD("pause-bounds", test_pause_bounds);
    ADD("inherited-pauses", test_inherited_pauses);
    ADD("unconfirmed-leaving", test_unconfirmed_leaving);
    ADD("peer-notice", test_peer_notice);
    ADD("peer-notice-refuted", test_peer_notice_refuted);
    ADD("peer-notice-confirmed", test_peer_notice_confirmed);
    ADD("peer-notice-renews", test_peer_notice_renews);
    ADD("pause-values", test_pause_values);
#undef ADD
    return g_test_run();
}
