#!/usr/bin/env bash
# Malformed, cancelled and large requests to a real balancer host. The journal
# of the upstream shows which requests were executed; no check depends on
# timing.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$1"

LARGE_BYTES=67108864
# Requirement: maximum growth of the peak resident size, 64 MiB both ways.
GROWTH_MAX_KB=16384

fail() { echo "not ok: $*"; KEEP_WORK=1; exit 1; }

setup() {
    start_platform || fail "platform"
    operator_settings amina || fail "keygen"
    add_upstreams desk claims-desk 1 "lac-a" --slots 6 --queue 12 \
        --service-ms 2 --seed 5 || fail "upstreams"
    start_host tunis-1 lac-a || fail "start"
    publish_hosts
    first_configuration | sed -e 's/^require_key = true/require_key = false/' \
        -e 's/^deadline_ms = .*/deadline_ms = 60000/' >"$WORK/first.toml"
    "$BIN/packages/agatecrank/agatecrank" publish -c "$WORK/amina.toml" \
        "$WORK/first.toml" >"$WORK/publish.txt" || fail "publish"
    wait_http "$(admin_port tunis-1)" /readyz || fail "not ready"
    TARGET=127.0.0.1:$(caller_port tunis-1)
}

# ended OUTCOME: number of executions that ended with it
ended() { grep -c "event=end.*outcome=$1" "$WORK/desk.journal"; }

# wait_journal PATTERN: waits until the upstream's journal has such a line
wait_journal() {
    local i
    for i in $(seq 200); do
        grep -q "$1" "$WORK/desk.journal" && return 0
        sleep 0.05
    done
    return 1
}

# Guards against a request that an upstream goes on executing after its caller
# closed the connection.
caller_goes_away() {
    exec 8<>"/dev/tcp/127.0.0.1/$(caller_port tunis-1)" || fail "connect"
    printf 'GET /leaves HTTP/1.1\r\nHost: claims-desk\r\nAuthorization: Bearer demo-token-a\r\nx-service-ms: 30000\r\n\r\n' >&8
    wait_journal 'event=start.*path=/leaves' || fail "the request did not start"
    exec 8>&- 8<&-
    wait_journal 'event=end.*outcome=cancelled' || fail "no cancellation upstream"
    echo "ok: caller_goes_away"
}

# These cases failed with the parser of the HTTP library that hosts used before:
# it reported only the first of several fields with a name it did not know, and
# accepted a bare CR or LF inside a header block. test_malformed_library.sh
# checks them.
LIBRARY_CASES="duplicate_key bare_lf_in_headers bare_cr_in_headers"

run_malformed() {
    timeout 100 "$BIN/standins/standin-malformed" --target "$TARGET" \
        --service claims-desk --token demo-token-a >"$WORK/malformed.out" \
        2>"$WORK/malformed.err"
    [ "$(value "$WORK/malformed.out" cases)" -ge 39 ] || fail "malformed did not run"
    grep -q 'path=/smuggled' "$WORK/desk.journal" && fail "a hidden request ran"
    UNMET=$(sed -n 's/_met=no$//p' "$WORK/malformed.out")
    UNMET_LIBRARY=$(grep -xF "${LIBRARY_CASES// /$'\n'}" <<<"$UNMET")
    UNMET_OTHER=$(grep -vxF "${LIBRARY_CASES// /$'\n'}" <<<"$UNMET")
}

# Guards against malformed requests that are executed or smuggle another one.
malformed() {
    run_malformed
    [ -z "$UNMET_OTHER" ] || fail "malformed:" $UNMET_OTHER
    echo "ok: malformed cases=$(value "$WORK/malformed.out" cases)"
}

# Guards against the same in LIBRARY_CASES.
malformed_library() {
    run_malformed
    [ -z "$UNMET_LIBRARY" ] || fail "malformed:" $UNMET_LIBRARY
    echo "ok: malformed_library"
}

# peak_kb: peak resident size of the host in kB
peak_kb() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$(cat "$WORK/tunis-1.pid")/status"; }

# large NAME COUNT BYTES: sends COUNT PUT requests with bodies of BYTES both ways
large() {
    timeout 100 "$BIN/standins/standin-caller" --targets "$TARGET" \
        --service claims-desk --token demo-token-a --path /policy/42 \
        --methods PUT:1 --rate 2 --count "$2" --large-share 1 \
        --large-bytes "$3" --timeout-ms 60000 --fail-on-lost 1 --seed 21 \
        >"$WORK/$1.out" 2>"$WORK/$1.err" || fail "$1: $(cat "$WORK/$1.out")"
    [ "$(value "$WORK/$1.out" ok)" = "$2" ] || fail "$1: $(cat "$WORK/$1.out")"
}

# Guards against a host that buffers complete bodies.
large_bodies() {
    local before after
    large warm 4 1048576
    before=$(peak_kb)
    large large 2 "$LARGE_BYTES"
    after=$(peak_kb)
    echo "growth_kb=$((after - before)) growth_bound_kb=$GROWTH_MAX_KB"
    [ $((after - before)) -lt "$GROWTH_MAX_KB" ] || fail "bodies are buffered"
    echo "ok: large_bodies"
}

# Guards against a response without an end that is relayed after the deadline,
# or held in memory.
endless_response() {
    local before after code bytes
    large warm 4 1048576
    before=$(peak_kb)
    exec 8<>"/dev/tcp/127.0.0.1/$(caller_port tunis-1)" || fail "connect"
    printf 'GET /endless HTTP/1.1\r\nHost: claims-desk\r\nAuthorization: Bearer demo-token-a\r\nagatecrank-deadline-ms: 1000\r\nx-answer-bytes: 1000000000000\r\n\r\n' >&8
    bytes=$(set -o pipefail; timeout 20 cat <&8 | wc -c)
    code=$?
    exec 8>&- 8<&-
    [ "$code" -ne 124 ] || fail "the relay did not end"
    [ "$bytes" -gt 1048576 ] || fail "only $bytes bytes were relayed"
    after=$(peak_kb)
    echo "growth_kb=$((after - before)) growth_bound_kb=$GROWTH_MAX_KB"
    [ $((after - before)) -lt "$GROWTH_MAX_KB" ] || fail "the response is buffered"
    echo "ok: endless_response"
}

setup
for scenario in ${SCENARIOS:-caller_goes_away malformed large_bodies endless_response}; do
    "$scenario"
done
grep -hE 'ERROR: AddressSanitizer|runtime error|LeakSanitizer' "$WORK"/tunis-*.err &&
    fail "sanitizer findings"
echo "ok: all scenarios"
