#include "InputBudget.h"

#include <glib.h>

/* Time that a large body usually takes. */
#define LARGE_WAIT_LEAST_US (2 * MICROS_PER_S)
/* The first bytes on a connection usually arrive within this time. */
#define WAIT_LEAST_US (1 * MICROS_PER_S)

struct InputBudget_ {
    InputBudgetOptions options;
    const Clock *clock;
    GPtrArray *shares; /* InputShare */
    size_t used_bytes;
    size_t total_bytes; /* with room for the largest request */
};

struct InputShare_ {
    InputBudget *budget;
    void *user;
    size_t bytes;
    Micros since; /* the begin of the wait */
    guint index;
    InputState state;
};

InputBudget *
InputBudget_Create(const InputBudgetOptions *options, const Clock *clock)
{
    InputBudget *this = g_new0(InputBudget, 1);

    this->options = *options;
    this->total_bytes = options->total_bytes;
    this->clock = clock;
    this->shares = g_ptr_array_new();
    return this;
}

void
InputBudget_Destroy(InputBudget *this)
{
    if (this == NULL) {
        return;
    }
    g_ptr_array_free(this->shares, TRUE);
    g_free(this);
}

void
InputBudget_SetLargest(InputBudget *this, size_t length)
{
    const InputBudgetOptions *options = &this->options;
    size_t needed = length + options->small_bytes + options->reserve_bytes;

    this->total_bytes =
        MAX(options->total_bytes, MIN(needed, options->most_bytes));
}

size_t
InputBudget_UsedBytes(const InputBudget *this)
{
    return this->used_bytes;
}

static size_t
large_bytes_max(const InputBudget *this)
{
    return this->total_bytes - this->options.reserve_bytes;
}

bool
InputBudget_Fits(const InputBudget *this, int64_t length)
{
    return length <= 0 || (uint64_t)length <= large_bytes_max(this);
}

InputShare *
InputBudget_Open(InputBudget *this, void *user)
{
    InputShare *share = g_new0(InputShare, 1);

    share->budget = this;
    share->user = user;
    share->since = Clock_Now(this->clock);
    share->index = this->shares->len;
    g_ptr_array_add(this->shares, share);
    return share;
}

void
InputShare_Close(InputShare *this)
{
    GPtrArray *shares;

    if (this == NULL) {
        return;
    }
    shares = this->budget->shares;
    this->budget->used_bytes -= this->bytes;
    g_ptr_array_remove_index_fast(shares, this->index);
    if (this->index < shares->len) {
        ((InputShare *)g_ptr_array_index(shares, this->index))->index =
            this->index;
    }
    g_free(this);
}

void *
InputShare_User(const InputShare *this)
{
    return this->user;
}

void
InputShare_SetState(InputShare *this, InputState state)
{
    if (this->state == state) {
        return;
    }
    if (this->state != INPUT_HEAD || state != INPUT_BODY) {
        this->since = Clock_Now(this->budget->clock);
    }
    this->state = state;
}

bool
InputShare_Hold(InputShare *this, size_t bytes)
{
    InputBudget *budget = this->budget;
    size_t used = budget->used_bytes - this->bytes + bytes;
    size_t limit = bytes <= budget->options.small_bytes
                       ? budget->total_bytes
                       : large_bytes_max(budget);

    if (bytes > this->bytes && used > limit) {
        return false;
    }
    budget->used_bytes = used;
    this->bytes = bytes;
    return true;
}

void
InputShare_Force(InputShare *this, size_t bytes)
{
    this->budget->used_bytes += bytes - this->bytes;
    this->bytes = bytes;
}

static bool
waits_for_caller(const InputShare *this)
{
    return this->state == INPUT_HEAD || this->state == INPUT_BODY ||
           this->state == INPUT_UNREAD;
}

static bool
is_longer(const InputShare *this, const InputShare *other)
{
    return other == NULL || this->since < other->since;
}

/* The connections that wait for their caller and hold more than a minimum. */
typedef struct Waiting_ {
    InputShare *longest;
    InputShare *shortest; /* of those whose request is not complete */
} Waiting;

static Waiting
find_waiting(const InputShare *needy, size_t needed, size_t least)
{
    const GPtrArray *shares = needy->budget->shares;
    Waiting found = {NULL, NULL};

    for (guint i = 0; i < shares->len; i++) {
        InputShare *share = g_ptr_array_index(shares, i);
        size_t bytes = share == needy ? needed : share->bytes;

        if (!waits_for_caller(share) || bytes <= least) {
            continue;
        }
        if (is_longer(share, found.longest)) {
            found.longest = share;
        }
        if (share->state != INPUT_UNREAD &&
            (found.shortest == NULL || !is_longer(share, found.shortest))) {
            found.shortest = share;
        }
    }
    return found;
}

static bool
has_waited(const InputShare *this, Micros time)
{
    return Clock_Now(this->budget->clock) - this->since >= time;
}

static InputShare *
victim_above(const InputShare *needy, size_t needed, size_t least)
{
    Waiting found = find_waiting(needy, needed, least);

    if (found.longest != NULL &&
        has_waited(found.longest, LARGE_WAIT_LEAST_US)) {
        return found.longest;
    }
    return found.shortest;
}

/* Returns the connection with a small request that has waited longest, if these
 * together take more than their reserve. */
static InputShare *
find_standing_small(const InputBudget *this)
{
    InputShare *found = NULL;
    size_t held = 0;

    for (guint i = 0; i < this->shares->len; i++) {
        InputShare *share = g_ptr_array_index(this->shares, i);

        if (share->bytes == 0 || share->bytes > this->options.small_bytes) {
            continue;
        }
        held += share->bytes;
        if (waits_for_caller(share) && is_longer(share, found)) {
            found = share;
        }
    }
    return found != NULL && held > this->options.reserve_bytes &&
                   has_waited(found, LARGE_WAIT_LEAST_US)
               ? found
               : NULL;
}

InputShare *
InputShare_Victim(InputShare *this, size_t bytes)
{
    size_t small = this->budget->options.small_bytes;
    InputShare *victim = victim_above(this, bytes, small);
    InputShare *standing = NULL;

    if (bytes <= small) {
        return victim != NULL ? victim : victim_above(this, bytes, 0);
    }
    if (victim == this) {
        standing = find_standing_small(this->budget);
    }
    return standing != NULL ? standing : victim;
}

/* The order of those that are ended for a new connection; 0 for never. */
static int
rank_of(const InputShare *this)
{
    if (this->state == INPUT_COMPLETE) {
        return 0;
    }
    if (!has_waited(this, WAIT_LEAST_US)) {
        return 1;
    }
    switch (this->state) {
    case INPUT_IDLE:
        return 4;
    case INPUT_HEAD:
        return 3;
    case INPUT_BODY:
    case INPUT_UNREAD:
    case INPUT_COMPLETE:
        break;
    }
    return 2;
}

InputShare *
InputBudget_LeastUseful(const InputBudget *this)
{
    InputShare *found = NULL;
    int rank = 1;

    for (guint i = 0; i < this->shares->len; i++) {
        InputShare *share = g_ptr_array_index(this->shares, i);
        int own = rank_of(share);

        if (own > rank || (own == rank && is_longer(share, found))) {
            rank = own;
            found = share;
        }
    }
    return found;
}
