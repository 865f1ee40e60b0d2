#ifndef AGATECRANK_TESTS_SCRIPTEDUPSTREAM_H
#define AGATECRANK_TESTS_SCRIPTEDUPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

/** enum ScriptedEnd - what happens to the connection after a response */
typedef enum ScriptedEnd_ {
    SCRIPTED_END_NONE,
    SCRIPTED_END_CLOSE, /* resets it where input is unread */
    SCRIPTED_END_RESET,
    SCRIPTED_END_HALF_CLOSE, /* the rest of the request is read */
    SCRIPTED_END_HALF_CLOSE_RESET,
} ScriptedEnd;

/**
 * struct ScriptedReply_ - what the upstream writes to one request, of which it
 *     has read the header block
 * @copy: written first if the connection has carried a request before; NULL for
 *        nothing
 * @response: written after it
 * @held: waits for ScriptedUpstream_Release()
 * @end: follows the response
 * @end_delay_us: time between the response and the end
 */
typedef struct ScriptedReply_ {
    const char *copy;
    const char *response;
    bool held;
    ScriptedEnd end;
    unsigned long end_delay_us;
} ScriptedReply;

/**
 * typedef ScriptedUpstream - writes bytes as they are, in threads of its own
 */
typedef struct ScriptedUpstream_ ScriptedUpstream;

/**
 * ScriptedUpstream_Create() - listen at 127.0.0.1
 * @replies: to the first request and those after it; borrowed
 */
ScriptedUpstream *ScriptedUpstream_Create(const ScriptedReply *replies,
                                          unsigned reply_count);

/**
 * ScriptedUpstream_SetProbeResponse() - what it writes to requests for /health
 * @response: borrowed; without one they get a reply as other requests do
 */
void ScriptedUpstream_SetProbeResponse(ScriptedUpstream *this,
                                       const char *response);

/** ScriptedUpstream_Destroy() - after the other end has closed its connections
 */
void ScriptedUpstream_Destroy(ScriptedUpstream *this);

/** ScriptedUpstream_Port() - TCP port */
uint16_t ScriptedUpstream_Port(const ScriptedUpstream *this);

/** ScriptedUpstream_IsHeld() - whether a reply waits */
bool ScriptedUpstream_IsHeld(const ScriptedUpstream *this);

/** ScriptedUpstream_Release() - write the reply that waits */
void ScriptedUpstream_Release(ScriptedUpstream *this);

/** ScriptedUpstream_Requests() - number of requests so far */
unsigned ScriptedUpstream_Requests(const ScriptedUpstream *this);

/** ScriptedUpstream_Connections() - number of open connections */
unsigned ScriptedUpstream_Connections(const ScriptedUpstream *this);

#endif
