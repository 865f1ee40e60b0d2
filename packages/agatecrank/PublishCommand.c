#include <argtable2.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <stdio.h>

#include "Command.h"
#include "ConfigDiff.h"
#include "Replica.h"

/** struct Publish_ - one call of "publish" or "diff" */
typedef struct Publish_ {
    const char *path;
    const char *id;
    bool dry_run;
    CliSettings *settings;
    Replica *replica;
    ConfigDocument *document;
    GString *text;
} Publish;

static ConfigDocument *
parse_document(const char *path, Str text)
{
    Faults *faults = Faults_Create(Str_FromC(path));
    ConfigDocument *document = ConfigDocument_Parse(text, faults);

    if (document == NULL) {
        Command_PrintFaults(faults);
    }
    Faults_Destroy(faults);
    return document;
}

static int
prepare(Publish *this)
{
    Error error;

    this->text = Command_ReadFile(this->path);
    if (this->text == NULL) {
        return COMMAND_USAGE;
    }
    this->document =
        parse_document(this->path, (Str){this->text->str, this->text->len});
    if (this->document == NULL) {
        return COMMAND_USAGE;
    }
    this->replica = Replica_Create(this->settings, &error);
    if (this->replica == NULL) {
        Command_PrintError(&error);
        return COMMAND_USAGE;
    }
    if (Replica_CatchUp(this->replica, &error) < 0) {
        Command_PrintError(&error);
        return COMMAND_UNAVAILABLE;
    }
    return COMMAND_OK;
}

static void
clean_up(Publish *this)
{
    if (this->replica != NULL) {
        Replica_Destroy(this->replica);
    }
    ConfigDocument_Destroy(this->document);
    if (this->text != NULL) {
        g_string_free(this->text, TRUE);
    }
}

static void
print_difference(const Publish *this)
{
    GString *out = g_string_new(NULL);
    size_t changed =
        ConfigDiff_Document(Replica_State(this->replica), this->document, out);

    fputs(out->str, stdout);
    printf("%zu objects change\n", changed);
    g_string_free(out, TRUE);
}

static char *
make_id(void)
{
    uint8_t bytes[12];
    GString *text = g_string_new(NULL);

    RAND_bytes(bytes, sizeof(bytes));
    for (size_t i = 0; i < sizeof(bytes); i++) {
        g_string_append_printf(text, "%02x", bytes[i]);
    }
    return g_string_free(text, FALSE);
}

static Publication *
sign_publication(const Publish *this)
{
    uint8_t secret[32];
    char *id = this->id != NULL ? g_strdup(this->id) : make_id();
    Publication *publication =
        Publication_Create(Str_FromC(id), this->settings->operator_name,
                           ConfigState_Offset(Replica_State(this->replica)),
                           (Str){this->text->str, this->text->len});
    Error error;

    g_free(id);
    if (publication == NULL) {
        fprintf(stderr, "agatecrank: the settings need operator = NAME, and "
                        "an id must be a name\n");
        return NULL;
    }
    if (CliSettings_ReadKey(this->settings->key_file.data, secret, &error) <
        0) {
        Command_PrintError(&error);
        Publication_Destroy(publication);
        return NULL;
    }
    Publication_Sign(publication, secret);
    OPENSSL_cleanse(secret, sizeof(secret));
    return publication;
}

static bool
passes_preview(const Publish *this, const Publication *publication)
{
    ConfigVerdict verdict;
    ConfigState *next;
    Error error;
    bool passed;

    ConfigVerdict_Init(&verdict);
    next = ConfigState_Preview(Replica_State(this->replica), publication,
                               &verdict, &error);
    passed = next != NULL;
    if (!passed) {
        fprintf(stderr, "agatecrank: would be refused (%s): %s\n",
                ConfigVerdict_Name(verdict.outcome),
                verdict.text->len > 0 ? verdict.text->str : error.text);
    }
    else {
        ConfigState_Destroy(next);
    }
    ConfigVerdict_Clear(&verdict);
    return passed;
}

static int
report_verdict(const ConfigVerdict *verdict)
{
    if (verdict->outcome == CONFIG_ACCEPTED ||
        verdict->outcome == CONFIG_DUPLICATE) {
        printf("accepted id=%s offset=%" G_GUINT64_FORMAT "\n", verdict->id,
               verdict->offset);
        return COMMAND_OK;
    }
    printf("refused id=%s reason=%s\n%s", verdict->id,
           ConfigVerdict_Name(verdict->outcome), verdict->text->str);
    return COMMAND_REFUSED;
}

/* Says "not known" wherever the record may have been written. */
static int
append_and_wait(const Publish *this, const Publication *publication)
{
    GString *record = g_string_new(NULL);
    ConfigVerdict verdict;
    int code, result;

    Publication_Write(publication, record);
    fprintf(stderr, "publishing id=%s\n", publication->id);
    code = Replica_Append(this->replica, (Str){record->str, record->len});
    g_string_free(record, TRUE);
    if (code == ERR_UNAVAILABLE) {
        fprintf(stderr, "agatecrank: the log service refused the append; "
                        "nothing was written\n");
        return COMMAND_UNAVAILABLE;
    }
    ConfigVerdict_Init(&verdict);
    if (Replica_AwaitVerdict(this->replica, Str_FromC(publication->author),
                             Str_FromC(publication->id), &verdict) == 0) {
        result = report_verdict(&verdict);
    }
    else {
        printf("not-known id=%s\nIt may have taken effect. Publish the same "
               "file again with --id %s: it counts once.\n",
               publication->id, publication->id);
        result = COMMAND_UNKNOWN;
    }
    ConfigVerdict_Clear(&verdict);
    return result;
}

static int
publish(Publish *this)
{
    Publication *publication;
    int code = prepare(this);

    if (code != COMMAND_OK) {
        return code;
    }
    publication = sign_publication(this);
    if (publication == NULL) {
        return COMMAND_USAGE;
    }
    if (!passes_preview(this, publication)) {
        code = COMMAND_REFUSED;
    }
    else if (this->dry_run) {
        print_difference(this);
    }
    else {
        code = append_and_wait(this, publication);
    }
    Publication_Destroy(publication);
    return code;
}

static int
show_difference(Publish *this)
{
    int code = prepare(this);

    if (code == COMMAND_OK) {
        print_difference(this);
    }
    return code;
}

typedef int PublishStep(Publish *this);

static int
run(int argc, char **argv, const char *usage, PublishStep *step)
{
    struct arg_file *config =
        arg_file0("c", "config", "FILE", "settings of agatecrank");
    struct arg_str *id =
        arg_str0(NULL, "id", "ID", "id of an earlier call, to repeat it");
    struct arg_lit *dry_run =
        arg_lit0(NULL, "dry-run", "check and show, write nothing");
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "configuration document (TOML)");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {config, id, dry_run, file, help, end};
    int errors = arg_parse(argc, argv, table);
    int code = COMMAND_USAGE;
    Publish this = {0};

    if (help->count > 0) {
        fputs(usage, stdout);
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
    }
    else {
        this.settings = Command_ReadSettings(
            config->count > 0 ? config->filename[0] : NULL);
        this.path = file->filename[0];
        this.id = id->count > 0 ? id->sval[0] : NULL;
        this.dry_run = dry_run->count > 0;
        if (this.settings != NULL) {
            code = step(&this);
        }
        clean_up(&this);
        CliSettings_Destroy(this.settings);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}

int
PublishCommand_Run(int argc, char **argv)
{
    return run(argc, argv,
               "Usage: agatecrank publish [OPTIONS] FILE\n\nPrints accepted, "
               "refused with the reason, or not-known.\n\n",
               publish);
}

int
DiffCommand_Run(int argc, char **argv)
{
    return run(
        argc, argv,
        "Usage: agatecrank diff [OPTIONS] FILE\n\nShows what FILE would "
        "change in the published configuration.\n\n",
        show_difference);
}
