#include <stdio.h>
#include <string.h>

#include "ConfigSimulationPrivate.h"

/* Objects that operators change concurrently. The last one does not exist at
 * the start; only it is deleted and created again. */
static const struct {
    const char *name;
    const char *line;
} targets[TARGET_COUNT] = {{"a-0", "a"}, {"a-1", "a"},  {"b-0", "b"},
                           {"b-1", "b"}, {"svc", NULL}, {"a-new", "a"}};

static const struct {
    const char *name;
    uint32_t key;
    const char *line;
} authors[] = {
    {"root", KEY_ROOT, NULL}, {"op-a", KEY_A, "a"}, {"op-b", KEY_B, "b"}};

void
SimulationModel_ReportViolation(SimulatedHost *host, const char *description,
                                uint64_t number)
{
    ConfigSimulationReport *report = host->simulation->report;

    if (report->violations++ == 0) {
        snprintf(report->first_violation, sizeof(report->first_violation),
                 "seed %llu host %u generation %u: %s %llu",
                 (unsigned long long)host->simulation->options->seed,
                 host->index, host->generation, description,
                 (unsigned long long)number);
    }
}

static void
apply_to_reference(ConfigSimulation *simulation, ExpectedRecord *expected,
                   Str record)
{
    GString *text = g_string_new(NULL);

    ConfigState_Apply(simulation->reference,
                      ConfigState_Offset(simulation->reference), record, NULL,
                      NULL);
    memcpy(expected->digest, ConfigState_Digest(simulation->reference),
           SNAPSHOT_DIGEST_BYTES);
    ConfigState_WriteSnapshot(simulation->reference, text);
    Snapshot_Digest(Str_FromString(text), expected->content);
    g_string_free(text, TRUE);
}

void
SimulationModel_Init(ConfigSimulation *simulation)
{
    ConfigOptions options = Fixture_Options();
    ExpectedRecord expected = {.outcome = CONFIG_ACCEPTED};
    char *document = Fixture_FirstDocument();
    GString *record = g_string_new(NULL);

    simulation->expected = g_array_new(FALSE, FALSE, sizeof(ExpectedRecord));
    simulation->publications = g_ptr_array_new();
    simulation->published_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    simulation->reference = ConfigState_Create(&options);
    Fixture_Sign(record, "first", "root", KEY_ROOT, 0, document);
    SimulatedStream_Append(&simulation->streams[STREAM_CONFIG],
                           Str_FromString(record),
                           Clock_Wall(simulation->clock));
    apply_to_reference(simulation, &expected, Str_FromString(record));
    g_array_append_val(simulation->expected, expected);
    for (uint32_t i = 0; i + 1 < TARGET_COUNT; i++) {
        simulation->change_offsets[i] = 1;
    }
    g_string_free(record, TRUE);
    g_free(document);
}

void
SimulationModel_Clear(ConfigSimulation *simulation)
{
    for (guint i = 0; i < simulation->publications->len; i++) {
        SimulatedPublication *publication = simulation->publications->pdata[i];

        g_string_free(publication->record, TRUE);
        g_free(publication);
    }
    g_ptr_array_free(simulation->publications, TRUE);
    g_array_free(simulation->expected, TRUE);
    g_hash_table_destroy(simulation->published_ids);
    ConfigState_Destroy(simulation->reference);
}

static void
write_document(GString *text, uint32_t target, uint32_t value)
{
    const char *name = targets[target].name;

    if (targets[target].line == NULL) {
        g_string_printf(text, "[service.%s]\nconnections = %u\n", name, value);
    }
    else if (value == 0) {
        g_string_printf(text, "delete = [\"selector.%s\"]\n", name);
    }
    else {
        g_string_printf(text,
                        "[selector.%s]\nline = \"%s\"\nservice = \"svc\"\n"
                        "deadline_ms = %u\n",
                        name, targets[target].line, value);
    }
}

SimulatedPublication *
SimulationModel_CreatePublication(ConfigSimulation *simulation, uint64_t base)
{
    SimulatedPublication *this = g_new0(SimulatedPublication, 1);
    uint32_t author = (uint32_t)Random_Below(simulation->random, 3);
    GString *text = g_string_new(NULL);

    this->target = (uint32_t)Random_Below(simulation->random, TARGET_COUNT);
    this->value = simulation->publications->len + 1;
    if (this->target == TARGET_COUNT - 1 &&
        Random_Below(simulation->random, 2)) {
        this->value = 0;
    }
    this->author = authors[author].name;
    this->base = base;
    snprintf(this->id, sizeof(this->id), "p%u", simulation->publications->len);
    write_document(text, this->target, this->value);
    this->record = g_string_new(NULL);
    Fixture_Sign(this->record, this->id, this->author, authors[author].key,
                 base, text->str);
    g_string_free(text, TRUE);
    g_ptr_array_add(simulation->publications, this);
    return this;
}

static bool
may_change(const SimulatedPublication *publication)
{
    const char *line = targets[publication->target].line;

    for (size_t i = 0; i < G_N_ELEMENTS(authors); i++) {
        if (strcmp(authors[i].name, publication->author) == 0) {
            return authors[i].line == NULL ||
                   (line != NULL && strcmp(line, authors[i].line) == 0);
        }
    }
    return false;
}

/* Independent implementation of the rules for publications, limited to the
 * target objects. */
static ConfigOutcome
expected_outcome(ConfigSimulation *simulation,
                 const SimulatedPublication *publication, uint64_t offset)
{
    uint32_t target = publication->target;

    if (!g_hash_table_add(simulation->published_ids,
                          g_strdup(publication->id))) {
        return CONFIG_DUPLICATE;
    }
    if (!may_change(publication)) {
        /* An object that never existed has no owner. */
        return simulation->change_offsets[target] == 0 &&
                       publication->value == 0
                   ? CONFIG_REFERENCE
                   : CONFIG_DENIED;
    }
    if (publication->base < simulation->change_offsets[target]) {
        return CONFIG_STALE;
    }
    if (publication->value == 0 && simulation->values[target] == 0) {
        return CONFIG_REFERENCE;
    }
    simulation->change_offsets[target] = offset + 1;
    simulation->values[target] = publication->value;
    return CONFIG_ACCEPTED;
}

void
SimulationModel_OnAppend(ConfigSimulation *simulation,
                         const SimulatedPublication *publication, Str record,
                         Micros first_sent)
{
    ExpectedRecord expected = {.outcome = CONFIG_FORGED,
                               .first_sent = first_sent};

    if (publication != NULL) {
        expected.outcome = expected_outcome(simulation, publication,
                                            simulation->expected->len);
    }
    apply_to_reference(simulation, &expected, record);
    g_array_append_val(simulation->expected, expected);
    simulation->report->accepted += expected.outcome == CONFIG_ACCEPTED;
    simulation->report->duplicates += expected.outcome == CONFIG_DUPLICATE;
    simulation->report->refused += expected.outcome > CONFIG_DUPLICATE;
}

void
SimulationModel_OnApplied(SimulatedHost *host, const ConfigVerdict *verdict)
{
    ConfigSimulation *simulation = host->simulation;
    ExpectedRecord *expected;

    if (verdict->offset >= simulation->expected->len) {
        SimulationModel_ReportViolation(
            host, "applied a record beyond the log's end, offset",
            verdict->offset);
        return;
    }
    expected =
        &g_array_index(simulation->expected, ExpectedRecord, verdict->offset);
    if (verdict->outcome != expected->outcome) {
        simulation->report->disagreements++;
        SimulationModel_ReportViolation(
            host, "outcome differs from the model at offset", verdict->offset);
    }
    if (expected->first_sent > 0 &&
        ++expected->applied_hosts == simulation->options->hosts) {
        Histogram_Add(simulation->report->in_force,
                      Clock_Now(simulation->clock) - expected->first_sent);
    }
}

static bool
same_contents(const SimulatedHost *host, const ExpectedRecord *expected)
{
    GString *text = g_string_new(NULL);
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];

    ConfigState_WriteSnapshot(host->state, text);
    Snapshot_Digest(Str_FromString(text), digest);
    g_string_free(text, TRUE);
    return memcmp(digest, expected->content, SNAPSHOT_DIGEST_BYTES) == 0;
}

void
SimulationModel_CheckHost(SimulatedHost *host, bool contents)
{
    ConfigSimulation *simulation = host->simulation;
    uint64_t offset = ConfigState_Offset(host->state);
    const ExpectedRecord *expected;

    if (offset < host->last_offset) {
        simulation->report->reverts++;
        SimulationModel_ReportViolation(host, "reverted to offset", offset);
    }
    if ((offset == host->last_offset && !contents) || offset == 0) {
        return;
    }
    host->last_offset = offset;
    if (offset > simulation->expected->len) {
        SimulationModel_ReportViolation(
            host, "state is beyond the log's end at offset", offset);
        return;
    }
    expected =
        &g_array_index(simulation->expected, ExpectedRecord, offset - 1);
    if (memcmp(ConfigState_Digest(host->state), expected->digest,
               SNAPSHOT_DIGEST_BYTES) != 0 ||
        (contents && !same_contents(host, expected))) {
        simulation->report->disagreements++;
        SimulationModel_ReportViolation(
            host, "state differs from the model at offset", offset);
    }
}

static uint32_t
value_of(const SimulatedHost *host, uint32_t target)
{
    const ConfigObject *object = ConfigState_Find(
        host->state,
        targets[target].line == NULL ? CONFIG_SERVICE : CONFIG_SELECTOR,
        Str_FromC(targets[target].name));

    if (object == NULL) {
        return 0;
    }
    return object->kind == CONFIG_SERVICE ? object->service.connections
                                          : object->selector.deadline_ms;
}

void
SimulationModel_CheckEnd(ConfigSimulation *simulation)
{
    for (uint32_t i = 0; i < simulation->options->hosts; i++) {
        SimulatedHost *host = &simulation->hosts[i];

        if (!ConfigSync_Ready(host->sync)) {
            SimulationModel_ReportViolation(host, "not ready at the end", 0);
        }
        if (ConfigState_Offset(host->state) != simulation->expected->len) {
            SimulationModel_ReportViolation(
                host, "records missing at the end, offset",
                ConfigState_Offset(host->state));
        }
        SimulationModel_CheckHost(host, true);
        for (uint32_t target = 0; target < TARGET_COUNT; target++) {
            if (simulation->values[target] != 0 &&
                value_of(host, target) != simulation->values[target]) {
                SimulationModel_ReportViolation(
                    host, "accepted change missing for target", target);
            }
        }
    }
}
