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
 * struct AdminResponse_ - what one host answered
 * @host: ADDRESS:PORT
 * @status: HTTP status, 0 without a whole answer
 * @maybe_sent: false if the host certainly got nothing of the call
 * @text: the body
 * @body: the body as JSON, or NULL
 * @error: filled if @status is 0
 */
typedef struct AdminResponse_ {
    Str host;
    int status;
    bool maybe_sent;
    GString *text;
    json_t *body;
    Error error;
} AdminResponse;

/** AdminResponse_Reason() - one line why a call has failed */
const char *AdminResponse_Reason(const AdminResponse *this);

/** AdminResponses_Free() - release @count answers and the array */
void AdminResponses_Free(AdminResponse *answers, size_t count);

/**
 * AdminClient_Create() - read the key; NULL after printing what is wrong
 * @settings: borrowed
 */
AdminClient *AdminClient_Create(const CliSettings *settings);

/** AdminClient_Destroy() - release it; NULL is accepted */
void AdminClient_Destroy(AdminClient *this);

/** AdminClient_HostCount() - number of hosts in admin_urls */
size_t AdminClient_HostCount(const AdminClient *this);

/** AdminClient_CallAll() - one call to every host at the same time */
AdminResponse *AdminClient_CallAll(AdminClient *this, const char *method,
                                   const char *target, const char *body);

/** AdminClient_Call() - one call to host number @host */
AdminResponse *AdminClient_Call(AdminClient *this, size_t host,
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
