#ifndef AGATECRANK_STANDINS_SETTINGS_H
#define AGATECRANK_STANDINS_SETTINGS_H

#include <jansson.h>

#include "Error.h"

typedef enum SettingKind_ {
    SETTING_INT,  /* int64_t */
    SETTING_REAL, /* double */
    SETTING_TEXT, /* char *, allocated, never NULL after Settings_Parse() */
} SettingKind;

/**
 * struct Setting_ - one setting of a program, set by an option or at run time
 * @name: option name with dashes; the JSON key has underscores instead
 * @kind: type of the field
 * @offset: offset of the field in the struct of values
 * @live: may be changed at run time by Settings_Apply()
 * @help: one line for --help
 */
typedef struct Setting_ {
    const char *name;
    SettingKind kind;
    size_t offset;
    bool live;
    const char *help;
} Setting;

/**
 * Settings_Parse() - set @values from command line options
 * @table: the settings, @count of them
 * @values: struct with the defaults; strings are literals or NULL and are
 *          replaced by copies
 *
 * Return: 0, 1 if --help was printed, or ERR_INVALID if a message was.
 */
int Settings_Parse(const Setting *table, size_t count, void *values, int argc,
                   char **argv);

/**
 * Settings_Apply() - change live settings from a JSON object
 *
 * Keys that are not in @table are ignored; the program may handle them.
 * Return: 0, or ERR_INVALID if a value has the wrong type or a setting cannot
 * be changed at run time; then nothing is changed.
 */
int Settings_Apply(const Setting *table, size_t count, void *values,
                   const json_t *object, Error *error);

/** Settings_Show() - all settings as a new JSON object */
json_t *Settings_Show(const Setting *table, size_t count, const void *values);

/** Settings_Clear() - free the strings */
void Settings_Clear(const Setting *table, size_t count, void *values);

#endif
