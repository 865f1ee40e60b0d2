#include "ResponseCheck.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "Pattern.h"

#define TEXT_BYTES_MAX 8192

bool
ResponseCheck_IsPlanId(const CallPlan *plan, int attempts, Str id)
{
    size_t length = strlen(plan->id);
    uint64_t attempt;
    Str rest;

    if (!Str_StartsWith(id, Str_FromC(plan->id)) || id.length < length + 2 ||
        id.data[length] != '.') {
        return false;
    }
    rest = (Str){id.data + length + 1, id.length - length - 1};
    return Str_ParseU64(rest, &attempt) == 0 && attempt >= 1 &&
           attempt <= (uint64_t)attempts;
}

void
ResponseCheck_Begin(ResponseCheck *this, const CallPlan *plan, int attempts)
{
    ResponseCheck_Clear(this);
    memset(this, 0, sizeof(*this));
    this->plan = plan;
    this->attempts = attempts;
    this->own = true;
    g_strlcpy(this->outcome, "none", sizeof(this->outcome));
}

static void
copy_word(char out[WORD_BYTES], Str word)
{
    snprintf(out, WORD_BYTES, STR_FORMAT, STR_ARGS(word));
}

void
ResponseCheck_OnHead(ResponseCheck *this, int status,
                     const HttpMessage *message)
{
    Str id = HttpMessage_Header(message, STR("x-request-id"));
    Str sha256 = HttpMessage_Header(message, STR("x-body-sha256"));
    bool head = strcmp(this->plan->method, "HEAD") == 0;

    this->status = status;
    if (HttpMessage_Has(message, STR("agatecrank-outcome"))) {
        copy_word(this->outcome,
                  HttpMessage_Header(message, STR("agatecrank-outcome")));
    }
    copy_word(this->reason,
              HttpMessage_Header(message, STR("agatecrank-reason")));
    this->from_upstream = HttpMessage_Has(message, STR("x-upstream"));
    this->seed = Pattern_Seed(id);
    if (id.length > 0 || this->from_upstream) {
        this->own = ResponseCheck_IsPlanId(this->plan, this->attempts, id);
    }
    if (this->from_upstream) {
        this->own =
            this->own && Str_Equal(sha256, Str_FromC(this->plan->sha256));
    }
    if (this->from_upstream && status == 200 && !head) {
        this->own = this->own && message->length == this->plan->answer_bytes;
    }
    if (status == 200 && !this->from_upstream) {
        this->own = false;
    }
}

void
ResponseCheck_OnBody(ResponseCheck *this, uint64_t offset, Str piece)
{
    this->received += piece.length;
    if (this->from_upstream) {
        this->own = this->own && Pattern_Matches(this->seed, offset, piece);
        return;
    }
    if (this->text == NULL) {
        this->text = g_string_new(NULL);
    }
    if (this->text->len < TEXT_BYTES_MAX) {
        Str_AppendTo(piece, this->text);
    }
}

/* An answer of the balancer itself names the request in its JSON body. */
static void
check_text(ResponseCheck *this)
{
    json_t *object = json_loadb(this->text->str, this->text->len, 0, NULL);
    const char *id = json_string_value(json_object_get(object, "request_id"));

    if (id != NULL) {
        this->own =
            this->own &&
            ResponseCheck_IsPlanId(this->plan, this->attempts, Str_FromC(id));
    }
    json_decref(object);
}

void
ResponseCheck_End(ResponseCheck *this, ClientResult result)
{
    this->whole = result == CLIENT_DONE;
    if (this->whole && this->text != NULL) {
        check_text(this);
    }
}

void
ResponseCheck_Clear(ResponseCheck *this)
{
    if (this->text != NULL) {
        g_string_free(this->text, TRUE);
        this->text = NULL;
    }
}
