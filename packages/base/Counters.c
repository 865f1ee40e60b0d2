#include "Counters.h"

#include <string.h>

#define DROPPED_METRIC "agatecrank_series_dropped_total"

typedef enum SeriesKind_ {
    SERIES_COUNTER,
    SERIES_GAUGE,
    SERIES_HISTOGRAM,
} SeriesKind;

typedef struct Series_ {
    SeriesKind kind;
    char *name;
    char *labels; /* label pairs as in the output: a="b",c="d" */
    union {
        uint64_t count;
        double gauge;
        Histogram *histogram;
    };
} Series;

struct Counters_ {
    GHashTable *series; /* by the key that build_key() writes */
    GString *key;       /* reused buffer */
    size_t max_series;
    uint64_t dropped; /* samples for series beyond max_series */
};

static void
destroy_series(gpointer data)
{
    Series *series = data;

    if (series->kind == SERIES_HISTOGRAM) {
        Histogram_Destroy(series->histogram);
    }
    g_free(series->name);
    g_free(series->labels);
    g_free(series);
}

Counters *
Counters_Create(size_t max_series)
{
    Counters *this = g_new0(Counters, 1);

    this->max_series = max_series;
    this->key = g_string_new(NULL);
    this->series =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_series);
    return this;
}

void
Counters_Destroy(Counters *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->series);
    g_string_free(this->key, TRUE);
    g_free(this);
}

static void
append_escaped(GString *out, Str value)
{
    for (size_t i = 0; i < value.length; i++) {
        char c = value.data[i];

        if (c == '\\' || c == '"') {
            g_string_append_c(out, '\\');
            g_string_append_c(out, c);
        }
        else if (c == '\n') {
            g_string_append(out, "\\n");
        }
        else {
            g_string_append_c(out, c);
        }
    }
}

/* Writes "name{labels" to this->key. Returns the offset of the labels. */
static size_t
build_key(Counters *this, const char *name, const CounterLabel *labels,
          size_t count)
{
    size_t labels_start;

    g_string_assign(this->key, name);
    g_string_append_c(this->key, '{');
    labels_start = this->key->len;
    for (size_t i = 0; i < count; i++) {
        g_string_append_printf(this->key, "%s%s=\"", i > 0 ? "," : "",
                               labels[i].key);
        append_escaped(this->key, labels[i].value);
        g_string_append_c(this->key, '"');
    }
    return labels_start;
}

/* Returns NULL if the series is of another kind or the registry is full. */
static Series *
find_or_add_series(Counters *this, SeriesKind kind, const char *name,
                   const CounterLabel *labels, size_t count)
{
    size_t labels_start = build_key(this, name, labels, count);
    Series *series = g_hash_table_lookup(this->series, this->key->str);

    if (series != NULL) {
        return series->kind == kind ? series : NULL;
    }
    if (g_hash_table_size(this->series) >= this->max_series) {
        this->dropped++;
        return NULL;
    }
    series = g_new0(Series, 1);
    series->kind = kind;
    series->name = g_strdup(name);
    series->labels = g_strdup(this->key->str + labels_start);
    if (kind == SERIES_HISTOGRAM) {
        series->histogram = Histogram_Create();
    }
    g_hash_table_insert(this->series, g_strdup(this->key->str), series);
    return series;
}

void
Counters_Add(Counters *this, const char *name, const CounterLabel *labels,
             size_t count, uint64_t amount)
{
    Series *series =
        find_or_add_series(this, SERIES_COUNTER, name, labels, count);

    if (series != NULL) {
        series->count += amount;
    }
}

void
Counters_Set(Counters *this, const char *name, const CounterLabel *labels,
             size_t count, double value)
{
    Series *series =
        find_or_add_series(this, SERIES_GAUGE, name, labels, count);

    if (series != NULL) {
        series->gauge = value;
    }
}

void
Counters_Observe(Counters *this, const char *name, const CounterLabel *labels,
                 size_t count, Micros sample)
{
    Series *series =
        find_or_add_series(this, SERIES_HISTOGRAM, name, labels, count);

    if (series != NULL) {
        Histogram_Add(series->histogram, sample);
    }
}

static void
write_histogram(const Series *series, GString *out)
{
    static const Micros bounds[] = {500,     1000,    2000,    5000,    10000,
                                    20000,   50000,   100000,  200000,  500000,
                                    1000000, 2000000, 5000000, 10000000};
    const char *comma = series->labels[0] != '\0' ? "," : "";
    uint64_t count = Histogram_Count(series->histogram);

    for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
        g_string_append_printf(
            out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
            series->name, series->labels, comma, (double)bounds[i] / 1e6,
            Histogram_CountUpTo(series->histogram, bounds[i]));
    }
    g_string_append_printf(
        out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
        series->name, series->labels, comma, count);
    g_string_append_printf(out, "%s_sum{%s} %.6f\n", series->name,
                           series->labels,
                           (double)Histogram_Sum(series->histogram) / 1e6);
    g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
                           series->name, series->labels, count);
}

static void
write_series(const Series *series, GString *out)
{
    switch (series->kind) {
    case SERIES_COUNTER:
        g_string_append_printf(out, "%s{%s} %" G_GUINT64_FORMAT "\n",
                               series->name, series->labels, series->count);
        return;
    case SERIES_GAUGE:
        g_string_append_printf(out, "%s{%s} %.9g\n", series->name,
                               series->labels, series->gauge);
        return;
    case SERIES_HISTOGRAM:
        write_histogram(series, out);
        return;
    }
}

static const char *
kind_name(SeriesKind kind)
{
    switch (kind) {
    case SERIES_COUNTER:
        return "counter";
    case SERIES_GAUGE:
        return "gauge";
    case SERIES_HISTOGRAM:
        return "histogram";
    }
    return "untyped";
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

void
Counters_Write(const Counters *this, GString *out)
{
    GList *keys =
        g_list_sort(g_hash_table_get_keys(this->series), compare_keys);
    const char *previous_name = "";

    for (GList *i = keys; i != NULL; i = i->next) {
        const Series *series = g_hash_table_lookup(this->series, i->data);

        if (strcmp(previous_name, series->name) != 0) {
            previous_name = series->name;
            g_string_append_printf(out, "# TYPE %s %s\n", previous_name,
                                   kind_name(series->kind));
        }
        write_series(series, out);
    }
    g_list_free(keys);
    g_string_append_printf(out,
                           "# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                           DROPPED_METRIC, DROPPED_METRIC, this->dropped);
}
