#include <glib.h>

#include "Exchange.h"

/**
 * struct ExchangeCase_ - events of a request and the expected outcome
 * @name: expected behaviour, printed before the case
 * @ends: ends of the attempts; each but the last is followed by a retry
 * @count: number of attempts
 * @relayed: status of the response whose header fields were sent to the
 *           caller before the last end; 0 if none
 * @step: expected step after the last end
 * @outcome: expected outcome
 */
typedef struct ExchangeCase_ {
    const char *name;
    AttemptEnd ends[4];
    size_t count;
    int relayed;
    ExchangeStep step;
    Outcome outcome;
} ExchangeCase;

static const ExchangeCase cases[] = {
    {"a request that was never sent is not-run",
     {0},
     0,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_NOT_RUN},
    {"a refused connection is not-run",
     {ATTEMPT_END_UNSENT},
     1,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_NOT_RUN},
    {"a refusal with proof is not-run",
     {ATTEMPT_END_REFUSED},
     1,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_NOT_RUN},
    {"a connection that closes after bytes were sent is unknown",
     {ATTEMPT_END_CONNECTION_CLOSED},
     1,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_UNKNOWN},
    {"a deadline after bytes were sent is unknown",
     {ATTEMPT_END_DEADLINE},
     1,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_UNKNOWN},
    {"a refusal with proof does not clear an earlier unknown attempt",
     {ATTEMPT_END_CONNECTION_CLOSED, ATTEMPT_END_REFUSED},
     2,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_UNKNOWN},
    {"an unsent attempt does not clear an earlier unknown attempt",
     {ATTEMPT_END_DEADLINE, ATTEMPT_END_UNSENT},
     2,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_UNKNOWN},
    {"two refusals with proof are not-run",
     {ATTEMPT_END_REFUSED, ATTEMPT_END_REFUSED},
     2,
     0,
     EXCHANGE_STEP_ANSWER,
     OUTCOME_NOT_RUN},
    {"a complete response is ran",
     {ATTEMPT_END_COMPLETE},
     1,
     200,
     EXCHANGE_STEP_FINISH,
     OUTCOME_RAN},
    {"an upstream's own error is ran",
     {ATTEMPT_END_COMPLETE},
     1,
     500,
     EXCHANGE_STEP_FINISH,
     OUTCOME_RAN},
    {"a 503 without proof is unknown",
     {ATTEMPT_END_COMPLETE},
     1,
     503,
     EXCHANGE_STEP_FINISH,
     OUTCOME_UNKNOWN},
    {"a truncated response is aborted, not finished",
     {ATTEMPT_END_CONNECTION_CLOSED},
     1,
     200,
     EXCHANGE_STEP_ABORT,
     OUTCOME_RAN},
    {"a response of the wrong length is aborted",
     {ATTEMPT_END_FRAMING},
     1,
     200,
     EXCHANGE_STEP_ABORT,
     OUTCOME_RAN},
    {"no response is sent after the caller has disconnected",
     {ATTEMPT_END_CANCELLED},
     1,
     0,
     EXCHANGE_STEP_DROP,
     OUTCOME_UNKNOWN},
};

static void
test_outcomes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const ExchangeCase *c = &cases[i];
        Exchange *exchange = Exchange_Create();

        g_test_message("%s", c->name);
        for (size_t a = 0; a < c->count; a++) {
            Exchange_OnDispatched(exchange);
            g_assert_true(Exchange_MayHaveRun(exchange));
            if (a + 1 < c->count) {
                Exchange_OnRetried(exchange, c->ends[a]);
                continue;
            }
            if (c->relayed != 0) {
                Exchange_OnRelayed(exchange, c->relayed);
            }
            g_assert_cmpint(Exchange_OnAttemptEnd(exchange, c->ends[a]), ==,
                            c->step);
        }
        g_assert_cmpint(Exchange_Outcome(exchange), ==, c->outcome);
        g_assert_cmpuint(Exchange_Attempts(exchange), ==, c->count);
        Exchange_Destroy(exchange);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/core/exchange/outcomes", test_outcomes);
    return g_test_run();
}
