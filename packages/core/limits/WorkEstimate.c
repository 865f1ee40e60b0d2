#include "WorkEstimate.h"

#define SAMPLES_MIN 8
/* Weight of one sample in the moving average, once there are enough. */
#define EWMA_WEIGHT 0.05
/* A sample counts as this multiple of the average at most. */
#define SAMPLE_FACTOR_MAX 3.0
/* Kinds beyond this number are not learnt. */
#define KINDS_MAX 4096

typedef struct Kind_ {
    double mean;
    uint32_t samples;
} Kind;

struct WorkEstimate_ {
    GHashTable *kinds; /* Kind by GString */
};

WorkEstimate *
WorkEstimate_Create(void)
{
    WorkEstimate *this = g_new0(WorkEstimate, 1);

    this->kinds = g_hash_table_new_full((GHashFunc)g_string_hash,
                                        (GEqualFunc)g_string_equal,
                                        Str_FreeString, g_free);
    return this;
}

void
WorkEstimate_Destroy(WorkEstimate *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->kinds);
        g_free(this);
    }
}

static Kind *
find_kind(const WorkEstimate *this, Str name)
{
    GString *key = Str_ToString(name);
    Kind *kind = g_hash_table_lookup(this->kinds, key);

    g_string_free(key, TRUE);
    return kind;
}

void
WorkEstimate_Learn(WorkEstimate *this, Str name, Micros time)
{
    Kind *kind = find_kind(this, name);
    double sample = (double)MAX(time, 1);
    double weight;

    if (kind == NULL) {
        if (g_hash_table_size(this->kinds) >= KINDS_MAX) {
            return;
        }
        kind = g_new0(Kind, 1);
        kind->mean = sample;
        g_hash_table_insert(this->kinds, Str_ToString(name), kind);
    }
    kind->samples++;
    weight = MAX(1.0 / kind->samples, EWMA_WEIGHT);
    sample = MIN(sample, SAMPLE_FACTOR_MAX * kind->mean);
    kind->mean += weight * (sample - kind->mean);
}

Micros
WorkEstimate_Expected(const WorkEstimate *this, Str name)
{
    const Kind *kind = find_kind(this, name);

    return kind != NULL && kind->samples >= SAMPLES_MIN ? (Micros)kind->mean
                                                        : 0;
}
