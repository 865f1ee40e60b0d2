#include "Control.h"

void
Control_AppendBody(HttpRequest *request, Str piece)
{
    GString *body = HttpRequest_Data(request);

    if (body == NULL) {
        body = g_string_new(NULL);
        HttpRequest_SetData(request, body);
    }
    Str_AppendTo(piece, body);
}

Str
Control_Body(const HttpRequest *request)
{
    const GString *body = HttpRequest_Data(request);

    return body != NULL ? Str_FromString(body) : STR("");
}

void
Control_FreeBody(HttpRequest *request)
{
    GString *body = HttpRequest_Data(request);

    if (body != NULL) {
        g_string_free(body, TRUE);
        HttpRequest_SetData(request, NULL);
    }
}

json_t *
Control_ParseBody(HttpRequest *request)
{
    Str body = Control_Body(request);
    json_error_t parse_error;
    json_t *object = json_loadb(body.data, body.length, 0, &parse_error);
    Error error;

    if (object == NULL || !json_is_object(object)) {
        Error_Set(&error, ERR_PARSE, "control", STR(""), "line %d: %s",
                  parse_error.line, object ? "no object" : parse_error.text);
        Control_RespondError(request, &error);
        json_decref(object);
        return NULL;
    }
    return object;
}

void
Control_RespondError(HttpRequest *request, const Error *error)
{
    json_t *body = json_pack("{s:s, s:s}", "error", Error_Name(error->code),
                             "text", error->text);

    HttpRequest_RespondJson(request, 400, body);
}
