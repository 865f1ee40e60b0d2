#ifndef AGATECRANK_STANDINS_ANSWERCHECK_H
#define AGATECRANK_STANDINS_ANSWERCHECK_H

#include <glib.h>

#include "CallPlan.h"
#include "HttpClient.h"

#define WORD_BYTES 64

/**
 * struct AnswerCheck_ - reads one answer and judges whose it is
 * @status: HTTP status, 0 before the head
 * @outcome: agatecrank-outcome, "none" without the header
 * @reason: agatecrank-reason, may be empty
 * @whole: the answer came up to its announced end
 * @own: the answer belongs to the call: its request id, and for an upstream's
 *       200 also the digest of the request body, the length asked for and
 *       every byte of the answer's body
 */
typedef struct AnswerCheck_ {
    int status;
    char outcome[WORD_BYTES];
    char reason[WORD_BYTES];
    bool whole;
    bool own;
    /* internal */
    const CallPlan *plan;
    int attempts;
    uint64_t seed;
    uint64_t received;
    bool from_upstream;
    GString *text;
} AnswerCheck;

/** AnswerCheck_Begin() - @attempts of the plan have been sent so far */
void AnswerCheck_Begin(AnswerCheck *this, const CallPlan *plan, int attempts);

/** AnswerCheck_OnHead(), AnswerCheck_OnBody() - parts of the answer */
void AnswerCheck_OnHead(AnswerCheck *this, int status,
                        const HttpMessage *message);
void AnswerCheck_OnBody(AnswerCheck *this, uint64_t offset, Str piece);

/** AnswerCheck_End() - the last event; sets @whole and @own */
void AnswerCheck_End(AnswerCheck *this, ClientResult result);

/** AnswerCheck_Clear() - release what is held */
void AnswerCheck_Clear(AnswerCheck *this);

/** AnswerCheck_IdIsOwn() - @id is one of the plan's first @attempts ids */
bool AnswerCheck_IdIsOwn(const CallPlan *plan, int attempts, Str id);

#endif
