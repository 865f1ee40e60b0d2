#ifndef AGATECRANK_CONFIG_DIAGNOSTICS_H
#define AGATECRANK_CONFIG_DIAGNOSTICS_H

#include <glib.h>

#include "Str.h"

/** DIAGNOSTICS_MAX - errors kept per document; others are only counted */
#define DIAGNOSTICS_MAX 64

/**
 * struct Diagnostic_ - one error in a document
 * @line: line from 1, 0 if the error belongs to no line
 * @column: column from 1, 0 if unknown
 * @key: full key such as "listen.caller_port", may be empty
 * @reason: the error and the expected value, one line
 */
typedef struct Diagnostic_ {
    uint32_t line;
    uint32_t column;
    char *key;
    char *reason;
} Diagnostic;

/** typedef Diagnostics - all errors found in one file, ordered by line */
typedef struct Diagnostics_ Diagnostics;

/** Diagnostics_Create() - an empty list for the file @file */
Diagnostics *Diagnostics_Create(Str file);

/** Diagnostics_Destroy() - release the list */
void Diagnostics_Destroy(Diagnostics *this);

/** Diagnostics_Add() - add an error; @format gives its reason */
void Diagnostics_Add(Diagnostics *this, uint32_t line, uint32_t column,
                     Str key, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** Diagnostics_Count() - number of errors found, including those not kept */
size_t Diagnostics_Count(const Diagnostics *this);

/** Diagnostics_Get() - error @index, ordered by line and column */
const Diagnostic *Diagnostics_Get(Diagnostics *this, size_t index);

/** Diagnostics_Write() - append lines "FILE:LINE:COLUMN: KEY: REASON" */
void Diagnostics_Write(Diagnostics *this, GString *out);

#endif
