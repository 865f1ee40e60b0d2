#include "Publisher.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <stdio.h>

#include "Command.h"
#include "Output.h"

int
Publisher_OpenReplica(const CliSettings *settings, Replica **replica)
{
    Error error;

    *replica = Replica_Create(settings, &error);
    if (*replica == NULL) {
        Command_PrintError(&error);
        return COMMAND_USAGE;
    }
    fprintf(stderr, "reading the configuration from the log\n");
    if (Replica_CatchUp(*replica, &error) < 0) {
        Command_PrintError(&error);
        return COMMAND_UNAVAILABLE;
    }
    return COMMAND_OK;
}

static char *
generate_id(void)
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
sign_publication(const Publisher *this, Str document)
{
    uint8_t secret[32];
    char *id = this->id != NULL ? g_strdup(this->id) : generate_id();
    uint64_t base = this->has_base
                        ? this->base
                        : ConfigState_Offset(Replica_State(this->replica));
    Publication *publication = Publication_Create(
        Str_FromC(id), this->settings->operator_name, base, document);
    Error error;

    g_free(id);
    if (publication == NULL) {
        fprintf(stderr, "agatecrank: the settings must contain operator = "
                        "NAME, and the id must be a valid name\n");
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

static void
print_json(const char *result, const char *id, const ConfigVerdict *verdict)
{
    json_t *root = json_object();

    json_object_set_new(root, "result", json_string(result));
    json_object_set_new(root, "id", json_string(id));
    if (verdict != NULL) {
        json_object_set_new(root, "verdict",
                            json_string(ConfigVerdict_Name(verdict->outcome)));
        json_object_set_new(root, "offset",
                            json_integer((json_int_t)verdict->offset));
        json_object_set_new(root, "text", json_string(verdict->text->str));
    }
    Output_Json(root);
    json_decref(root);
}

static int
report_verdict(const Publisher *this, const ConfigVerdict *verdict)
{
    bool accepted = verdict->outcome == CONFIG_ACCEPTED ||
                    verdict->outcome == CONFIG_DUPLICATE;

    if (this->json) {
        print_json(accepted ? "accepted" : "refused", verdict->id, verdict);
    }
    else if (accepted) {
        printf("accepted id=%s offset=%" G_GUINT64_FORMAT "\n", verdict->id,
               verdict->offset);
    }
    else {
        printf("refused id=%s reason=%s\n%s", verdict->id,
               ConfigVerdict_Name(verdict->outcome), verdict->text->str);
    }
    return accepted ? COMMAND_OK : COMMAND_REFUSED;
}

static int
report_unknown(const Publisher *this, const char *id)
{
    if (this->json) {
        print_json("not-known", id, NULL);
    }
    else {
        printf("not-known id=%s\n", id);
    }
    fprintf(stderr,
            "The publication may have taken effect. 'agatecrank status %s' "
            "shows its outcome;\nthe same command with --id %s retries it, "
            "and it is applied once.\n",
            id, id);
    return COMMAND_UNKNOWN;
}

static int
preview(const Publisher *this, const Publication *publication)
{
    ConfigVerdict verdict;
    ConfigState *next;
    Error error;

    ConfigVerdict_Init(&verdict);
    next = ConfigState_Preview(Replica_State(this->replica), publication,
                               &verdict, &error);
    if (next == NULL) {
        fprintf(stderr, "agatecrank: would be refused (%s): %s\n",
                ConfigVerdict_Name(verdict.outcome),
                verdict.text->len > 0 ? verdict.text->str : error.text);
        /* If an id was given, the caller reports the outcome as unknown. */
        if (this->json && this->id == NULL) {
            print_json("refused", publication->id, &verdict);
        }
    }
    ConfigState_Destroy(next);
    ConfigVerdict_Clear(&verdict);
    return next != NULL ? COMMAND_OK : COMMAND_REFUSED;
}

static int
await_verdict(const Publisher *this, const Publication *publication)
{
    ConfigVerdict verdict;
    int code;

    ConfigVerdict_Init(&verdict);
    if (Replica_AwaitVerdict(this->replica, Str_FromC(publication->author),
                             Str_FromC(publication->id), &verdict) == 0) {
        code = report_verdict(this, &verdict);
    }
    else {
        code = report_unknown(this, publication->id);
    }
    ConfigVerdict_Clear(&verdict);
    return code;
}

/* Reports an unknown outcome whenever the record may have been written. */
static int
append_and_await(const Publisher *this, const Publication *publication)
{
    GString *record = g_string_new(NULL);
    int code;

    Publication_Write(publication, record);
    fprintf(stderr, "publishing id=%s\n", publication->id);
    code = Replica_Append(this->replica, Str_FromString(record));
    g_string_free(record, TRUE);
    /* With a given id, an earlier call may have written the record. */
    if (code == ERR_UNAVAILABLE && this->id == NULL) {
        fprintf(stderr, "agatecrank: the log service refused the append; "
                        "nothing was written\n");
        return COMMAND_UNAVAILABLE;
    }
    fprintf(stderr, "waiting for the verdict\n");
    return await_verdict(this, publication);
}

/* Prints the verdict on an earlier call with this id, if there is one. */
static bool
report_earlier_verdict(const Publisher *this, int *code)
{
    ConfigVerdict verdict;
    bool found;

    if (this->id == NULL) {
        return false;
    }
    ConfigVerdict_Init(&verdict);
    found = ConfigState_Verdict(Replica_State(this->replica),
                                this->settings->operator_name,
                                Str_FromC(this->id), &verdict) == 0;
    if (found) {
        *code = report_verdict(this, &verdict);
    }
    ConfigVerdict_Clear(&verdict);
    return found;
}

int
Publisher_Preview(const Publisher *this, Str document)
{
    Publication *publication = sign_publication(this, document);
    int code = COMMAND_USAGE;

    if (publication != NULL) {
        code = preview(this, publication);
    }
    Publication_Destroy(publication);
    return code;
}

int
Publisher_Run(const Publisher *this, Str document)
{
    Publication *publication;
    int code = COMMAND_USAGE;

    if (report_earlier_verdict(this, &code)) {
        return code;
    }
    publication = sign_publication(this, document);
    if (publication != NULL) {
        code = preview(this, publication);
        /* An earlier record with this id may have been accepted, although the
         * document would be rejected now. */
        if (code == COMMAND_REFUSED && this->id != NULL) {
            code = report_unknown(this, publication->id);
        }
        else if (code == COMMAND_OK) {
            code = append_and_await(this, publication);
        }
    }
    Publication_Destroy(publication);
    return code;
}
