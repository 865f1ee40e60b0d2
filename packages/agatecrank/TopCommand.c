#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <termios.h>
#include <unistd.h>

#include "AdminClient.h"
#include "Command.h"
#include "Output.h"

#define INTERVAL_DEFAULT_MS 2000
#define INTERVAL_MIN_MS 100
#define KEY_CTRL_C 3
#define CLEAR_SCREEN "\033[H\033[J"

static const Column share_columns[] = {
    {"LINE", "line"},
    {"SERVICE", "service"},
    {"SHORT", "short"},
    {"DEMAND", "demand_slots"},
    {"ALLOWANCE", "allowance_slots"},
    {"QUEUED", "queued"},
    {"ADMITTED/S", "admitted_per_s"},
    {"REFUSED/S", "refused_per_s"},
    {NULL, NULL},
};

static const Column upstream_columns[] = {
    {"UPSTREAM", "name"},   {"SERVICE", "service"},
    {"DOMAIN", "domain"},   {"INFLIGHT", "inflight"},
    {"LEAVING", "leaving"}, {"DRAINED", "drained"},
    {NULL, NULL},
};

/** struct Top_ - arguments and state of "top" */
typedef struct Top_ {
    AdminClient *client;
    int interval_ms;
    int refresh_count; /* 0: until a key quits */
    bool json;
    bool in_place;
    bool reads_keys; /* only if standard input is a terminal */
    struct termios saved_termios;
    GHashTable *previous; /* "line service" -> item of the last refresh */
    gint64 previous_time; /* microseconds */
} Top;

static void
enable_key_input(Top *this)
{
    struct termios raw;

    this->reads_keys = isatty(STDIN_FILENO) &&
                       tcgetattr(STDIN_FILENO, &this->saved_termios) == 0;
    if (!this->reads_keys) {
        return;
    }
    raw = this->saved_termios;
    raw.c_lflag &= ~(tcflag_t)(ICANON | ECHO | ISIG);
    tcsetattr(STDIN_FILENO, TCSANOW, &raw);
}

static void
restore_terminal(const Top *this)
{
    if (this->reads_keys) {
        tcsetattr(STDIN_FILENO, TCSANOW, &this->saved_termios);
    }
}

/* Waits for one interval. Returns true if a key quits the command. */
static bool
wait_interval(const Top *this)
{
    gint64 end = g_get_monotonic_time() + (gint64)this->interval_ms * 1000;
    struct pollfd input = {.fd = STDIN_FILENO, .events = POLLIN};

    for (;;) {
        gint64 left_ms = (end - g_get_monotonic_time()) / 1000;
        char key;

        if (left_ms <= 0) {
            return false;
        }
        if (poll(&input, this->reads_keys ? 1 : 0, (int)left_ms) <= 0) {
            continue;
        }
        if (read(STDIN_FILENO, &key, 1) != 1 || key == 'q' ||
            key == KEY_CTRL_C) {
            return true;
        }
    }
}

static void
set_rate(json_t *item, const json_t *old, const char *key, const char *rate,
         double seconds)
{
    json_int_t now = json_integer_value(json_object_get(item, key));
    json_int_t before = json_integer_value(json_object_get(old, key));

    /* The counters of a host restart at 0 with the host. */
    if (old != NULL && seconds > 0 && now >= before) {
        json_object_set_new(item, rate,
                            json_real((double)(now - before) / seconds));
    }
}

static void
add_rates(Top *this, const json_t *shares)
{
    gint64 time = g_get_monotonic_time();
    double seconds = (double)(time - this->previous_time) / 1e6;
    GHashTable *current = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
    size_t index;
    json_t *item;

    json_array_foreach(shares, index, item)
    {
        char *name = g_strdup_printf(
            "%s %s", json_string_value(json_object_get(item, "line")),
            json_string_value(json_object_get(item, "service")));
        const json_t *old =
            this->previous ? g_hash_table_lookup(this->previous, name) : NULL;

        set_rate(item, old, "admitted", "admitted_per_s", seconds);
        set_rate(item, old, "refused", "refused_per_s", seconds);
        g_hash_table_replace(current, name, json_incref(item));
    }
    if (this->previous != NULL) {
        g_hash_table_destroy(this->previous);
    }
    this->previous = current;
    this->previous_time = time;
}

static void
print_tables(const Top *this, const json_t *shares, const json_t *upstreams)
{
    GString *out;

    if (this->json) {
        json_t *root =
            json_pack("{s:O,s:O}", "lines", shares, "upstreams", upstreams);

        Output_Json(root);
        json_decref(root);
        return;
    }
    out = g_string_new(this->in_place ? CLEAR_SCREEN : NULL);
    Output_Table(shares, share_columns, out);
    g_string_append_c(out, '\n');
    Output_Table(upstreams, upstream_columns, out);
    if (this->in_place) {
        g_string_append(out, "\nq ends\n");
    }
    fputs(out->str, stdout);
    fflush(stdout);
    g_string_free(out, TRUE);
}

static int
refresh(Top *this)
{
    json_t *shares = NULL, *upstreams = NULL;
    int code = AdminClient_Read(this->client, "/v1/shares", &shares);

    if (code == COMMAND_OK) {
        code = AdminClient_Read(this->client, "/v1/upstreams", &upstreams);
    }
    if (code == COMMAND_OK) {
        const json_t *items = json_object_get(shares, "items");

        add_rates(this, items);
        print_tables(this, items, json_object_get(upstreams, "items"));
    }
    json_decref(shares);
    json_decref(upstreams);
    return code;
}

static int
run(Top *this)
{
    int code = refresh(this);

    for (int i = 1; code == COMMAND_OK &&
                    (this->refresh_count == 0 || i < this->refresh_count);
         i++) {
        if (wait_interval(this)) {
            break;
        }
        code = refresh(this);
    }
    return code;
}

int
TopCommand_Run(int argc, char **argv)
{
    CommonArgs common = CommonArgs_Create();
    struct arg_int *refresh_count =
        arg_int0(NULL, "count", "N", "exit after N refreshes");
    struct arg_int *interval = arg_int0(NULL, "interval-ms", "MS",
                                        "refresh interval (default: 2000)");
    void *table[] = {common.config, common.output, refresh_count,
                     interval,      common.help,   common.end};
    CliSettings *settings = NULL;
    Top this = {0};
    int code;

    refresh_count->ival[0] = 0;
    interval->ival[0] = INTERVAL_DEFAULT_MS;
    if (CommonArgs_Parse(
            &common, argc, argv, table, G_N_ELEMENTS(table),
            "Shows your lines and all upstreams, as one host sees them, and "
            "refreshes the\ntables in place; q or Ctrl-C quits. Prints plain "
            "tables if standard output is\nnot a "
            "terminal.\n" COMMAND_READ_EXIT_HELP,
            &code)) {
        settings = CommonArgs_ReadSettings(&common);
        code = COMMAND_USAGE;
    }
    if (settings != NULL) {
        this.client = AdminClient_Create(settings);
    }
    if (this.client != NULL) {
        this.refresh_count = MAX(refresh_count->ival[0], 0);
        this.interval_ms = MAX(interval->ival[0], INTERVAL_MIN_MS);
        this.json = CommonArgs_IsJson(&common);
        this.in_place = !this.json && isatty(STDOUT_FILENO);
        enable_key_input(&this);
        code = run(&this);
        restore_terminal(&this);
    }
    if (this.previous != NULL) {
        g_hash_table_destroy(this.previous);
    }
    AdminClient_Destroy(this.client);
    CliSettings_Destroy(settings);
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
