#ifndef AGATECRANK_AGATECRANK_OUTPUT_H
#define AGATECRANK_AGATECRANK_OUTPUT_H

#include <glib.h>
#include <jansson.h>

/** struct Column_ - column of a table; a NULL title ends the list */
typedef struct Column_ {
    const char *title;
    const char *key;
} Column;

/** Output_Table() - append an array of objects as aligned text */
void Output_Table(const json_t *items, const Column *columns, GString *out);

/** Output_Fields() - append an object as "key: value" lines */
void Output_Fields(const json_t *object, GString *out);

/** Output_Json() - print on standard output */
void Output_Json(const json_t *root);

#endif
