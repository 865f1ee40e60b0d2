#include "ResponseCheck.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "Pattern.h"

#define LOCAL_BODY_MAX_BYTES 8192

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
    this->matches_call = true;
    g_strlcpy(this->outcome, "none", sizeof(this->outcome));
}

static void
copy_header_value(char out[HEADER_VALUE_MAX_BYTES], Str value)
{
    snprintf(out, HEADER_VALUE_MAX_BYTES, STR_FORMAT, STR_ARGS(value));
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
        copy_header_value(
            this->outcome,
            HttpMessage_Header(message, STR("agatecrank-outcome")));
    }
    copy_header_value(this->reason,
                      HttpMessage_Header(message, STR("agatecrank-reason")));
    this->from_upstream = HttpMessage_Has(message, STR("x-upstream"));
    this->body_seed = Pattern_Seed(id);
    if (id.length > 0 || this->from_upstream) {
        this->matches_call =
            ResponseCheck_IsPlanId(this->plan, this->attempts, id);
    }
    if (this->from_upstream) {
        this->matches_call = this->matches_call &&
                             Str_Equal(sha256, Str_FromC(this->plan->sha256));
    }
    if (this->from_upstream && status == 200 && !head) {
        this->matches_call = this->matches_call &&
                             message->length == this->plan->response_bytes;
    }
    if (status == 200 && !this->from_upstream) {
        this->matches_call = false;
    }
}

void
ResponseCheck_OnBody(ResponseCheck *this, uint64_t offset, Str piece)
{
    this->received += piece.length;
    if (this->from_upstream) {
        this->matches_call = this->matches_call &&
                             Pattern_Matches(this->body_seed, offset, piece);
        return;
    }
    if (this->local_body == NULL) {
        this->local_body = g_string_new(NULL);
    }
    if (this->local_body->len < LOCAL_BODY_MAX_BYTES) {
        Str_AppendTo(piece, this->local_body);
    }
}

/* Responses of the balancer itself have the request id in a JSON body. */
static void
check_local_body(ResponseCheck *this)
{
    json_t *object =
        json_loadb(this->local_body->str, this->local_body->len, 0, NULL);
    const char *id = json_string_value(json_object_get(object, "request_id"));

    if (id != NULL) {
        this->matches_call =
            this->matches_call &&
            ResponseCheck_IsPlanId(this->plan, this->attempts, Str_FromC(id));
    }
    json_decref(object);
}

void
ResponseCheck_End(ResponseCheck *this, ClientResult result)
{
    this->complete = result == CLIENT_DONE;
    if (this->complete && this->local_body != NULL) {
        check_local_body(this);
    }
}

void
ResponseCheck_Clear(ResponseCheck *this)
{
    if (this->local_body != NULL) {
        g_string_free(this->local_body, TRUE);
        this->local_body = NULL;
    }
}
