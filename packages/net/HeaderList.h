#ifndef AGATECRANK_NET_HEADERLIST_H
#define AGATECRANK_NET_HEADERLIST_H

#include "Str.h"

/** typedef HeaderList - ordered HTTP header fields that owns its bytes */
typedef struct HeaderList_ HeaderList;

/** HeaderList_Create() - an empty list */
HeaderList *HeaderList_Create(void);

/** HeaderList_Destroy() - release the list; NULL is allowed */
void HeaderList_Destroy(HeaderList *this);

/** HeaderList_Add() - append a field; names are kept in lower case */
void HeaderList_Add(HeaderList *this, Str name, Str value);

/** HeaderList_AddInt() - append a field with a whole number */
void HeaderList_AddInt(HeaderList *this, Str name, int64_t value);

/** HeaderList_Set() - replace every field of that name by one */
void HeaderList_Set(HeaderList *this, Str name, Str value);

/** HeaderList_Remove() - drop every field of that name */
void HeaderList_Remove(HeaderList *this, Str name);

/** HeaderList_Get() - first value of a name, or an empty Str */
Str HeaderList_Get(const HeaderList *this, Str name);

/** HeaderList_ContentLength() - the length of the body, or -1 */
int64_t HeaderList_ContentLength(const HeaderList *this);

/** HeaderList_Has() - true if a field of that name is there */
bool HeaderList_Has(const HeaderList *this, Str name);

/** HeaderList_Count() - number of fields */
size_t HeaderList_Count(const HeaderList *this);

/** HeaderList_At() - field @i, in the order of adding */
void HeaderList_At(const HeaderList *this, size_t i, Str *name, Str *value);

/** HeaderList_CopyAll() - append every field of @from */
void HeaderList_CopyAll(const HeaderList *from, HeaderList *to);

/**
 * HeaderList_IsHopByHop() - true for fields that concern one connection
 *
 * Source: RFC 9110, section 7.6.1.
 */
bool HeaderList_IsHopByHop(Str name);

/**
 * HeaderList_CopyEndToEnd() - append the fields that are passed on
 *
 * Left out are those that concern one connection and content-length, which
 * is written anew.
 */
void HeaderList_CopyEndToEnd(const HeaderList *from, HeaderList *to);

#endif
