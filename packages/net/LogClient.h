#ifndef AGATECRANK_NET_LOGCLIENT_H
#define AGATECRANK_NET_LOGCLIENT_H

#include <glib.h>

#include "EventLog.h"
#include "HttpFetch.h"

/** LOG_RESPONSE_BYTES_MAX - longest response that is kept */
#define LOG_RESPONSE_BYTES_MAX (4 * 1024 * 1024)

/** typedef LogClient - HTTP client of the platform's log service */
typedef struct LogClient_ LogClient;

/**
 * struct LogRecord_ - one record of a stream
 * @time_ms: time of the append, Unix time in milliseconds
 * @data: borrowed from the response
 */
typedef struct LogRecord_ {
    uint64_t offset;
    uint64_t time_ms;
    Str data;
} LogRecord;

/**
 * struct LogRead_ - result of a read
 * @code: 0 or a negative error number; the rest is valid only with 0
 * @too_long: @code is ERR_PROTOCOL because the response was too long even with
 *            as few records as always fit; valid always
 * @first: oldest offset that the log retains
 * @next: offset of the next append
 * @records: @count records, valid during the handler
 */
typedef struct LogRead_ {
    int code;
    bool too_long;
    uint64_t first;
    uint64_t next;
    const LogRecord *records;
    size_t count;
} LogRead;

/** typedef LogReadHandler - receives the result of a read */
typedef void LogReadHandler(void *user, const LogRead *read);

/**
 * typedef LogAppendHandler - result of an append
 * @code: 0; ERR_UNAVAILABLE if the record was certainly not written; any
 *        other negative number if it may have been written
 * @offset: offset of the record if @code is 0
 */
typedef void LogAppendHandler(void *user, int code, uint64_t offset);

/**
 * LogClient_Create() - client of the log service at @url
 * @client_options: TLS and connection options; its file names are borrowed
 * @log: for dropped responses, borrowed; may be NULL
 *
 * Return: NULL with @error filled if @url is invalid.
 */
LogClient *LogClient_Create(Loop *loop, Str url,
                            const HttpClientOptions *client_options,
                            EventLog *log, Error *error);

/** LogClient_Destroy() - close and release; NULL is allowed */
void LogClient_Destroy(LogClient *this);

/**
 * LogClient_Append() - append one record to a stream
 * @handler: called exactly once, not before the function has returned
 */
void LogClient_Append(LogClient *this, Str stream, Str record, Micros timeout,
                      LogAppendHandler *handler, void *user);

/**
 * LogClient_Read() - read records of a stream from offset @from on
 * @max: most records to return
 * @wait: longest time that the service may wait for a record (long poll)
 * @timeout: for the response, in addition to @wait
 * @handler: called exactly once, not before the function has returned
 *
 * A response above LOG_RESPONSE_BYTES_MAX is dropped and the read is sent again
 * for as few records as always fit. Later reads of the stream return at most as
 * many, and more again while they are short.
 */
void LogClient_Read(LogClient *this, Str stream, uint64_t from, uint32_t max,
                    Micros wait, Micros timeout, LogReadHandler *handler,
                    void *user);

/** LogClient_BytesTransferred() - bytes of read responses and appends */
uint64_t LogClient_BytesTransferred(const LogClient *this);

/** LogClient_Appends() - number of appends sent */
uint64_t LogClient_Appends(const LogClient *this);

/**
 * LogClient_ParseRecords() - parse the body of the response to a read
 * @records: array of LogRecord to append to; they point into @body
 *
 * Each record is a line "OFFSET TIME_MS LENGTH", then LENGTH bytes of data and
 * a line feed.
 *
 * Return: 0, or ERR_PROTOCOL if the body is malformed.
 */
int LogClient_ParseRecords(Str body, GArray *records);

#endif
