#include "UpstreamLimits.h"

#include <glib.h>
#include <math.h>

#define NO_LIMIT (-1.0)
/* Ratio of a limit to the one reported last above which it is reported as
 * changed; a limit may differ slightly in each response. */
#define REPORTED_CHANGE_RATIO 1.25

typedef struct Limit_ {
    double per_s;          /* NO_LIMIT for none */
    double reported_per_s; /* at the last LimitChange */
    bool named_by_probes;  /* a probe has named the limit in force */
} Limit;

struct UpstreamLimits_ {
    const Clock *clock;
    GArray *limits; /* Limit by upstream */
    uint32_t count; /* upstreams with a limit */
};

UpstreamLimits *
UpstreamLimits_Create(const Clock *clock)
{
    UpstreamLimits *this = g_new0(UpstreamLimits, 1);

    this->clock = clock;
    this->limits = g_array_new(FALSE, TRUE, sizeof(Limit));
    return this;
}

void
UpstreamLimits_Destroy(UpstreamLimits *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->limits, TRUE);
    g_free(this);
}

static Limit *
limit_at(UpstreamLimits *this, uint32_t upstream)
{
    while (this->limits->len <= upstream) {
        Limit none = {.per_s = NO_LIMIT};

        g_array_append_val(this->limits, none);
    }
    return &g_array_index(this->limits, Limit, upstream);
}

/* Returns NULL without a limit. */
static const Limit *
find_limit(const UpstreamLimits *this, uint32_t upstream)
{
    const Limit *limit = upstream < this->limits->len
                             ? &g_array_index(this->limits, Limit, upstream)
                             : NULL;

    return limit != NULL && limit->per_s >= 0 ? limit : NULL;
}

static bool
is_valid(double per_s)
{
    return isfinite(per_s) && per_s >= 0 && per_s <= UPSTREAM_LIMIT_MAX_PER_S;
}

static void
end_limit(UpstreamLimits *this, Limit *limit)
{
    *limit = (Limit){.per_s = NO_LIMIT};
    this->count--;
}

static LimitChange
set_limit(UpstreamLimits *this, Limit *limit, double per_s)
{
    bool is_new = limit->per_s < 0;
    double low = MIN(per_s, limit->reported_per_s);
    double high = MAX(per_s, limit->reported_per_s);

    limit->per_s = per_s;
    if (!is_new && high <= REPORTED_CHANGE_RATIO * low) {
        return LIMIT_CHANGE_NONE;
    }
    limit->reported_per_s = per_s;
    this->count += is_new;
    return is_new ? LIMIT_CHANGE_NAMED : LIMIT_CHANGE_UPDATED;
}

LimitChange
UpstreamLimits_OnResponse(UpstreamLimits *this, uint32_t upstream,
                          LimitNotice notice, LimitSource source)
{
    Limit *limit = limit_at(this, upstream);

    switch (notice.kind) {
    case LIMIT_UNKNOWN:
        break;
    case LIMIT_ABSENT:
        if (limit->per_s < 0 ||
            (source == LIMIT_SOURCE_PROBE && !limit->named_by_probes)) {
            break;
        }
        end_limit(this, limit);
        return LIMIT_CHANGE_ENDED;
    case LIMIT_NAMED:
        if (!is_valid(notice.per_s)) {
            break;
        }
        limit->named_by_probes |= source == LIMIT_SOURCE_PROBE;
        return set_limit(this, limit, notice.per_s);
    }
    return LIMIT_CHANGE_NONE;
}

void
UpstreamLimits_Forget(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = limit_at(this, upstream);

    if (limit->per_s >= 0) {
        end_limit(this, limit);
    }
}

double
UpstreamLimits_PerS(const UpstreamLimits *this, uint32_t upstream)
{
    const Limit *limit = find_limit(this, upstream);

    return limit != NULL ? limit->per_s : NO_LIMIT;
}

uint32_t
UpstreamLimits_Count(const UpstreamLimits *this)
{
    return this->count;
}
