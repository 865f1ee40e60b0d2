#ifndef AGATECRANK_CONFIG_CONFIGVALIDATION_H
#define AGATECRANK_CONFIG_CONFIGVALIDATION_H

#include "ConfigStatePrivate.h"

/**
 * struct ConfigValidation_ - validation of one publication against a state
 * @offset: offset of the record in the config stream
 * @check_signature: false for a preview, which needs no signature
 * @author: operator whose rights apply
 * @document: parsed document of the publication
 * @verdict: receives the reasons of a rejection
 */
typedef struct ConfigValidation_ {
    ConfigState *state;
    const Publication *publication;
    uint64_t offset;
    bool check_signature;
    const ConfigObject *author;
    ConfigDocument *document;
    ConfigVerdict *verdict;
} ConfigValidation;

/** ConfigValidation_Reject() - append a reason, return @outcome */
ConfigOutcome ConfigValidation_Reject(const ConfigValidation *this,
                                      ConfigOutcome outcome,
                                      const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** ConfigValidation_HasTestFault() - true if a test has injected @fault */
bool ConfigValidation_HasTestFault(const ConfigState *state,
                                   ConfigTestFault fault);

/**
 * ConfigValidation_CheckDocument() - check the document before it is applied
 *
 * Checks the author's rights, the base of each object, and that deleted
 * objects exist.
 */
ConfigOutcome ConfigValidation_CheckDocument(const ConfigValidation *this);

/**
 * ConfigValidation_CheckResult() - check the state after the change
 * @changes: changes as left by ConfigTable_Swap()
 * @count: number of changes
 * @duplicate: result of ConfigTable_Swap()
 *
 * Checks that references exist, credentials are unique, limits are kept and a
 * global operator remains.
 */
ConfigOutcome ConfigValidation_CheckResult(const ConfigValidation *this,
                                           const ConfigChange *changes,
                                           size_t count,
                                           const ConfigEntry *duplicate);

/**
 * ConfigValidation_OwningLine() - line that an entry belongs to
 *
 * Return: for a deleted object, the line that it belonged to.
 */
Str ConfigValidation_OwningLine(const ConfigEntry *entry);

#endif
