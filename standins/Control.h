#ifndef AGATECRANK_STANDINS_CONTROL_H
#define AGATECRANK_STANDINS_CONTROL_H

#include "HttpServer.h"
#include "Settings.h"

/**
 * Control_Keep() - collect a piece of a small body as the request's data
 *
 * The data is a GString, released by Control_Drop().
 */
void Control_Keep(HttpRequest *request, Str piece);

/** Control_Body() - what Control_Keep() collected; empty if nothing */
Str Control_Body(const HttpRequest *request);

/** Control_Drop() - release what Control_Keep() collected */
void Control_Drop(HttpRequest *request);

/**
 * Control_Parse() - the body as a JSON object, or NULL after an answer 400
 */
json_t *Control_Parse(HttpRequest *request);

/** Control_Refuse() - answer 400 with the error as JSON */
void Control_Refuse(HttpRequest *request, const Error *error);

#endif
