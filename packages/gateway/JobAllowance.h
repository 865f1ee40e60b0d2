#ifndef AGATECRANK_GATEWAY_JOBALLOWANCE_H
#define AGATECRANK_GATEWAY_JOBALLOWANCE_H

#include "DispatcherPrivate.h"

/**
 * JobAllowance_Admit() - take the request out of the limit of its customer
 *
 * Return: false if the job waits for the answer of another host, or was rejected
 * and released.
 */
bool JobAllowance_Admit(Job *job);

/** JobAllowance_End() - the job ends; returns what was not used */
void JobAllowance_End(Job *job);

/** JobAllowance_DestroyQuestion() - for Dispatcher.questions */
void JobAllowance_DestroyQuestion(gpointer data);

#endif
