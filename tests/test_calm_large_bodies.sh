#!/usr/bin/env bash
# Guards against limits on memory that end a single caller inside the limits of the
# configuration.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"

# run_caller NAME OPTION...: one caller, whose request must be answered with 200
run_caller() {
    local name=$1
    shift
    timeout 60 "$BIN/standins/standin-crowd" --target "$TARGET" --wait 1 "$@" \
        >"$WORK/caller.out" 2>&1 || fail "$name: $(tr '\n' ' ' <"$WORK/caller.out")"
    kill -0 "$HOST_PID" 2>/dev/null || fail "the host has ended"
    echo "ok: $name peak_kb=$(status_kb VmHWM)"
}

run_caller largest --kind whole --bytes "$BODY_BYTES"
run_caller chunked --kind whole-chunks --bytes "$BODY_BYTES"
run_caller slow --kind whole --bytes "$BODY_BYTES" --seconds 6
