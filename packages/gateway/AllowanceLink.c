#include "AllowanceLink.h"

/* A host with a tenth of a core may stand still for most of 100 ms. The host
 * that waits for a relayed answer must get one in time. */
#define ANSWER_TIME_MAX_US (200 * MICROS_PER_MS)
#define RELAYED_ANSWER_TIME_MAX_US (80 * MICROS_PER_MS)
#define PATH "/allowance"
#define RELAYED " relayed"
#define WANTED_MAX 100000
#define WAIT_MAX_MS 10000

struct AllowanceLink_ {
    Loop *loop;
    Dispatcher *dispatcher;
    ForwardClient *client;
    AllowanceLinkHandlers handlers;
    void *user;
    GHashTable *questions; /* set of Question */
};

typedef struct Question_ {
    AllowanceLink *link;
    uint64_t number;
    GString *host;
    BodyBuffer *body;
    HttpCall *call;
    LoopTimer *timer;
    ForwardTicket ticket;
    AllowanceGrant grant;
    bool answered;
} Question;

static void
destroy_question(gpointer data)
{
    Question *question = data;

    LoopTimer_Destroy(question->timer);
    g_string_free(question->host, TRUE);
    BodyBuffer_Destroy(question->body);
    g_free(question);
}

AllowanceLink *
AllowanceLink_Create(Loop *loop, Dispatcher *dispatcher, ForwardClient *client,
                     const AllowanceLinkHandlers *link_handlers, void *user)
{
    AllowanceLink *this = g_new0(AllowanceLink, 1);

    this->loop = loop;
    this->dispatcher = dispatcher;
    this->client = client;
    this->handlers = *link_handlers;
    this->user = user;
    this->questions =
        g_hash_table_new_full(NULL, NULL, destroy_question, NULL);
    return this;
}

void
AllowanceLink_Destroy(AllowanceLink *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->questions);
        g_free(this);
    }
}

static void
end_question(Question *question)
{
    AllowanceLink *this = question->link;

    if (!Loop_IsClosing(this->loop)) {
        Dispatcher_OnAllowance(this->dispatcher, question->number,
                               question->answered ? &question->grant : NULL);
    }
    g_hash_table_remove(this->questions, question);
    if (!Loop_IsClosing(this->loop)) {
        this->handlers.on_answer(this->user);
    }
}

/* ---- questions ------------------------------------------------------- */

static bool
parse_answer(Str text, AllowanceGrant *grant)
{
    uint64_t granted, wait_ms;
    Str field;

    if (!Str_Split(&text, ' ', &field) || Str_ParseU64(field, &granted) < 0 ||
        granted > WANTED_MAX || Str_ParseU64(text, &wait_ms) < 0 ||
        wait_ms > WAIT_MAX_MS) {
        return false;
    }
    grant->granted = (uint32_t)granted;
    grant->wait = (Micros)wait_ms * MICROS_PER_MS;
    return true;
}

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Question *question = user;
    const AllowanceLink *this = question->link;
    ForwardResponseSeal seal;
    bool authentic =
        ForwardTicket_Check(&question->ticket, status, headers, &seal) == 0;

    question->answered =
        authentic && status == 200 &&
        parse_answer(HeaderList_Get(headers, STR(ALLOWANCE_FIELD)),
                     &question->grant);
    /* Otherwise the host would not be asked again until the next regular
     * reading of the list. */
    if (!authentic && status == 403) {
        this->handlers.on_stale_keys(this->user,
                                     Str_FromString(question->host));
    }
}

static void
on_data(void *user, HttpCall *call, Str data)
{
}

static void
on_drained(void *user, HttpCall *call)
{
}

static void
on_complete(void *user, HttpCall *call)
{
    end_question(user);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    Question *question = user;

    question->answered = false;
    end_question(question);
}

static void
on_timeout(void *user)
{
    Question *question = user;

    HttpCall_Cancel(question->call);
    question->answered = false;
    end_question(question);
}

static const HttpCallHandlers handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

void
AllowanceLink_Ask(AllowanceLink *this, const DispatchAction *action)
{
    HeaderList *headers = HeaderList_Create();
    Question *question = g_new0(Question, 1);
    ForwardCallSpec spec = {
        .peer = action->ask.host,
        .method = STR("POST"),
        .path = STR(PATH),
        .headers = headers,
        .attempts_max = 1,
    };
    char text[32];
    Error error;

    question->link = this;
    question->number = action->ask.number;
    question->host = Str_ToString(action->ask.host);
    question->body = BodyBuffer_Create();
    BodyBuffer_Append(question->body, action->ask.customer);
    spec.body = question->body;
    question->timer = LoopTimer_Create(this->loop, on_timeout, question);
    g_hash_table_add(this->questions, question);
    g_snprintf(text, sizeof(text), "%u%s", action->ask.wanted,
               action->ask.relayed ? RELAYED : "");
    /* A field that the client adds would not be sealed. */
    HeaderList_Add(headers, STR("host"), action->ask.host);
    HeaderList_Add(headers, STR(ALLOWANCE_FIELD), Str_FromC(text));
    if (this->client != NULL) {
        question->call =
            ForwardClient_Start(this->client, &spec, &handlers, question,
                                &question->ticket, &error);
    }
    HeaderList_Destroy(headers);
    if (question->call == NULL) {
        end_question(question);
        return;
    }
    LoopTimer_Start(question->timer, action->ask.relayed
                                         ? RELAYED_ANSWER_TIME_MAX_US
                                         : ANSWER_TIME_MAX_US);
}

/* ---- answers --------------------------------------------------------- */

bool
AllowanceLink_IsQuestion(ForwardedRequest *request)
{
    return HeaderList_Has(HttpRequest_Headers(ForwardedRequest_Http(request)),
                          STR(ALLOWANCE_FIELD));
}

static bool
parse_question(Str text, uint32_t *wanted, bool *relayed)
{
    uint64_t number;
    Str field;

    if (!Str_Split(&text, ' ', &field) || Str_ParseU64(field, &number) < 0 ||
        number > WANTED_MAX ||
        (text.length > 0 && !Str_Equal(text, STR("relayed")))) {
        return false;
    }
    *wanted = (uint32_t)number;
    *relayed = text.length > 0;
    return true;
}

static void
respond(ForwardedRequest *request, int status, HeaderList *headers)
{
    ForwardedRequest_Seal(request, FORWARD_OUTCOME_NOT_RUN, STR("allowance"),
                          status, headers);
    HttpRequest_Respond(ForwardedRequest_Http(request), status, headers,
                        STR(""));
    HeaderList_Destroy(headers);
}

bool
AllowanceLink_Receive(const AllowanceLink *this, ForwardedRequest *request,
                      void *user)
{
    const HeaderList *headers =
        HttpRequest_Headers(ForwardedRequest_Http(request));
    BodyBuffer *body = ForwardedRequest_TakeBody(request);
    GString *customer = BodyBuffer_ToString(body);
    int code = ERR_PARSE;
    uint32_t wanted;
    bool relayed;

    if (parse_question(HeaderList_Get(headers, STR(ALLOWANCE_FIELD)), &wanted,
                       &relayed)) {
        code = Dispatcher_OnQuestion(
            this->dispatcher, Str_FromString(customer), wanted, relayed, user);
    }
    g_string_free(customer, TRUE);
    BodyBuffer_Destroy(body);
    if (code < 0) {
        respond(request, code == ERR_PARSE ? 400 : 404, HeaderList_Create());
    }
    return code == 0;
}

void
AllowanceLink_Respond(ForwardedRequest *request, const AllowanceGrant *grant)
{
    HeaderList *headers = HeaderList_Create();
    char text[48];

    g_snprintf(text, sizeof(text), "%u %" G_GINT64_FORMAT, grant->granted,
               grant->wait / MICROS_PER_MS);
    HeaderList_Add(headers, STR(ALLOWANCE_FIELD), Str_FromC(text));
    respond(request, 200, headers);
}
