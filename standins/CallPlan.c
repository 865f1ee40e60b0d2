#include "CallPlan.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "Pattern.h"

#define METHODS_MAX 8
#define PIECE_BYTES 16384

struct CallPlanner_ {
    const CallerSettings *settings;
    const Clock *clock;
    Random *random;
    char *id_prefix;
    const char *methods[METHODS_MAX];
    double weights[METHODS_MAX];
    size_t method_count;
    double weight_total;
    uint64_t next_id;
};

static const char *
known_method(const char *name)
{
    static const char *const method_names[] = {
        "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};

    for (size_t i = 0; i < G_N_ELEMENTS(method_names); i++) {
        if (strcmp(method_names[i], name) == 0) {
            return method_names[i];
        }
    }
    return NULL;
}

static int
parse_methods(CallPlanner *this, const char *text)
{
    g_auto(GStrv) entries = g_strsplit(text, ",", METHODS_MAX);

    for (char **entry = entries; *entry != NULL; entry++) {
        char *colon = strchr(*entry, ':');
        double weight = colon ? g_ascii_strtod(colon + 1, NULL) : 1;
        const char *method;

        if (colon != NULL) {
            *colon = '\0';
        }
        method = known_method(*entry);
        if (method == NULL || weight < 0) {
            return ERR_PARSE;
        }
        this->methods[this->method_count] = method;
        this->weights[this->method_count] = weight;
        this->weight_total += weight;
        this->method_count++;
    }
    return this->weight_total > 0 ? 0 : ERR_PARSE;
}

CallPlanner *
CallPlanner_Create(const CallerSettings *settings, const Clock *clock)
{
    CallPlanner *this = g_new0(CallPlanner, 1);

    this->settings = settings;
    this->clock = clock;
    this->random = Random_Create((uint64_t)settings->seed);
    this->id_prefix =
        *settings->id_prefix != '\0'
            ? g_strdup(settings->id_prefix)
            : g_strdup_printf("c%" G_GINT64_FORMAT, settings->seed);
    if (parse_methods(this, settings->methods) < 0) {
        CallPlanner_Destroy(this);
        return NULL;
    }
    return this;
}

void
CallPlanner_Destroy(CallPlanner *this)
{
    if (this != NULL) {
        Random_Destroy(this->random);
        g_free(this->id_prefix);
        g_free(this);
    }
}

Micros
CallPlanner_NextInterval(CallPlanner *this)
{
    double mean = (double)MICROS_PER_S / this->settings->rate;

    return (Micros)Random_Exponential(this->random, mean);
}

static const char *
draw_method(CallPlanner *this)
{
    double remaining_weight = Random_Unit(this->random) * this->weight_total;

    for (size_t i = 0; i + 1 < this->method_count; i++) {
        remaining_weight -= this->weights[i];
        if (remaining_weight < 0) {
            return this->methods[i];
        }
    }
    return this->methods[this->method_count - 1];
}

/* UUIDv7: 48 bits of wall time in ms, version, variant, 74 random bits. */
static void
make_idempotency_key(CallPlanner *this, char key[CALL_KEY_BYTES])
{
    uint64_t ms = (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);
    uint64_t a = Random_Next(this->random);
    uint64_t b = Random_Next(this->random);

    snprintf(key, CALL_KEY_BYTES, "%08x-%04x-7%03x-%04x-%012llx",
             (unsigned)(ms >> 16), (unsigned)(ms & 0xffff),
             (unsigned)(a & 0xfff), (unsigned)(0x8000 | ((a >> 12) & 0x3fff)),
             (unsigned long long)(b & 0xffffffffffffULL));
}

static bool
has_body(const char *method)
{
    return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "PATCH") == 0;
}

static bool
is_idempotent(const char *method)
{
    return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static void
digest_body(CallPlan *plan)
{
    BodyDigest *digest = BodyDigest_Create("");
    uint64_t done = 0;
    char piece[PIECE_BYTES];

    while (done < plan->body_bytes) {
        size_t length = MIN(sizeof(piece), plan->body_bytes - done);

        CallPlan_WriteBody(plan, done, piece, length);
        BodyDigest_Add(digest, (Str){piece, length});
        done += length;
    }
    BodyDigest_Finish(digest, plan->sha256);
    BodyDigest_Destroy(digest);
}

static bool
draw_bool(CallPlanner *this, double share)
{
    return Random_Unit(this->random) < share;
}

CallPlan
CallPlanner_Next(CallPlanner *this)
{
    const CallerSettings *s = this->settings;
    CallPlan plan = {.method = draw_method(this), .marker = ""};
    bool large = draw_bool(this, s->large_share);
    bool marked = draw_bool(this, s->marker_share);
    bool keyed = draw_bool(this, s->key_share);

    plan.cancels = draw_bool(this, s->cancel_share);
    plan.idempotent = is_idempotent(plan.method);
    plan.response_bytes = (uint64_t)(large ? s->large_bytes : s->answer_bytes);
    snprintf(plan.id, sizeof(plan.id), "%.64s-%" G_GUINT64_FORMAT,
             this->id_prefix, this->next_id++);
    plan.seed = Pattern_Seed(Str_FromC(plan.id));
    if (has_body(plan.method)) {
        plan.marker = marked ? s->marker : "";
        plan.body_bytes = (uint64_t)(large ? s->large_bytes : s->body_bytes);
        plan.body_bytes = MAX(plan.body_bytes, strlen(plan.marker));
    }
    if (!plan.idempotent && keyed) {
        make_idempotency_key(this, plan.key);
    }
    digest_body(&plan);
    return plan;
}

void
CallPlan_WriteBody(const CallPlan *this, uint64_t offset, char *out,
                   size_t length)
{
    size_t marker = strlen(this->marker);

    Pattern_Fill(this->seed, offset, out, length);
    if (offset < marker) {
        memcpy(out, this->marker + offset, MIN(marker - offset, length));
    }
}
