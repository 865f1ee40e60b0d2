#ifndef AGATECRANK_CORE_CUSTOMERTABLE_H
#define AGATECRANK_CORE_CUSTOMERTABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "Error.h"
#include "Str.h"

/**
 * typedef CustomerTable - the customers of one version of a configuration, and
 *     the keys by which their callers identify themselves
 *
 * Only digests of keys are kept, so that a key is neither in memory dumps nor
 * found byte by byte from the duration of lookups.
 */
typedef struct CustomerTable_ CustomerTable;

/** Longest key */
#define CUSTOMER_KEY_MAX_BYTES 256

/**
 * struct Customer_ - a customer
 * @rate_per_s, @burst: requests that it may send over all hosts together, see
 *                      AllowanceGrantor; a rate of 0 is no limit
 * @priority: rank of its requests in place of that of their route, 0 is the
 *            most urgent; if @has_priority
 */
typedef struct Customer_ {
    Str name;
    double rate_per_s;
    double burst;
    uint32_t priority;
    bool has_priority;
} Customer;

/** CustomerTable_Create() - create an empty table */
CustomerTable *CustomerTable_Create(void);

/** CustomerTable_Destroy() - NULL is allowed */
void CustomerTable_Destroy(CustomerTable *this);

/**
 * CustomerTable_Add() - copy a customer into the table
 *
 * Return: 0, ERR_INVALID for a customer without a name or with a limit that is
 * no number, or ERR_CONFLICT if there is one of that name.
 */
int CustomerTable_Add(CustomerTable *this, const Customer *customer,
                      Error *error);

/**
 * CustomerTable_AddKey() - add a key of a customer
 * @name: of the customer
 *
 * Return: 0, ERR_NOT_FOUND without such a customer, ERR_INVALID for an empty or
 * too long key, or ERR_CONFLICT if another customer has it.
 */
int CustomerTable_AddKey(CustomerTable *this, Str name, Str key, Error *error);

/** CustomerTable_ByKey() - the customer that has a key, or NULL */
const Customer *CustomerTable_ByKey(const CustomerTable *this, Str key);

/** CustomerTable_ByName() - the customer of a name, or NULL */
const Customer *CustomerTable_ByName(const CustomerTable *this, Str name);

/** CustomerTable_ForEach() - visit all customers with their number of keys */
void CustomerTable_ForEach(const CustomerTable *this,
                           void (*visit)(void *user, const Customer *customer,
                                         unsigned keys),
                           void *user);

/** CustomerTable_HasSameKeys() - whether a customer has the same keys in both */
bool CustomerTable_HasSameKeys(const CustomerTable *this,
                               const CustomerTable *other, Str name);

/** CustomerTable_Count() - number of customers */
size_t CustomerTable_Count(const CustomerTable *this);

#endif
