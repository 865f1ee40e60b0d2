#!/usr/bin/env bash
# Runs gateway hosts as processes in front of upstreams that name limits, and
# counts the requests that arrive there from all hosts.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export FAULT_PERIOD_S=0 LINK_PERIOD_S=0 LIMIT_INTERVAL_MS=300 LOAD_MS=15000 HOSTS=12 SERVED_LEAST=0.9

# Guards against hosts that each send a limited upstream what they like.
SIGNALS=none bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: hosts run"

# Guards against a restarted host that has forgotten its part of the limits.
SIGNALS=ends bash scripts/soak.sh "$build" 2 || exit 1
echo "ok: hosts restart"
