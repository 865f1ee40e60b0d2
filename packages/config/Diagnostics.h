#ifndef AGATECRANK_CONFIG_DIAGNOSTICS_H
#define AGATECRANK_CONFIG_DIAGNOSTICS_H

#include <glib.h>

#include "Str.h"

/** DIAGNOSTICS_MAX - faults kept of one document; later ones are only counted */
#define DIAGNOSTICS_MAX 64

/**
 * struct Diagnostic_ - one fault of a document
 * @line: line from 1, 0 if the fault belongs to no line
 * @column: column from 1, 0 if unknown
 * @key: full key such as "listen.caller_port", may be empty
 * @reason: what is wrong and what would be right, one line
 */
typedef struct Diagnostic_ {
    uint32_t line;
    uint32_t column;
    char *key;
    char *reason;
} Diagnostic;

/** typedef Diagnostics - all faults found in one file, in order of their lines */
typedef struct Diagnostics_ Diagnostics;

/** Diagnostics_Create() - an empty list for the file named @file */
Diagnostics *Diagnostics_Create(Str file);

/** Diagnostics_Destroy() - release the list */
void Diagnostics_Destroy(Diagnostics *this);

/** Diagnostics_Add() - add one fault; @format gives its reason */
void Diagnostics_Add(Diagnostics *this, uint32_t line, uint32_t column,
                     Str key, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** Diagnostics_Count() - number of faults found, kept or not */
size_t Diagnostics_Count(const Diagnostics *this);

/** Diagnostics_Get() - fault @index in order of lines and columns */
const Diagnostic *Diagnostics_Get(Diagnostics *this, size_t index);

/** Diagnostics_Write() - append "FILE:LINE:COLUMN: KEY: REASON" lines to @out */
void Diagnostics_Write(Diagnostics *this, GString *out);

#endif
