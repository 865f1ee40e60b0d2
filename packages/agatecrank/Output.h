#ifndef AGATECRANK_AGATECRANK_OUTPUT_H
#define AGATECRANK_AGATECRANK_OUTPUT_H

#include <glib.h>
#include <jansson.h>

/** struct Column_ - table column; an array ends with a NULL title */
typedef struct Column_ {
    const char *title;
    const char *key;
} Column;

/** Output_Table() - append an array of objects as an aligned text table */
void Output_Table(const json_t *items, const Column *columns, GString *out);

/** Output_Fields() - append an object as "key: value" lines, without arrays */
void Output_Fields(const json_t *object, GString *out);

/** Output_Json() - print as indented JSON on standard output */
void Output_Json(const json_t *root);

#endif
