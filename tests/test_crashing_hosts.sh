#!/usr/bin/env bash
# Runs gateway hosts as processes under requests that end the upstreams that run
# them, and counts the executions at the upstreams.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export FAULT_PERIOD_S=0 LINK_PERIOD_S=0 CRASH_INTERVAL_MS=300 LOAD_MS=12000 HOSTS=6 SERVED_LEAST=0.25

# Guards against sending a request on that has ended three upstreams, though each
# host learns of some of them only from the others.
SIGNALS=none bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: hosts run"

# Guards against hosts that count no losses because all upstreams are down, which
# looks like a cut.
SIGNALS=none HOSTS=2 UPSTREAMS=6 RATE=40 LOAD_MS=15000 CRASH_INTERVAL_MS=200 SERVED_LEAST=0 \
    bash scripts/soak.sh "$build" 7 || exit 1
echo "ok: all upstreams are down"

# Guards against a host that sends it on because it has forgotten at a restart.
SIGNALS=ends bash scripts/soak.sh "$build" 2 || exit 1
echo "ok: hosts restart"
