#include <stdio.h>
#include <string.h>

#include "ConfigSimulationPrivate.h"

/* Objects that operators race for; the last one comes and goes. */
static const struct {
    const char *name;
    const char *line;
} targets[LAB_TARGETS] = {{"a-0", "a"}, {"a-1", "a"},  {"b-0", "b"},
                          {"b-1", "b"}, {"svc", NULL}, {"a-new", "a"}};

static const struct {
    const char *name;
    uint32_t key;
    const char *line;
} authors[] = {
    {"root", KEY_ROOT, NULL}, {"op-a", KEY_A, "a"}, {"op-b", KEY_B, "b"}};

void
LabModel_Violate(LabHost *host, const char *what, uint64_t number)
{
    ConfigSimulationReport *report = host->lab->report;

    if (report->violations++ == 0) {
        snprintf(report->first_violation, sizeof(report->first_violation),
                 "seed %llu host %u generation %u: %s %llu",
                 (unsigned long long)host->lab->options->seed, host->index,
                 host->generation, what, (unsigned long long)number);
    }
}

static void
take_reference(Lab *lab, LabExpected *expected, Str record)
{
    GString *text = g_string_new(NULL);

    ConfigState_Apply(lab->reference, ConfigState_Offset(lab->reference),
                      record, NULL, NULL);
    memcpy(expected->digest, ConfigState_Digest(lab->reference),
           SNAPSHOT_DIGEST_BYTES);
    ConfigState_WriteSnapshot(lab->reference, text);
    Snapshot_Digest(Str_FromString(text), expected->content);
    g_string_free(text, TRUE);
}

void
LabModel_Init(Lab *lab)
{
    ConfigOptions options = Fixture_Options();
    LabExpected expected = {.outcome = CONFIG_ACCEPTED};
    char *document = Fixture_FirstDocument();
    GString *record = g_string_new(NULL);

    lab->expected = g_array_new(FALSE, FALSE, sizeof(LabExpected));
    lab->publications = g_ptr_array_new();
    lab->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    lab->reference = ConfigState_Create(&options);
    Fixture_Sign(record, "first", "root", KEY_ROOT, 0, document);
    LabStream_Append(&lab->streams[STREAM_CONFIG], Str_FromString(record),
                     Clock_Wall(lab->clock));
    take_reference(lab, &expected, Str_FromString(record));
    g_array_append_val(lab->expected, expected);
    for (uint32_t i = 0; i + 1 < LAB_TARGETS; i++) {
        lab->changed[i] = 1;
    }
    g_string_free(record, TRUE);
    g_free(document);
}

void
LabModel_Clear(Lab *lab)
{
    for (guint i = 0; i < lab->publications->len; i++) {
        LabPublication *publication = lab->publications->pdata[i];

        g_string_free(publication->record, TRUE);
        g_free(publication);
    }
    g_ptr_array_free(lab->publications, TRUE);
    g_array_free(lab->expected, TRUE);
    g_hash_table_destroy(lab->seen);
    ConfigState_Destroy(lab->reference);
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

LabPublication *
LabModel_Create(Lab *lab, uint64_t base)
{
    LabPublication *this = g_new0(LabPublication, 1);
    uint32_t author = (uint32_t)Random_Below(lab->random, 3);
    GString *text = g_string_new(NULL);

    this->target = (uint32_t)Random_Below(lab->random, LAB_TARGETS);
    this->value = lab->publications->len + 1;
    if (this->target == LAB_TARGETS - 1 && Random_Below(lab->random, 2)) {
        this->value = 0;
    }
    this->author = authors[author].name;
    this->base = base;
    snprintf(this->id, sizeof(this->id), "p%u", lab->publications->len);
    write_document(text, this->target, this->value);
    this->record = g_string_new(NULL);
    Fixture_Sign(this->record, this->id, this->author, authors[author].key,
                 base, text->str);
    g_string_free(text, TRUE);
    g_ptr_array_add(lab->publications, this);
    return this;
}

static bool
may_change(const LabPublication *publication)
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

/* The publication rule once more, for these few objects only. */
static ConfigOutcome
judge(Lab *lab, const LabPublication *publication, uint64_t offset)
{
    uint32_t target = publication->target;

    if (!g_hash_table_add(lab->seen, g_strdup(publication->id))) {
        return CONFIG_DUPLICATE;
    }
    if (!may_change(publication)) {
        /* Nobody owns an object that never existed. */
        return lab->changed[target] == 0 && publication->value == 0
                   ? CONFIG_REFERENCE
                   : CONFIG_DENIED;
    }
    if (publication->base < lab->changed[target]) {
        return CONFIG_STALE;
    }
    if (publication->value == 0 && lab->values[target] == 0) {
        return CONFIG_REFERENCE;
    }
    lab->changed[target] = offset + 1;
    lab->values[target] = publication->value;
    return CONFIG_ACCEPTED;
}

void
LabModel_OnAppend(Lab *lab, const LabPublication *publication, Str record,
                  Micros sent)
{
    LabExpected expected = {.outcome = CONFIG_FORGED, .sent = sent};

    if (publication != NULL) {
        expected.outcome = judge(lab, publication, lab->expected->len);
    }
    take_reference(lab, &expected, record);
    g_array_append_val(lab->expected, expected);
    lab->report->accepted += expected.outcome == CONFIG_ACCEPTED;
    lab->report->duplicates += expected.outcome == CONFIG_DUPLICATE;
    lab->report->refused += expected.outcome > CONFIG_DUPLICATE;
}

void
LabModel_OnApplied(LabHost *host, const ConfigVerdict *verdict)
{
    Lab *lab = host->lab;
    LabExpected *expected;

    if (verdict->offset >= lab->expected->len) {
        LabModel_Violate(host, "applied a record that the log lacks",
                         verdict->offset);
        return;
    }
    expected = &g_array_index(lab->expected, LabExpected, verdict->offset);
    if (verdict->outcome != expected->outcome) {
        lab->report->disagreements++;
        LabModel_Violate(host, "another verdict at offset", verdict->offset);
    }
    if (expected->sent > 0 && ++expected->applied == lab->options->hosts) {
        Histogram_Add(lab->report->in_force,
                      Clock_Now(lab->clock) - expected->sent);
    }
}

static bool
same_contents(const LabHost *host, const LabExpected *expected)
{
    GString *text = g_string_new(NULL);
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];

    ConfigState_WriteSnapshot(host->state, text);
    Snapshot_Digest(Str_FromString(text), digest);
    g_string_free(text, TRUE);
    return memcmp(digest, expected->content, SNAPSHOT_DIGEST_BYTES) == 0;
}

void
LabModel_CheckHost(LabHost *host, bool contents)
{
    Lab *lab = host->lab;
    uint64_t offset = ConfigState_Offset(host->state);
    const LabExpected *expected;

    if (offset < host->last_offset) {
        lab->report->reverts++;
        LabModel_Violate(host, "went back to offset", offset);
    }
    if ((offset == host->last_offset && !contents) || offset == 0) {
        return;
    }
    host->last_offset = offset;
    if (offset > lab->expected->len) {
        LabModel_Violate(host, "is ahead of the log at offset", offset);
        return;
    }
    expected = &g_array_index(lab->expected, LabExpected, offset - 1);
    if (memcmp(ConfigState_Digest(host->state), expected->digest,
               SNAPSHOT_DIGEST_BYTES) != 0 ||
        (contents && !same_contents(host, expected))) {
        lab->report->disagreements++;
        LabModel_Violate(host, "another state at offset", offset);
    }
}

static uint32_t
value_of(const LabHost *host, uint32_t target)
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
LabModel_CheckEnd(Lab *lab)
{
    for (uint32_t i = 0; i < lab->options->hosts; i++) {
        LabHost *host = &lab->hosts[i];

        if (!ConfigSync_Ready(host->sync)) {
            LabModel_Violate(host, "is not ready at the end", 0);
        }
        if (ConfigState_Offset(host->state) != lab->expected->len) {
            LabModel_Violate(host, "lags at the end, offset",
                             ConfigState_Offset(host->state));
        }
        LabModel_CheckHost(host, true);
        for (uint32_t target = 0; target < LAB_TARGETS; target++) {
            if (lab->values[target] != 0 &&
                value_of(host, target) != lab->values[target]) {
                LabModel_Violate(host, "lacks an accepted change of target",
                                 target);
            }
        }
    }
}
