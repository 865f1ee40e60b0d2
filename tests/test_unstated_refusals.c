#include <glib.h>

#include "ScriptedGateway.h"

#define RESPONSE                                                              \
    "HTTP/1.1 200 OK\r\n" SCRIPTED_ID_FIELD SCRIPTED_SIGNATURE_FIELD          \
        SCRIPTED_RESULT_BODY

static const ScriptedReply unstated_move[] = {
    {.response = "HTTP/1.1 421 Moved\r\n" SCRIPTED_ID_FIELD SCRIPTED_NO_BODY},
    {.response = RESPONSE},
};
static const ScriptedReply stated_move[] = {
    {.response =
         "HTTP/1.1 421 Moved\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_ID_FIELD
             SCRIPTED_NO_BODY},
    {.response = RESPONSE},
};
static const ScriptedReply refusal_with_success[] = {
    {.response = "HTTP/1.1 200 OK\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_ID_FIELD
         SCRIPTED_SIGNATURE_FIELD SCRIPTED_RESULT_BODY},
    {.response = RESPONSE},
};
static const ScriptedReply refusal_with_redirection[] = {
    {.response =
         "HTTP/1.1 303 See Other\r\n" SCRIPTED_NOT_RUN_FIELD SCRIPTED_ID_FIELD
             SCRIPTED_NO_BODY},
    {.response = RESPONSE},
};

typedef struct Case_ {
    const char *name;
    const ScriptedReply *replies;
    const char *path;
    int status;        /* that the caller must get */
    unsigned requests; /* that the upstream must get */
} Case;

static const Case cases[] = {
    {"/unstated/move", unstated_move, "/once/1", 502, 1},
    {"/unstated/success", refusal_with_success, "/once/1", 502, 1},
    {"/unstated/redirection", refusal_with_redirection, "/once/1", 502, 1},
    {"/unstated/idempotent-move", unstated_move, "/safe/1", 200, 2},
    {"/unstated/idempotent-success", refusal_with_success, "/safe/1", 200, 2},
    {"/unstated/stated-move", stated_move, "/once/1", 200, 2},
};

/* Guards against a request that counts as not executed without the upstream's
 * statement, or against its status, and is sent again or refused. */
static void
test_unstated(gconstpointer data)
{
    const Case *c = data;
    ScriptedGateway *gateway = ScriptedGateway_Create(c->replies, 2);

    ScriptedGateway_List(gateway, "u", 1);
    ScriptedGateway_List(gateway, "v", 1);
    g_assert_cmpint(ScriptedGateway_Call(gateway, c->path), ==, c->status);
    g_assert_cmpuint(ScriptedGateway_Requests(gateway), ==, c->requests);
    ScriptedGateway_Destroy(gateway);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_add_data_func(cases[i].name, &cases[i], test_unstated);
    }
    return g_test_run();
}
