#!/usr/bin/env bash
# Runs gateway hosts as processes, one of which loses its path to all upstreams
# while callers, the store and the other hosts reach it.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export SIGNALS=none FAULT_PERIOD_S=0 LINK_PERIOD_S=0 START_MS=2500 LOAD_MS=8000 REST_MS=1000 RATE=80 SERVED_LEAST=0.6

# run_counted SEED: runs the soak, which must have counted enough calls at the cut
# hosts for a verdict
run_counted() {
    local out counted
    out=$(bash scripts/soak.sh "$build" "$1") || { echo "$out"; exit 1; }
    echo "$out"
    counted=$(sed -n 's/^counted_at_cut=//p' <<<"$out")
    [ "${counted:-0}" -ge 20 ] || { echo "not ok: no verdict on ${counted:-no} calls"; exit 1; }
}

# Guards against a cut-off host that serves less than two thirds of what the
# others do, from 3 s after the cut, and against requests that run twice or after
# a 503. Each seed runs another kind of cut.
for kind in silent refused reset; do
    export CUT_KIND=$kind
    run_counted 1
    echo "ok: $kind"
done

# Guards against peers that learn the key of a restarted host seconds later.
export SIGNALS=pairs LOAD_MS=14000 CUT_KIND=reset
run_counted 2
echo "ok: restarts"

# Guards against a check that excuses a host which forwards nothing because it
# restarts.
out=$(NO_FORWARD=1 bash scripts/soak.sh "$build" 2)
echo "$out"
grep -q '^violation: too few calls were served at the cut hosts' <<<"$out" || exit 1
echo "ok: planted"
