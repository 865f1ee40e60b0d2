#!/usr/bin/env bash
# Runs gateway hosts as processes in front of upstreams whose addresses are also
# listed under the ids of upstreams that have ended, and that send each refusal a
# second time.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export SIGNALS=none FAULT_PERIOD_S=0 LINK_PERIOD_S=0 HOSTS=3 UPSTREAMS=3 RATE=300 WORK_MS=15
export START_MS=2500 LOAD_MS=8000 REST_MS=1000 REPEATED_SHARE=1 OUTDATED_INTERVAL_MS=10 SERVED_LEAST=0.5
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# Guards against the refusal of one attempt that is taken for the response to
# the next one, which runs.
bash scripts/soak.sh "$build" 5101 5102 | tee "$out"
[ "${PIPESTATUS[0]}" -eq 0 ] || exit 1
[ "$(grep -cE ' retries=[1-9]' "$out")" -eq 2 ] || { echo "not ok: no request was sent again"; exit 1; }
echo "ok: refusals that ran"
