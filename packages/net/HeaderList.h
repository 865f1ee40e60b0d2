#ifndef AGATECRANK_NET_HEADERLIST_H
#define AGATECRANK_NET_HEADERLIST_H

#include "Str.h"

/**
 * typedef HeaderList - ordered list of HTTP header fields
 *
 * The list owns copies of the names and values.
 */
typedef struct HeaderList_ HeaderList;

/** HeaderList_Create() - create an empty list */
HeaderList *HeaderList_Create(void);

/** HeaderList_Destroy() - release the list; NULL is allowed */
void HeaderList_Destroy(HeaderList *this);

/**
 * HeaderList_Add() - append a field; the name is stored in lower case
 *
 * @name and @value must not be borrowed from this list.
 */
void HeaderList_Add(HeaderList *this, Str name, Str value);

/** HeaderList_Bytes() - memory that names, values and the list take */
size_t HeaderList_Bytes(const HeaderList *this);

/** HeaderList_AddInt() - append a field with an integer value */
void HeaderList_AddInt(HeaderList *this, Str name, int64_t value);

/** HeaderList_Set() - replace all fields of a name by one field */
void HeaderList_Set(HeaderList *this, Str name, Str value);

/** HeaderList_Remove() - remove all fields of a name */
void HeaderList_Remove(HeaderList *this, Str name);

/**
 * HeaderList_Get() - first value of a name, or an empty Str
 *
 * The value is borrowed until the list changes.
 */
Str HeaderList_Get(const HeaderList *this, Str name);

/**
 * HeaderList_ContentLength() - value of content-length in bytes
 *
 * Return: -1 if the field is absent or not a whole number.
 */
int64_t HeaderList_ContentLength(const HeaderList *this);

/** HeaderList_Has() - true if a field of that name is present */
bool HeaderList_Has(const HeaderList *this, Str name);

/** HeaderList_Count() - number of fields */
size_t HeaderList_Count(const HeaderList *this);

/** HeaderList_At() - field @i in insertion order; results are borrowed */
void HeaderList_At(const HeaderList *this, size_t i, Str *name, Str *value);

/** HeaderList_CopyAll() - append all fields of @from to @to */
void HeaderList_CopyAll(const HeaderList *from, HeaderList *to);

/**
 * HeaderList_IsHopByHop() - true if a field applies to one connection only
 *
 * Source: RFC 9110, section 7.6.1.
 */
bool HeaderList_IsHopByHop(Str name);

/**
 * HeaderList_CopyEndToEnd() - append the fields that a proxy forwards
 *
 * Hop-by-hop fields, the fields that Connection names and content-length are
 * left out; the sender of the forwarded message writes its own content-length.
 */
void HeaderList_CopyEndToEnd(const HeaderList *from, HeaderList *to);

#endif
