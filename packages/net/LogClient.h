#ifndef AGATECRANK_NET_LOGCLIENT_H
#define AGATECRANK_NET_LOGCLIENT_H

#include <glib.h>

#include "HttpFetch.h"

/** typedef LogClient - the platform's log service, by its HTTP protocol */
typedef struct LogClient_ LogClient;

/** struct LogRecord_ - one record as read, borrowed */
typedef struct LogRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    Str data;
} LogRecord;

/**
 * struct LogRead_ - result of a read
 * @code: 0 or a negative error number; then nothing else counts
 * @first: oldest offset kept
 * @next: offset of the next append
 */
typedef struct LogRead_ {
    int code;
    uint64_t first;
    uint64_t next;
    const LogRecord *records;
    size_t count;
} LogRead;

typedef void LogReadHandler(void *user, const LogRead *read);

/**
 * typedef LogAppendHandler - result of an append
 * @code: 0; ERR_UNAVAILABLE if it certainly was not written; any other
 *        negative number if that is not known
 */
typedef void LogAppendHandler(void *user, int code, uint64_t offset);

/** LogClient_Create() - @url as in the settings; NULL with @error filled */
LogClient *LogClient_Create(Loop *loop, Str url, const HttpClientOptions *tls,
                            Error *error);

/** LogClient_Destroy() - release it */
void LogClient_Destroy(LogClient *this);

/** LogClient_Append() - append one record; @handler runs once, later */
void LogClient_Append(LogClient *this, Str stream, Str record, Micros timeout,
                      LogAppendHandler *handler, void *user);

/**
 * LogClient_Read() - read records from an offset on
 * @wait: time the service may wait for a record
 * @timeout: added to @wait for the answer itself
 */
void LogClient_Read(LogClient *this, Str stream, uint64_t from, uint32_t max,
                    Micros wait, Micros timeout, LogReadHandler *handler,
                    void *user);

/** LogClient_BytesTransferred() - bytes of records read and appended */
uint64_t LogClient_BytesTransferred(const LogClient *this);

/** LogClient_Appends() - appends sent */
uint64_t LogClient_Appends(const LogClient *this);

/**
 * LogClient_ParseRecords() - read the body of a read's answer
 * @records: receives LogRecord items that point into @body
 *
 * Return: 0 or ERR_PROTOCOL.
 */
int LogClient_ParseRecords(Str body, GArray *records);

#endif
