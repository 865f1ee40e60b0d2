#!/usr/bin/env bash
# Runs gateway hosts as processes in front of upstreams that announce that they
# leave or want a pause, in good and in malformed ways, and counts the requests
# that arrive there from each host.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export FAULT_PERIOD_S=0 LINK_PERIOD_S=0 NOTICE_INTERVAL_MS=200 LOAD_MS=15000 HOSTS=6 RATE=300 SERVED_LEAST=0.9
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# Guards against requests to an upstream that has told the host that it leaves,
# though the store lists it as ready, or that it wants a pause.
SIGNALS=none bash scripts/soak.sh "$build" 1 | tee "$out"
[ "${PIPESTATUS[0]}" -eq 0 ] || exit 1
grep -qE 'leaving_told=[1-9]' "$out" || { echo "no host was told that an upstream leaves"; exit 1; }
grep -qE 'pauses_told=[1-9]' "$out" || { echo "no upstream asked for a pause"; exit 1; }
echo "ok: announcements kept"

# Guards against the same while hosts are ended, frozen and started again.
SIGNALS=mixed bash scripts/soak.sh "$build" 2 | tee "$out"
[ "${PIPESTATUS[0]}" -eq 0 ] || exit 1
grep -qE 'leaving_told=[1-9]' "$out" || { echo "no host was told that an upstream leaves"; exit 1; }
grep -qE 'pauses_told=[1-9]' "$out" || { echo "no upstream asked for a pause"; exit 1; }
echo "ok: announcements kept while hosts restart"
