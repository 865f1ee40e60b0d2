#ifndef AGATECRANK_CONFIG_CONFIGTRIAL_H
#define AGATECRANK_CONFIG_CONFIGTRIAL_H

#include "ConfigStatePrivate.h"

/**
 * struct ConfigTrial_ - one record on its way through the publication rule
 * @author: operator object whose rights count
 * @signature: false if the signature is not checked (preview)
 */
typedef struct ConfigTrial_ {
    ConfigState *state;
    const Publication *publication;
    uint64_t offset;
    bool signature;
    const ConfigObject *author;
    ConfigDocument *document;
    ConfigVerdict *verdict;
} ConfigTrial;

/** ConfigTrial_Refuse() - add a line to the verdict; returns @outcome */
ConfigOutcome ConfigTrial_Refuse(const ConfigTrial *this,
                                 ConfigOutcome outcome, const char *format,
                                 ...) __attribute__((format(printf, 3, 4)));

/** ConfigTrial_HasFault() - true if a rule is left out for a test */
bool ConfigTrial_HasFault(const ConfigState *state, ConfigTestFault fault);

/** ConfigTrial_CheckDocument() - rights, bases and deletions */
ConfigOutcome ConfigTrial_CheckDocument(const ConfigTrial *this);

/**
 * ConfigTrial_CheckResult() - rules for the state after the change
 * @changes: as ConfigTable_Swap() has left them
 * @clash: result of ConfigTable_Swap()
 */
ConfigOutcome ConfigTrial_CheckResult(const ConfigTrial *this,
                                      const ConfigChange *changes,
                                      size_t count, const ConfigEntry *clash);

/** ConfigTrial_Owner() - line of the entry now, or when it was deleted */
Str ConfigTrial_Owner(const ConfigEntry *entry);

#endif
