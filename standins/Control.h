#ifndef AGATECRANK_STANDINS_CONTROL_H
#define AGATECRANK_STANDINS_CONTROL_H

#include "HttpServer.h"
#include "Settings.h"

/**
 * Control_AppendBody() - collect a piece of a small body as the request's data
 *
 * The data is a GString, released by Control_FreeBody().
 */
void Control_AppendBody(HttpRequest *request, Str piece);

/** Control_Body() - what Control_AppendBody() collected; empty if nothing */
Str Control_Body(const HttpRequest *request);

/** Control_FreeBody() - release what Control_AppendBody() collected */
void Control_FreeBody(HttpRequest *request);

/**
 * Control_ParseBody() - the body as a JSON object, or NULL after an answer 400
 */
json_t *Control_ParseBody(HttpRequest *request);

/** Control_RespondError() - answer 400 with the error as JSON */
void Control_RespondError(HttpRequest *request, const Error *error);

#endif
