#ifndef AGATECRANK_TESTS_SCRIPTEDGATEWAY_H
#define AGATECRANK_TESTS_SCRIPTEDGATEWAY_H

#include "Counters.h"
#include "Dispatcher.h"
#include "ScriptedUpstream.h"

/** SCRIPTED_ID - id of the attempt that the caller sends */
#define SCRIPTED_ID "17"
/** SCRIPTED_ID_FIELD - header field with it */
#define SCRIPTED_ID_FIELD "agatecrank-attempt-id: " SCRIPTED_ID "\r\n"
#define SCRIPTED_NOT_RUN_FIELD "agatecrank-not-executed: 1\r\n"
#define SCRIPTED_SIGNATURE_FIELD                                              \
    "agatecrank-response-signature: " SCRIPTED_ID ".u\r\n"
#define SCRIPTED_RESULT_BODY "content-length: 6\r\n\r\nresult"
#define SCRIPTED_NO_BODY "content-length: 0\r\n\r\n"

/**
 * typedef ScriptedGateway - a gateway over real sockets, with a caller and an
 *     ScriptedUpstream
 *
 * The routes are "/once/" and "/safe/", with two attempts.
 */
typedef struct ScriptedGateway_ ScriptedGateway;

/** typedef ScriptedHandler - called in the caller's thread */
typedef void ScriptedHandler(void *user);

/**
 * ScriptedGateway_Create() - without upstreams in its roster
 * @replies: to the first request and those after it; borrowed
 */
ScriptedGateway *ScriptedGateway_Create(const ScriptedReply *replies,
                                        unsigned reply_count);
void ScriptedGateway_Destroy(ScriptedGateway *this);

/**
 * ScriptedGateway_EnableProbes() - probe the load of the upstream
 * @response: to a probe; borrowed
 */
void ScriptedGateway_EnableProbes(ScriptedGateway *this, const char *response);

/**
 * ScriptedGateway_HasCounter() - whether the text of its counters has @text
 */
bool ScriptedGateway_HasCounter(const ScriptedGateway *this, const char *text);

/**
 * ScriptedGateway_List() - list the upstream in the roster
 * @id: of the entry; entries with other ids have the same address
 */
void ScriptedGateway_List(ScriptedGateway *this, const char *id,
                          int64_t started);

/** ScriptedGateway_Drop() - remove an entry from the roster */
void ScriptedGateway_Drop(ScriptedGateway *this, const char *id);

/**
 * ScriptedGateway_OnHeld() - set what is called once a reply is held; it is
 *     released afterwards
 */
void ScriptedGateway_OnHeld(ScriptedGateway *this, ScriptedHandler *handler,
                            void *user);

/**
 * ScriptedGateway_Call() - send a request and wait for the end of the response
 *
 * Return: the status, or 0 without a complete response.
 */
int ScriptedGateway_Call(ScriptedGateway *this, const char *path);

/** ScriptedGateway_CallWithoutId() - the same for a request without an id */
int ScriptedGateway_CallWithoutId(ScriptedGateway *this, const char *path);

/**
 * ScriptedGateway_Upload() - the same for a request with a body
 * @bytes: length of the body
 */
int ScriptedGateway_Upload(ScriptedGateway *this, const char *path,
                           size_t bytes);

/** ScriptedGateway_Log() - lines of its log since it was created */
const char *ScriptedGateway_Log(const ScriptedGateway *this);

/** ScriptedGateway_Body() - of the last response */
Str ScriptedGateway_Body(const ScriptedGateway *this);

/** ScriptedGateway_Requests() - number of requests at the upstream so far */
unsigned ScriptedGateway_Requests(const ScriptedGateway *this);

#endif
