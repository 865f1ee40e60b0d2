#ifndef AGATECRANK_CORE_NAMETABLE_H
#define AGATECRANK_CORE_NAMETABLE_H

#include "Str.h"

/** NAME_INDEX_NONE - marks a missing index */
#define NAME_INDEX_NONE UINT32_MAX

/**
 * typedef NameTable - interns names as dense indexes that start at 0
 *
 * Names are never removed, so an index always means the same name.
 */
typedef struct NameTable_ NameTable;

/** NameTable_Create() - create an empty table */
NameTable *NameTable_Create(void);

/** NameTable_Destroy() - free the table and its names */
void NameTable_Destroy(NameTable *this);

/** NameTable_Find() - return the index of a name, or NAME_INDEX_NONE */
uint32_t NameTable_Find(const NameTable *this, Str name);

/** NameTable_Intern() - return the index of a name; adds a new name */
uint32_t NameTable_Intern(NameTable *this, Str name);

/**
 * NameTable_Name() - return the name of an index
 *
 * Return: the name, owned by the table; empty if @index is not in use.
 */
Str NameTable_Name(const NameTable *this, uint32_t index);

/** NameTable_Count() - return the number of names */
uint32_t NameTable_Count(const NameTable *this);

#endif
