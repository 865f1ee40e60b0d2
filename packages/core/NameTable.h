#ifndef AGATECRANK_CORE_NAMETABLE_H
#define AGATECRANK_CORE_NAMETABLE_H

#include "Str.h"

/** NAME_INDEX_NONE - no index */
#define NAME_INDEX_NONE UINT32_MAX

/** typedef NameTable - dense indexes for names; an index is never reused */
typedef struct NameTable_ NameTable;

/** NameTable_Create() - an empty table */
NameTable *NameTable_Create(void);

/** NameTable_Destroy() - release the table */
void NameTable_Destroy(NameTable *this);

/** NameTable_Find() - index of a name, or NAME_INDEX_NONE */
uint32_t NameTable_Find(const NameTable *this, Str name);

/** NameTable_Intern() - index of a name, added if it is new */
uint32_t NameTable_Intern(NameTable *this, Str name);

/** NameTable_Name() - name of an index, empty if there is none */
Str NameTable_Name(const NameTable *this, uint32_t index);

/** NameTable_Count() - number of names */
uint32_t NameTable_Count(const NameTable *this);

#endif
