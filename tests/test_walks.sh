#!/usr/bin/env bash
# Finds the cause of failed requests from their ids with agatecrank trace, which
# reads the logs of the hosts only, as docs/OPERATIONS.md describes.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

fail() { echo "not ok: $*"; exit 1; }

# run SEED: runs the soak with the settings of the environment and keeps its logs
run() {
    KEEP=$work KEEP_ALL=1 SIGNALS=none HOSTS=2 SHOW_LATE_MS=300 START_MS=2000 LOAD_MS=5000 \
        REST_MS=1000 FAULT_PERIOD_S=0.5 LINK_PERIOD_S=0 SERVED_LEAST=0 \
        bash scripts/soak.sh "$build" "$1" || fail "the soak run with seed $1 failed"
    logs=$work/seed-$1
    cat "$logs"/host-*.log >"$work/lines.txt"
    answers=$logs/platform.out
}

# The two upstreams crash, are slower than the latency objectives of the routes,
# and get more calls than they can serve.
UPSTREAMS=2 RATE=50 WORK_MS=240 run 7

# ids PATTERN: prints the ids of the calls whose result matches a sed pattern
ids() { sed -n "s/^answer id=\([0-9a-f]*\) $1.*/\1/p" "$answers"; }

# check_trace NAME PATTERN RESULT: of the calls whose result matches RESULT, the
# trace of at least one must match PATTERN, and each trace up to it must have a
# cause and a next step. The hosts limit the rate of their log lines, so calls
# without a log line are skipped.
check_trace() {
    local id
    for id in $(ids "$3"); do
        grep -q "request=$id" "$work/lines.txt" || continue
        "$build/packages/agatecrank/agatecrank" trace "$id" "$logs"/host-*.log \
            >"$work/out" || fail "$1: agatecrank trace $id exited with code $?"
        grep -q "^cause: " "$work/out" && grep -q "^next: " "$work/out" ||
            fail "$1: the trace of $id has no cause or no next step: $(cat "$work/out")"
        if grep -Eq "$2" "$work/out"; then
            echo "ok: $1 $id"
            sed -n 's/^cause/    cause/p' "$work/out"
            return
        fi
    done
    fail "$1: $2 in none of $(ids "$3" | wc -l) calls; last trace: $(cat "$work/out")"
}

# Guards against a refused request whose log lines do not show the reason.
check_trace refused 'event=refuse .*reason=overloaded' 'status=503'
grep -q '^cause: no upstream of the service had spare capacity' "$work/out" || fail "refused: unexpected cause: $(cat "$work/out")"

# Guards against a late response that leaves no log line.
check_trace late 'event=attempt .*result=answer .*held_ms=' 'status=200'
grep -Eq '^cause: (the upstream took|it waited|an earlier attempt)' "$work/out" || fail "late: unexpected cause: $(cat "$work/out")"

# Two of the calls end each upstream that runs them; the others are few, so that
# no line of a response is dropped by the rate limit.
UPSTREAMS=12 RATE=20 WORK_MS=30 CRASH_INTERVAL_MS=200 run 8

# Guards against a request of unknown outcome whose log lines do not name the
# upstream.
check_trace unknown 'event=refuse .*reason=(upstream-broken|deadline) .*upstream=i-' 'status=50[24]'
grep -Eq '^cause: (the connection to the upstream|no complete response)' "$work/out" ||
    fail "unknown: unexpected cause: $(cat "$work/out")"

# Guards against a refused request that has crashed upstreams whose log lines do
# not lead to them.
check_trace quarantined 'event=refuse .*reason=quarantined .*fingerprint=[0-9a-f]+ losses=[2-9]' 'status=503'
grep -q '^cause: several upstreams failed' "$work/out" || fail "quarantined: unexpected cause: $(cat "$work/out")"
fingerprint=$(sed -n 's/.*event=refuse .*fingerprint=\([0-9a-f]*\) .*/\1/p' "$work/out")
grep -Eq "event=loss fingerprint=$fingerprint source=own upstream=i-" "$work/lines.txt" || fail "quarantined: no line of the losses"

# Guards against a trace that crashes or names a cause when the log has no line of
# the request.
echo nothing | "$build/packages/agatecrank/agatecrank" trace 0123 >"$work/out"
[ $? = 2 ] || fail "unknown id: $(cat "$work/out")"
grep -q 'no line has this id' "$work/out" || fail "unknown id: $(cat "$work/out")"
