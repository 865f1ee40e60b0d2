#include <stdio.h>

#include "Command.h"
#include "ConfigDiff.h"
#include "Output.h"
#include "Publisher.h"

/** struct Publish_ - arguments and state of "publish" or "diff" */
typedef struct Publish_ {
    const char *path;
    bool dry_run;
    CliSettings *settings;
    Publisher publisher;
    ConfigDocument *document;
    GString *text;
} Publish;

static ConfigDocument *
parse_document(const char *path, Str text)
{
    Diagnostics *diagnostics = Diagnostics_Create(Str_FromC(path));
    ConfigDocument *document = ConfigDocument_Parse(text, diagnostics);

    if (document == NULL) {
        Command_PrintDiagnostics(diagnostics);
    }
    Diagnostics_Destroy(diagnostics);
    return document;
}

static int
prepare(Publish *this)
{
    this->text = Command_ReadFile(this->path);
    if (this->text == NULL) {
        return COMMAND_USAGE;
    }
    this->document = parse_document(this->path, Str_FromString(this->text));
    if (this->document == NULL) {
        return COMMAND_USAGE;
    }
    this->publisher.settings = this->settings;
    return Publisher_OpenReplica(this->settings, &this->publisher.replica);
}

static void
release(Publish *this)
{
    if (this->publisher.replica != NULL) {
        Replica_Destroy(this->publisher.replica);
    }
    ConfigDocument_Destroy(this->document);
    if (this->text != NULL) {
        g_string_free(this->text, TRUE);
    }
}

static void
print_changes(const Publish *this)
{
    GString *out = g_string_new(NULL);
    size_t changed = ConfigDiff_Document(
        Replica_State(this->publisher.replica), this->document, out);
    json_t *root;

    if (this->publisher.json) {
        root = json_object();
        json_object_set_new(root, "changed",
                            json_integer((json_int_t)changed));
        json_object_set_new(root, "text", json_string(out->str));
        Output_Json(root);
        json_decref(root);
    }
    else {
        printf("%s%zu objects change\n", out->str, changed);
    }
    g_string_free(out, TRUE);
}

static int
publish(Publish *this)
{
    Str text;
    int code = prepare(this);

    if (code != COMMAND_OK) {
        return code;
    }
    text = Str_FromString(this->text);
    if (!this->dry_run) {
        return Publisher_Run(&this->publisher, text);
    }
    code = Publisher_Preview(&this->publisher, text);
    if (code == COMMAND_OK) {
        print_changes(this);
    }
    return code;
}

static int
show_changes(Publish *this)
{
    int code = prepare(this);

    if (code == COMMAND_OK) {
        print_changes(this);
    }
    return code;
}

static bool
read_base(const struct arg_str *base, Publisher *publisher)
{
    publisher->has_base = base->count > 0;
    if (publisher->has_base &&
        Str_ParseU64(Str_FromC(base->sval[0]), &publisher->base) < 0) {
        fprintf(stderr, "agatecrank: --base must be a config offset\n");
        return false;
    }
    return true;
}

int
PublishCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_str *id =
        arg_str0(NULL, "id", "ID", "id of an earlier call to retry");
    struct arg_str *base =
        arg_str0(NULL, "base", "OFFSET",
                 "config offset that FILE is based on (default: current)");
    struct arg_lit *dry_run = arg_lit0(
        NULL, "dry-run", "check FILE and show the changes without publishing");
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "configuration document (TOML)");
    void *table[] = {common.config, common.output, id,   base,
                     dry_run,       common.help,   file, common.end};
    int code;
    Publish this = {0};

    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Publishes FILE and prints accepted, refused with the "
            "reason, or not-known.\n" COMMAND_CHANGE_EXIT_HELP,
            &code) &&
        read_base(base, &this.publisher)) {
        this.path = file->filename[0];
        this.publisher.id = id->count > 0 ? id->sval[0] : NULL;
        this.publisher.json = CommonArgs_IsJson(&common);
        this.dry_run = dry_run->count > 0;
        this.settings = CommonArgs_ReadSettings(&common);
        code = this.settings != NULL ? publish(&this) : COMMAND_USAGE;
        release(&this);
        CliSettings_Destroy(this.settings);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}

int
DiffCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "configuration document (TOML)");
    void *table[] = {common.config, common.output, common.help, file,
                     common.end};
    int code;
    Publish this = {0};

    if (CommonArgs_Parse(&common, argc, argv, table, G_N_ELEMENTS(table),
                         "Shows what FILE would change in the published "
                         "configuration.\n" COMMAND_READ_EXIT_HELP,
                         &code)) {
        this.path = file->filename[0];
        this.publisher.json = CommonArgs_IsJson(&common);
        this.settings = CommonArgs_ReadSettings(&common);
        code = this.settings != NULL ? show_changes(&this) : COMMAND_USAGE;
        release(&this);
        CliSettings_Destroy(this.settings);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
