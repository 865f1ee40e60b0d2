#ifndef AGATECRANK_AGATECRANK_ADMINCLIENT_H
#define AGATECRANK_AGATECRANK_ADMINCLIENT_H

#include <jansson.h>

#include "CliSettings.h"

/**
 * typedef AdminClient - signed calls to the administration APIs
 *
 * The hosts are those of admin_urls. Calls block until they are done or time
 * out.
 */
typedef struct AdminClient_ AdminClient;

/**
 * struct AdminAnswer_ - what one host answered
 * @host: ADDRESS:PORT
 * @status: HTTP status, 0 without a whole answer
 * @given: false if the host certainly got nothing of the call
 * @text: the body
 * @body: the body as JSON, or NULL
 * @error: filled if @status is 0
 */
typedef struct AdminAnswer_ {
    Str host;
    int status;
    bool given;
    GString *text;
    json_t *body;
    Error error;
} AdminAnswer;

/** AdminAnswer_Reason() - one line why a call has failed */
const char *AdminAnswer_Reason(const AdminAnswer *this);

/** AdminAnswers_Free() - release @count answers and the array */
void AdminAnswers_Free(AdminAnswer *answers, size_t count);

/**
 * AdminClient_Create() - read the key; NULL after printing what is wrong
 * @settings: borrowed
 */
AdminClient *AdminClient_Create(const CliSettings *settings);

/** AdminClient_Destroy() - release it; NULL is accepted */
void AdminClient_Destroy(AdminClient *this);

/** AdminClient_Hosts() - number of hosts in admin_urls */
size_t AdminClient_Hosts(const AdminClient *this);

/** AdminClient_CallAll() - one call to every host at the same time */
AdminAnswer *AdminClient_CallAll(AdminClient *this, const char *method,
                                 const char *target, const char *body);

/** AdminClient_Call() - one call to host number @host */
AdminAnswer *AdminClient_Call(AdminClient *this, size_t host,
                              const char *method, const char *target,
                              const char *body);

/**
 * AdminClient_Read() - read a resource from the first host that answers
 *
 * All pages of a list are put together.
 *
 * Return: COMMAND_OK with @root filled, else the exit code after printing
 * what is wrong.
 */
int AdminClient_Read(AdminClient *this, const char *target, json_t **root);

#endif
