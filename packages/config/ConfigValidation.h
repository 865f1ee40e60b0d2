#ifndef AGATECRANK_CONFIG_CONFIGVALIDATION_H
#define AGATECRANK_CONFIG_CONFIGVALIDATION_H

#include "ConfigStatePrivate.h"

/**
 * struct ConfigValidation_ - one record on its way through the publication rule
 * @author: operator object whose rights count
 * @signature: false if the signature is not checked (preview)
 */
typedef struct ConfigValidation_ {
    ConfigState *state;
    const Publication *publication;
    uint64_t offset;
    bool signature;
    const ConfigObject *author;
    ConfigDocument *document;
    ConfigVerdict *verdict;
} ConfigValidation;

/** ConfigValidation_Reject() - add a line to the verdict; returns @outcome */
ConfigOutcome ConfigValidation_Reject(const ConfigValidation *this,
                                      ConfigOutcome outcome,
                                      const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** ConfigValidation_HasTestFault() - true if a rule is left out for a test */
bool ConfigValidation_HasTestFault(const ConfigState *state,
                                   ConfigTestFault fault);

/** ConfigValidation_CheckDocument() - rights, bases and deletions */
ConfigOutcome ConfigValidation_CheckDocument(const ConfigValidation *this);

/**
 * ConfigValidation_CheckResult() - rules for the state after the change
 * @changes: as ConfigTable_Swap() has left them
 * @clash: result of ConfigTable_Swap()
 */
ConfigOutcome ConfigValidation_CheckResult(const ConfigValidation *this,
                                           const ConfigChange *changes,
                                           size_t count,
                                           const ConfigEntry *clash);

/** ConfigValidation_OwningLine() - line of the entry now, or when it was deleted */
Str ConfigValidation_OwningLine(const ConfigEntry *entry);

#endif
