#include "RetryRule.h"

#include <glib.h>

struct RetryRule_ {
    RetryRuleOptions options;
    GHashTable *arrived; /* set of ids */
    GArray *requests;    /* Micros, ascending */
    GArray *retries;     /* Micros, ascending */
};

RetryRule *
RetryRule_Create(const RetryRuleOptions *options)
{
    RetryRule *this = g_new0(RetryRule, 1);

    this->options = *options;
    this->arrived =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    this->requests = g_array_new(FALSE, FALSE, sizeof(Micros));
    this->retries = g_array_new(FALSE, FALSE, sizeof(Micros));
    return this;
}

void
RetryRule_Destroy(RetryRule *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->arrived);
    g_array_free(this->requests, TRUE);
    g_array_free(this->retries, TRUE);
    g_free(this);
}

void
RetryRule_OnRequest(RetryRule *this, Micros now)
{
    g_array_append_val(this->requests, now);
}

void
RetryRule_OnArrival(RetryRule *this, const char *id, Micros now)
{
    if (!g_hash_table_add(this->arrived, g_strdup(id))) {
        g_array_append_val(this->retries, now);
    }
}

/* Returns the number of times before @end. */
static guint
count_before(const GArray *times, Micros end)
{
    guint low = 0, high = times->len;

    while (low < high) {
        guint middle = low + (high - low) / 2;

        if (g_array_index(times, Micros, middle) < end) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static guint
count_in_span(const RetryRule *this, const GArray *times, Micros start)
{
    return count_before(times, start + this->options.window) -
           count_before(times, start);
}

static void
judge_span(const RetryRule *this, Micros start, RetryRuleResult *worst)
{
    Micros window = this->options.window;
    guint retries = count_in_span(this, this->retries, start);
    guint requests = count_in_span(this, this->requests, start);
    double used;

    requests =
        MAX(requests, count_in_span(this, this->requests, start - window / 2));
    requests =
        MAX(requests, count_in_span(this, this->requests, start - window));
    used = retries / (this->options.ratio * requests + this->options.extra);
    if (used > worst->used) {
        worst->start = start;
        worst->retries = retries;
        worst->requests = requests;
        worst->used = used;
    }
}

/* The counts change only where a time enters or leaves one of the spans. */
static void
judge_spans_at(const RetryRule *this, const GArray *times,
               RetryRuleResult *worst)
{
    static const int half_windows[] = {-2, -1, 0, 1, 2};

    for (guint i = 0; i < times->len; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(half_windows); k++) {
            Micros start = g_array_index(times, Micros, i) +
                           half_windows[k] * (this->options.window / 2);

            judge_span(this, start, worst);
            judge_span(this, start + 1, worst);
        }
    }
}

RetryRuleResult
RetryRule_Judge(const RetryRule *this)
{
    RetryRuleResult worst = {.retry_count = this->retries->len};

    judge_spans_at(this, this->requests, &worst);
    judge_spans_at(this, this->retries, &worst);
    return worst;
}
