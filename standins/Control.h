#ifndef AGATECRANK_STANDINS_CONTROL_H
#define AGATECRANK_STANDINS_CONTROL_H

#include "HttpServer.h"
#include "Settings.h"

/**
 * Control_AppendBody() - buffer a piece of the request body
 *
 * The buffer is stored as HttpRequest_Data() until Control_FreeBody().
 */
void Control_AppendBody(HttpRequest *request, Str piece);

/** Control_Body() - the buffered body, may be empty */
Str Control_Body(const HttpRequest *request);

/** Control_FreeBody() - free the buffer */
void Control_FreeBody(HttpRequest *request);

/**
 * Control_ParseBody() - parse the buffered body as a JSON object
 *
 * Return: a new reference, or NULL after a response with status 400.
 */
json_t *Control_ParseBody(HttpRequest *request);

/** Control_RespondError() - respond with status 400 and @error as JSON */
void Control_RespondError(HttpRequest *request, const Error *error);

#endif
