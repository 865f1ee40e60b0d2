#ifndef AGATECRANK_GATEWAY_JOBSTOP_H
#define AGATECRANK_GATEWAY_JOBSTOP_H

#include "DispatcherPrivate.h"

/** JobStop_Fits() - whether the job may be sent on before the host ends */
bool JobStop_Fits(const Job *job);

/**
 * JobStop_Reason() - why a job that does not fit is rejected
 *
 * Return: static string; "stopping" means to a peer that no upstream has got
 * the request.
 */
const char *JobStop_Reason(const Job *job);

/**
 * JobStop_Refuse() - reject the job if it does not fit; releases the job then
 *
 * Return: whether it was rejected.
 */
bool JobStop_Refuse(Job *job);

#endif
