#include <glib.h>

#include "ScriptedGateway.h"

#define FULL                                                                  \
    "HTTP/1.1 503 Full\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_ID_FIELD          \
        SCRIPTED_NO_BODY
#define MOVED                                                                 \
    "HTTP/1.1 421 Moved\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_ID_FIELD         \
        SCRIPTED_NO_BODY
#define FULL_WITHOUT_ID                                                       \
    "HTTP/1.1 503 Full\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_NO_BODY
#define MOVED_WITHOUT_ID                                                      \
    "HTTP/1.1 421 Moved\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_NO_BODY
#define RESPONSE_WITHOUT_ID                                                   \
    "HTTP/1.1 200 OK\r\n" SCRIPTED_SIGNATURE_FIELD SCRIPTED_RESULT_BODY
#define RESPONSE                                                              \
    "HTTP/1.1 200 OK\r\n" SCRIPTED_ID_FIELD SCRIPTED_SIGNATURE_FIELD          \
        SCRIPTED_RESULT_BODY

/* The second request runs; a second copy of the first refusal precedes its
 * response on a connection that both use. */
static const ScriptedReply full[] = {
    {.response = FULL, .held = true},
    {.copy = FULL, .response = RESPONSE},
};
static const ScriptedReply moved[] = {
    {.response = MOVED, .held = true},
    {.copy = MOVED, .response = RESPONSE},
};
static const ScriptedReply full_without_id[] = {
    {.response = FULL_WITHOUT_ID},
    {.copy = FULL_WITHOUT_ID, .response = RESPONSE_WITHOUT_ID},
};
static const ScriptedReply moved_without_id[] = {
    {.response = MOVED_WITHOUT_ID},
    {.copy = MOVED_WITHOUT_ID, .response = RESPONSE_WITHOUT_ID},
};

static void
change_nothing(void *user)
{
}

static void
list_again(void *user)
{
    ScriptedGateway_List(user, "u", 2);
}

static void
expire_and_list_again(void *user)
{
    ScriptedGateway_Drop(user, "u");
    ScriptedGateway_List(user, "u", 2);
}

static void
list_successor(void *user)
{
    ScriptedGateway_Drop(user, "u");
    ScriptedGateway_List(user, "v", 2);
}

/* What changes in the roster while upstream "u" has the first request. */
typedef struct Case_ {
    const char *path;
    const ScriptedReply *replies;
    bool listed_twice;
    ScriptedHandler *change;
} Case;

static const Case cases[] = {
    {"/refused/copy-of-earlier-attempt/two-entries/full", full, true,
     change_nothing},
    {"/refused/copy-of-earlier-attempt/two-entries/moved", moved, true,
     change_nothing},
    {"/refused/copy-of-earlier-attempt/restarted/full", full, false,
     list_again},
    {"/refused/copy-of-earlier-attempt/restarted/moved", moved, false,
     list_again},
    {"/refused/copy-of-earlier-attempt/expired/full", full, false,
     expire_and_list_again},
    {"/refused/copy-of-earlier-attempt/successor/full", full, false,
     list_successor},
};

/* Guards against a copy of the refusal of one attempt that is taken for the
 * response to the next one, which runs. */
static void
test_copy_of_earlier_attempt(gconstpointer data)
{
    const Case *c = data;
    ScriptedGateway *gateway = ScriptedGateway_Create(c->replies, 2);
    int status;

    ScriptedGateway_List(gateway, "u", 1);
    if (c->listed_twice) {
        ScriptedGateway_List(gateway, "v", 1);
    }
    ScriptedGateway_OnHeld(gateway, c->change, gateway);
    status = ScriptedGateway_Call(gateway, "/once/1");
    g_assert_cmpuint(ScriptedGateway_Requests(gateway), ==, 2);
    g_assert_cmpint(status, ==, 200);
    g_assert_true(Str_Equal(ScriptedGateway_Body(gateway), STR("result")));
    ScriptedGateway_Destroy(gateway);
}

/* Guards against the same for a request without an id. */
static void
test_copy_without_id(gconstpointer data)
{
    ScriptedGateway *gateway = ScriptedGateway_Create(data, 2);
    int status;

    ScriptedGateway_List(gateway, "u", 1);
    ScriptedGateway_List(gateway, "v", 1);
    status = ScriptedGateway_CallWithoutId(gateway, "/once/1");
    g_assert_cmpuint(ScriptedGateway_Requests(gateway), ==, 2);
    g_assert_cmpint(status, ==, 200);
    g_assert_true(Str_Equal(ScriptedGateway_Body(gateway), STR("result")));
    ScriptedGateway_Destroy(gateway);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_add_data_func(cases[i].path, &cases[i],
                             test_copy_of_earlier_attempt);
    }
    g_test_add_data_func("/refused/copy-without-id/full", full_without_id,
                         test_copy_without_id);
    g_test_add_data_func("/refused/copy-without-id/moved", moved_without_id,
                         test_copy_without_id);
    return g_test_run();
}
