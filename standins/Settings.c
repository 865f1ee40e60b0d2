#include "Settings.h"

#include <argtable2.h>
#include <glib.h>

static void *
field(const Setting *setting, void *values)
{
    return (char *)values + setting->offset;
}

static void
copy_default_texts(const Setting *table, size_t count, void *values)
{
    for (size_t i = 0; i < count; i++) {
        char **text = field(&table[i], values);

        if (table[i].kind == SETTING_TEXT) {
            *text = g_strdup(*text != NULL ? *text : "");
        }
    }
}

static void
set_text(const Setting *setting, void *values, const char *value)
{
    char **text = field(setting, values);

    g_free(*text);
    *text = g_strdup(value);
}

static int
set_from_option(const Setting *setting, void *values, const char *value)
{
    char *end = NULL;

    switch (setting->kind) {
    case SETTING_INT:
        *(int64_t *)field(setting, values) = g_ascii_strtoll(value, &end, 10);
        break;
    case SETTING_REAL:
        *(double *)field(setting, values) = g_ascii_strtod(value, &end);
        break;
    case SETTING_TEXT:
        set_text(setting, values, value);
        return 0;
    }
    return end != value && *end == '\0' ? 0 : ERR_INVALID;
}

static int
apply_options(const Setting *table, size_t count, void *values,
              struct arg_str **options)
{
    for (size_t i = 0; i < count; i++) {
        if (options[i]->count == 0) {
            continue;
        }
        if (set_from_option(&table[i], values, options[i]->sval[0]) < 0) {
            fprintf(stderr, "--%s: not a number: %s\n", table[i].name,
                    options[i]->sval[0]);
            return ERR_INVALID;
        }
    }
    return 0;
}

int
Settings_Parse(const Setting *table, size_t count, void *values, int argc,
               char **argv)
{
    void **args = g_new0(void *, count + 2);
    struct arg_lit *help = arg_lit0("h", "help", "print this text");
    struct arg_end *end = arg_end(8);
    int code = 0;

    copy_default_texts(table, count, values);
    for (size_t i = 0; i < count; i++) {
        const char *type = table[i].kind == SETTING_TEXT ? "<text>" : "<n>";

        args[i] = arg_str0(NULL, table[i].name, type, table[i].help);
    }
    args[count] = help;
    args[count + 1] = end;
    if (arg_parse(argc, argv, args) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        code = ERR_INVALID;
    }
    else if (help->count > 0) {
        arg_print_glossary_gnu(stdout, args);
        code = 1;
    }
    else {
        code = apply_options(table, count, values, (struct arg_str **)args);
    }
    arg_freetable(args, count + 2);
    g_free(args);
    return code;
}

static const json_t *
find_value(const Setting *setting, const json_t *object)
{
    g_autofree char *key = g_strdelimit(g_strdup(setting->name), "-", '_');

    return json_object_get(object, key);
}

static bool
has_type(const Setting *setting, const json_t *value)
{
    switch (setting->kind) {
    case SETTING_INT:
        return json_is_integer(value);
    case SETTING_REAL:
        return json_is_number(value);
    case SETTING_TEXT:
        return json_is_string(value);
    }
    return false;
}

static int
check_object(const Setting *table, size_t count, const json_t *object,
             Error *error)
{
    if (!json_is_object(object)) {
        return Error_Set(error, ERR_INVALID, "control", STR(""),
                         "the body must be a JSON object");
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *value = find_value(&table[i], object);

        if (value != NULL && !table[i].live) {
            return Error_Set(error, ERR_INVALID, "control", STR(""),
                             "%s can not be changed at run time",
                             table[i].name);
        }
        if (value != NULL && !has_type(&table[i], value)) {
            return Error_Set(error, ERR_INVALID, "control", STR(""),
                             "%s has the wrong type", table[i].name);
        }
    }
    return 0;
}

static void
set_from_json(const Setting *setting, void *values, const json_t *value)
{
    switch (setting->kind) {
    case SETTING_INT:
        *(int64_t *)field(setting, values) = json_integer_value(value);
        return;
    case SETTING_REAL:
        *(double *)field(setting, values) = json_number_value(value);
        return;
    case SETTING_TEXT:
        set_text(setting, values, json_string_value(value));
        return;
    }
}

int
Settings_Apply(const Setting *table, size_t count, void *values,
               const json_t *object, Error *error)
{
    int code = check_object(table, count, object, error);

    if (code < 0) {
        return code;
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *value = find_value(&table[i], object);

        if (value != NULL) {
            set_from_json(&table[i], values, value);
        }
    }
    return 0;
}

json_t *
Settings_Show(const Setting *table, size_t count, const void *values)
{
    json_t *object = json_object();

    for (size_t i = 0; i < count; i++) {
        const void *address = (const char *)values + table[i].offset;
        g_autofree char *key = g_strdelimit(g_strdup(table[i].name), "-", '_');
        json_t *value = NULL;

        switch (table[i].kind) {
        case SETTING_INT:
            value = json_integer(*(const int64_t *)address);
            break;
        case SETTING_REAL:
            value = json_real(*(const double *)address);
            break;
        case SETTING_TEXT:
            value = json_string(*(char *const *)address);
            break;
        }
        json_object_set_new(object, key, value);
    }
    return object;
}

void
Settings_Clear(const Setting *table, size_t count, void *values)
{
    for (size_t i = 0; i < count; i++) {
        if (table[i].kind == SETTING_TEXT) {
            char **text = field(&table[i], values);

            g_free(*text);
            *text = NULL;
        }
    }
}
