#include <glib.h>

#include "ScriptedGateway.h"

#define RESPONSE                                                              \
    "HTTP/1.1 200 OK\r\n" SCRIPTED_ID_FIELD SCRIPTED_SIGNATURE_FIELD          \
        SCRIPTED_RESULT_BODY
#define FULL "HTTP/1.1 503 Full\r\n"
#define MOVED "HTTP/1.1 421 Moved\r\n"

/* The request runs; a refusal of another one that breaks off precedes its
 * response. */
static const ScriptedReply in_statement[] = {
    {.response = FULL "agatecrank-not-executed: " RESPONSE},
};
static const ScriptedReply after_statement[] = {
    {.response = FULL SCRIPTED_NOT_RUN_FIELD "retry-after: 0." RESPONSE},
};
static const ScriptedReply between_fields[] = {
    {.response = FULL SCRIPTED_NOT_RUN_FIELD RESPONSE},
};
static const ScriptedReply move[] = {
    {.response = MOVED SCRIPTED_NOT_RUN_FIELD "retry-after: 0." RESPONSE},
};
static const ScriptedReply in_start_line[] = {
    {.response = "HTTP/1.1 404 No" RESPONSE},
};
static const ScriptedReply in_start_line_full[] = {
    {.response = "HTTP/1.1 503 Fu" RESPONSE},
};

typedef struct Case_ {
    const char *name;
    const ScriptedReply *replies;
} Case;

static const Case cases[] = {
    {"/cut-refusal/in-statement", in_statement},
    {"/cut-refusal/after-statement", after_statement},
    {"/cut-refusal/between-fields", between_fields},
    {"/cut-refusal/move", move},
    {"/cut-refusal/in-start-line/no-route", in_start_line},
    {"/cut-refusal/in-start-line/full", in_start_line_full},
};

/* Guards against a refusal that breaks off and is believed beside the id of the
 * response that follows it. */
static void
test_cut_refusal(gconstpointer data)
{
    const Case *c = data;
    ScriptedGateway *gateway = ScriptedGateway_Create(c->replies, 1);

    ScriptedGateway_List(gateway, "u", 1);
    ScriptedGateway_List(gateway, "v", 1);
    g_assert_cmpint(ScriptedGateway_Call(gateway, "/once/1"), ==, 502);
    g_assert_cmpuint(ScriptedGateway_Requests(gateway), ==, 1);
    ScriptedGateway_Destroy(gateway);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_add_data_func(cases[i].name, &cases[i], test_cut_refusal);
    }
    return g_test_run();
}
