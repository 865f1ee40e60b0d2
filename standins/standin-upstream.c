#include <stdio.h>
#include <string.h>

#include "Control.h"
#include "Upstream.h"

static GPtrArray *upstreams;

static int
apply_to_all(const json_t *object, Error *error)
{
    for (guint i = 0; i < upstreams->len; i++) {
        int code = Upstream_ApplyControl(upstreams->pdata[i], object, error);

        if (code < 0) {
            return code;
        }
    }
    return 0;
}

/* A control request applies to the upstream that received it, or to all
 * upstreams if "all" is true. */
static void
serve_control(Upstream *upstream, HttpRequest *request)
{
    Error error;
    json_t *object;
    int code;

    if (strcmp(HttpRequest_Method(request), "POST") == 0) {
        object = Control_ParseBody(request);
        if (object == NULL) {
            return;
        }
        code = json_is_true(json_object_get(object, "all"))
                   ? apply_to_all(object, &error)
                   : Upstream_ApplyControl(upstream, object, &error);
        json_decref(object);
        if (code < 0) {
            Control_RespondError(request, &error);
            return;
        }
    }
    HttpRequest_RespondJson(request, 200, Upstream_ToJson(upstream));
}

static int
create_upstreams(const UpstreamEnvironment *environment,
                 const UpstreamSettings *settings)
{
    for (int i = 0; i < (int)settings->count; i++) {
        g_autofree char *id = g_strdup_printf("%s-%d", settings->id_prefix, i);
        int port = settings->port > 0 ? (int)settings->port + i : 0;
        Upstream *upstream =
            Upstream_Create(environment, id, port,
                            (uint64_t)settings->seed + (uint64_t)i, settings);

        if (upstream == NULL) {
            fprintf(stderr, "can not listen on port %d\n", port);
            return ERR_UNAVAILABLE;
        }
        g_ptr_array_add(upstreams, upstream);
    }
    for (guint i = 0; i < upstreams->len; i++) {
        printf("port=%d id=%s\n", Upstream_Port(upstreams->pdata[i]),
               Upstream_Id(upstreams->pdata[i]));
    }
    fflush(stdout);
    return 0;
}

static void
free_upstream(void *pointer)
{
    Upstream_Destroy(pointer);
}

static int
serve(const UpstreamSettings *settings)
{
    Clock *clock = Clock_CreateSystem();
    UpstreamEnvironment environment = {
        .loop = HttpLoop_Create(),
        .clock = clock,
        .journal = Journal_Open(settings->journal, clock),
        .control = serve_control,
    };
    int code = 0;

    upstreams = g_ptr_array_new_with_free_func(free_upstream);
    if (environment.journal == NULL) {
        fprintf(stderr, "%s: can not be written\n", settings->journal);
        code = ERR_IO;
    }
    else {
        code = create_upstreams(&environment, settings);
    }
    if (code == 0) {
        HttpLoop_Run(environment.loop, settings->spin != 0);
    }
    HttpLoop_Close(environment.loop);
    g_ptr_array_free(upstreams, TRUE);
    HttpLoop_Destroy(environment.loop);
    Journal_Close(environment.journal);
    Clock_Destroy(clock);
    return code;
}

int
main(int argc, char **argv)
{
    UpstreamSettings settings = UpstreamSettings_Default();
    int code = Settings_Parse(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                              &settings, argc, argv);
    int exit_code = code < 0 ? 2 : 0;

    if (code == 0) {
        exit_code = serve(&settings) < 0 ? 1 : 0;
    }
    Settings_Clear(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT, &settings);
    return exit_code;
}
