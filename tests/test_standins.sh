#!/usr/bin/env bash
# Runs the stand-ins as processes. Guards against injected faults that have no
# effect, or that the load generator and the journal checker do not detect:
# other tests rely on both.
set -uo pipefail
cd "$(dirname "$0")/.."
STANDINS_BUILD=$1
STANDINS_DIR=$(mktemp -d)
. scripts/standins.sh
trap 'standin_stop_all; rm -rf "$STANDINS_DIR"' EXIT
failures=0

# expect TEXT ACTUAL OPERATOR BOUND: counts a failure unless the test holds
expect() {
    if ! [ "$2" "$3" "$4" ]; then
        echo "FAIL $1: $2 $3 $4"
        failures=$((failures + 1))
    fi
}

# field NAME: prints the first value of that name in the JSON on stdin
field() { grep -o "\"$1\":[^,}]*" | head -n 1 | sed 's/^[^:]*://; s/"//g'; }

# check UPSTREAM CALLER: runs standin-check on the two journals
check() {
    "$STANDINS_BUILD/standins/standin-check" -u "$STANDINS_DIR/$1.journal" \
        -c "$STANDINS_DIR/$2.journal" > "$STANDINS_DIR/check.out"
}

# Guards against a log whose lost responses, outage, retention and read lag
# differ from those of the platform.
test_log() {
    standin_log log --retain-count 3 || return 1
    local port=${STANDIN_PORT[log]} answer
    expect "first offset" "$(standin_http POST "$port" /streams/a one)" = '{"offset":0}'
    standin_http POST "$port" /streams/a two > /dev/null
    answer=$(standin_http GET "$port" "/streams/a?from=1" "" | cut -d' ' -f1,3)
    expect "read" "$answer" = $'1 3\ntwo'
    standin_control log '{"lose_next":1}' > /dev/null
    standin_http POST "$port" /streams/a three > /dev/null
    expect "lost answer" $? -ne 0
    standin_control log '{"lag_ms":60000}' > /dev/null
    expect "lagging read" "$(standin_http GET "$port" "/streams/a?from=2" "" | wc -c)" -eq 0
    standin_http GET "$port" "/streams/a?from=2&wait_ms=60000" "" > "$STANDINS_DIR/poll" &
    local poll=$!
    standin_control log '{"lag_ms":0}' > /dev/null
    wait "$poll"
    expect "long poll" "$(tail -n 1 "$STANDINS_DIR/poll")" = three
    standin_http POST "$port" /streams/a four > /dev/null
    expect "retention" "$(standin_show log | field first)" -eq 1
    standin_control log '{"down":"503"}' > /dev/null
    standin_http POST "$port" /streams/a five > /dev/null
    expect "down" $? -ne 0
    expect "not written while down" "$(standin_show log | field next)" -eq 4
    standin_stop log
    expect "log exit code" $? -eq 0
}

# Guards against a change that is visible before its lag or only in part.
test_hostlist() {
    standin_hostlist hosts || return 1
    local port=${STANDIN_PORT[hosts]}
    standin_control hosts '{"hosts":[{"id":"a","state":"live"}]}' > /dev/null
    standin_control hosts '{"lag_ms":60000,"set":[{"id":"a","state":"leaving"}]}' > /dev/null
    expect "before the lag" "$(standin_http GET "$port" /hosts "" | field state)" = live
    standin_control hosts '{"lag_ms":0,"set":[{"id":"b"}]}' > /dev/null
    expect "after the lag" "$(standin_http GET "$port" /hosts "" | field state)" = leaving
    standin_stop hosts
}

# Guards against failures counted without faults, and against whole bodies in
# memory: 64 MiB both ways must stay below 48 MiB resident.
test_calls() {
    standin_upstream u --count 3 --slots 50 --service-ms 2 || return 1
    standin_call plain "$(standin_targets u)" --rate 300 --count 300 \
        --methods GET:50,POST:40,HEAD:5,DELETE:5
    expect "plain exit code" $? -eq 0
    expect "plain ok" "$(standin_value plain ok)" -eq 300
    standin_call large "$(standin_targets u)" --rate 10 --count 2 \
        --methods POST:1 --body-bytes 67108864 --answer-bytes 67108864 --timeout-ms 60000
    expect "64 MiB exit code" $? -eq 0
    expect "64 MiB resident KiB" \
        "$(sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/${STANDIN_PID[u]}/status")" -lt 49152
    check u plain
    expect "plain check" $? -eq 0
}

# Guards against response faults that the caller does not detect.
test_answer_faults() {
    local targets
    targets=$(standin_targets u)
    standin_control u '{"all":true,"short_share":1}' > /dev/null
    standin_call short "$targets" --rate 200 --count 20
    expect "short exit code" $? -eq 1
    expect "short" "$(standin_value short incomplete)" -eq 20
    standin_control u '{"all":true,"short_share":0,"long_share":1}' > /dev/null
    standin_call long "$targets" --rate 200 --count 20
    expect "long exit code" $? -eq 1
    expect "long" "$(standin_value long excess)" -eq 20
    standin_control u '{"all":true,"long_share":0,"fail_share":1}' > /dev/null
    standin_call fail "$targets" --rate 200 --count 20
    expect "fail" "$(standin_value fail status_500)" -eq 20
    standin_control u '{"all":true,"fail_share":0,"bare_503_share":1}' > /dev/null
    standin_call bare "$targets" --rate 200 --count 20
    expect "bare 503 has no outcome" "$(standin_value bare outcome_none)" -eq 20
    standin_control u '{"all":true,"bare_503_share":0,"slots":0}' > /dev/null
    standin_call shed "$targets" --rate 200 --count 20
    expect "shed" "$(standin_value shed refused)" -eq 20
    check u shed
    expect "shed check" $? -eq 0
    standin_control u '{"all":true,"slots":50}' > /dev/null
}

# Guards against a checker that misses two executions of one key. Late
# responses make the caller retry the key, and an upstream without a balancer
# executes it again.
test_double_run() {
    standin_control u '{"all":true,"late_share":1,"late_ms":60000}' > /dev/null
    standin_call twice "$(standin_targets u)" --rate 200 --count 5 \
        --methods POST:1 --resend key --resend-max 2 --timeout-ms 500
    expect "timeouts" "$(standin_value twice timeouts)" -eq 10
    check u twice
    expect "double run exit code" $? -eq 1
    expect "double run" "$(standin_value check key-ran-twice)" -ge 1
    standin_control u '{"all":true,"late_share":0}' > /dev/null
}

# Guards against an execution that goes on after the caller closed the
# connection or after the deadline.
test_cancel() {
    standin_call cancel "$(standin_targets u)" --rate 200 --count 20 \
        --service-ms 60000 --cancel-share 1 --cancel-ms 300
    expect "cancelled calls" "$(standin_value cancel cancelled)" -eq 20
    local tries=0 started ended=0
    started=$(grep -c 'event=start .*request_id=cancel-' "$STANDINS_DIR/u.journal")
    until [ "$ended" -eq "$started" ] || [ $((tries += 1)) -gt 100 ]; do
        ended=$(grep -c 'request_id=cancel-.*outcome=cancelled' "$STANDINS_DIR/u.journal")
        sleep 0.05
    done
    expect "started" "$started" -ge 1
    expect "cancelled at upstreams" "$ended" -eq "$started"
    standin_call deadline "$(standin_targets u)" --rate 200 --count 10 \
        --service-ms 60000 --deadline-ms 50
    expect "deadline" "$(standin_value deadline status_504)" -eq 10
}

# late_request PORT: prints the status of a request sent 0.3 s after connecting
late_request() (
    exec {fd}<> "/dev/tcp/127.0.0.1/$1" || return 1
    sleep 0.3
    printf 'GET /load HTTP/1.1\r\nhost: standin\r\nconnection: close\r\n\r\n' >&"$fd"
    read -r _ status _ <&"$fd"
    echo "$status"
)

# Guards against an idle timeout that does not close connections, or that
# closes one before its first request.
test_idle() {
    standin_control u '{"all":true,"idle_ms":1}' > /dev/null
    standin_call idle "$(standin_targets u)" --rate 20 --count 10
    expect "idle ok" "$(standin_value idle ok)" -ge 1
    expect "connections after idle" "$(standin_value idle connections)" -gt 3
    # A connection does not count as idle before its first request. Otherwise
    # the control request below fails on a busy machine, where it comes late.
    expect "late first request" "$(late_request "$(standin_ports u | tail -n 1)")" = 200
    standin_control u '{"all":true,"idle_ms":0}' > /dev/null
}

# Guards against a standin-malformed that takes rejected requests for accepted
# ones, and against an upstream that executes a request smuggled in another.
test_malformed() {
    standin_background malformed standins/standin-malformed \
        --target "127.0.0.1:$(standin_ports u | tail -n 1)" --timeout-ms 2000
    standin_wait malformed
    expect "malformed exit code" $? -eq 0
    expect "plain" "$(standin_value malformed plain)" = 200
    expect "both lengths" "$(standin_value malformed both_lengths)" = 400
    expect "pipelined" "$(standin_value malformed pipelined_answers)" -eq 2
    expect "smuggled" "$(grep -c path=/smuggled "$STANDINS_DIR/u.journal")" -eq 0
}

# Guards against stalled connections that respond, and against a crash that
# the caller does not see or from which the upstream does not come back.
test_silence_and_crash() {
    local port tries=0
    port=$(standin_ports u | head -n 1)
    standin_call_background silent "127.0.0.1:$port" --rate 100 --count 10 \
        --service-ms 2000 --timeout-ms 4500
    until [ "$(standin_show u | field inflight)" -eq 10 ] || [ $((tries += 1)) -gt 100 ]; do
        sleep 0.02
    done
    standin_control u '{"silence":"open"}' > /dev/null
    expect "new connections work" "$(standin_http GET "$port" /load "" | cut -c1-9)" = inflight=
    standin_wait silent
    expect "silent" "$(standin_value silent lost_timeout)" -eq 10
    expect "ran in silence" \
        "$(grep -c 'request_id=silent-.*outcome=ok' "$STANDINS_DIR/u.journal")" -eq 10
    standin_control u '{"crash_marker":"BOOM","crash_mode":"down","crash_down_ms":400}' > /dev/null
    standin_call crash "127.0.0.1:$port" --rate 100 --count 1 \
        --methods POST:1 --marker BOOM --marker-share 1
    expect "crash" "$(standin_value crash lost_closed)" -eq 1
    tries=0
    until standin_http GET "$port" /health "" 2> /dev/null || [ $((tries += 1)) -gt 100 ]; do
        sleep 0.05
    done
    expect "back after the crash" "$tries" -le 100
    standin_control u '{"crash_mode":"exit"}' > /dev/null
    standin_call exit "127.0.0.1:$port" --rate 100 --count 1 \
        --methods POST:1 --marker BOOM --marker-share 1
    standin_wait u
    expect "exit code of a crash" $? -eq 9
}

for name in test_log test_hostlist test_calls test_answer_faults \
    test_double_run test_cancel test_idle test_malformed test_silence_and_crash; do
    before=$failures
    "$name" || { [ "$failures" -gt "$before" ] || failures=$((failures + 1)); }
    [ "$failures" -eq "$before" ] && echo "ok $name" || echo "not ok $name"
done
for file in "$STANDINS_DIR"/*.err; do
    [ -s "$file" ] && { echo "FAIL output in $(basename "$file"):"; cat "$file"; failures=$((failures + 1)); }
done
[ "$failures" -eq 0 ]
