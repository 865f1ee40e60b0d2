#ifndef AGATECRANK_AGATECRANK_ADMINCLIENT_H
#define AGATECRANK_AGATECRANK_ADMINCLIENT_H

#include <jansson.h>

#include "CliSettings.h"

/**
 * typedef AdminClient - client for signed administration API calls
 *
 * The hosts are those in admin_urls. Calls block until they complete or time
 * out.
 */
typedef struct AdminClient_ AdminClient;

/**
 * struct AdminResponse_ - response of one host
 * @host: ADDRESS:PORT
 * @status: HTTP status, or 0 if no complete response arrived
 * @maybe_sent: false if the host certainly received no part of the request
 * @text: response body
 * @body: the body parsed as JSON, or NULL if it is not JSON
 * @error: set if @status is 0
 */
typedef struct AdminResponse_ {
    Str host;
    int status;
    bool maybe_sent;
    GString *text;
    json_t *body;
    Error error;
} AdminResponse;

/** AdminResponse_Reason() - reason of a failed call, in one line */
const char *AdminResponse_Reason(const AdminResponse *this);

/** AdminResponses_Free() - release @count responses and the array */
void AdminResponses_Free(AdminResponse *responses, size_t count);

/**
 * AdminClient_Create() - read the operator's key and set up the connections
 * @settings: borrowed
 *
 * Return: NULL after printing the error on stderr.
 */
AdminClient *AdminClient_Create(const CliSettings *settings);

/** AdminClient_Destroy() - release the client; NULL is accepted */
void AdminClient_Destroy(AdminClient *this);

/** AdminClient_HostCount() - number of hosts in admin_urls */
size_t AdminClient_HostCount(const AdminClient *this);

/** AdminClient_CallAll() - call all hosts concurrently; one response per host */
AdminResponse *AdminClient_CallAll(AdminClient *this, const char *method,
                                   const char *target, const char *body);

/** AdminClient_Call() - call one host, by its index in admin_urls */
AdminResponse *AdminClient_Call(AdminClient *this, size_t host,
                                const char *method, const char *target,
                                const char *body);

/**
 * AdminClient_Read() - read a resource from the first available host
 *
 * The pages of a list are merged into one object.
 *
 * Return: COMMAND_OK with @root set, else the exit code after printing the
 * error.
 */
int AdminClient_Read(AdminClient *this, const char *target, json_t **root);

#endif
