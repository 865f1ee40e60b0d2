#ifndef AGATECRANK_CONFIG_FAULTS_H
#define AGATECRANK_CONFIG_FAULTS_H

#include <glib.h>

#include "Str.h"

/** FAULTS_MAX - faults kept of one document; later ones are only counted */
#define FAULTS_MAX 64

/**
 * struct Fault_ - one fault of a document
 * @line: line from 1, 0 if the fault belongs to no line
 * @column: column from 1, 0 if unknown
 * @key: full key such as "listen.caller_port", may be empty
 * @reason: what is wrong and what would be right, one line
 */
typedef struct Fault_ {
    uint32_t line;
    uint32_t column;
    char *key;
    char *reason;
} Fault;

/** typedef Faults - all faults found in one file, in order of their lines */
typedef struct Faults_ Faults;

/** Faults_Create() - an empty list for the file named @file */
Faults *Faults_Create(Str file);

/** Faults_Destroy() - release the list */
void Faults_Destroy(Faults *this);

/** Faults_Add() - add one fault; @format gives its reason */
void Faults_Add(Faults *this, uint32_t line, uint32_t column, Str key,
                const char *format, ...) __attribute__((format(printf, 5, 6)));

/** Faults_Count() - number of faults found, kept or not */
size_t Faults_Count(const Faults *this);

/** Faults_Get() - fault @index in order of lines and columns */
const Fault *Faults_Get(Faults *this, size_t index);

/** Faults_Write() - append "FILE:LINE:COLUMN: KEY: REASON" lines to @out */
void Faults_Write(Faults *this, GString *out);

#endif
