#ifndef AGATECRANK_STANDINS_SETTINGS_H
#define AGATECRANK_STANDINS_SETTINGS_H

#include <jansson.h>

#include "Error.h"

typedef enum SettingKind_ {
    SETTING_INT,  /* int64_t */
    SETTING_REAL, /* double */
    SETTING_TEXT, /* char *, owned, never NULL after parsing */
} SettingKind;

/**
 * struct Setting_ - one value that is set by an option or at run time
 * @name: option name with dashes; the JSON key has underscores instead
 * @kind: type of the field
 * @offset: place of the field in the values
 * @live: may be changed by a JSON object at run time
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
 * Settings_Parse() - fill @values, which hold the defaults, from options
 *
 * Text defaults must be literals or NULL; every text is copied.
 * Return: 0, 1 after --help was printed, or ERR_INVALID after a message.
 */
int Settings_Parse(const Setting *table, size_t count, void *values, int argc,
                   char **argv);

/**
 * Settings_Apply() - change live settings from a JSON object
 *
 * Keys that are in no table are left to the program.
 * Return: 0, or ERR_INVALID if a value has the wrong type or a setting can
 * not be changed at run time; then nothing is changed.
 */
int Settings_Apply(const Setting *table, size_t count, void *values,
                   const json_t *object, Error *error);

/** Settings_Show() - all settings as a new JSON object */
json_t *Settings_Show(const Setting *table, size_t count, const void *values);

/** Settings_Clear() - release the texts */
void Settings_Clear(const Setting *table, size_t count, void *values);

#endif
