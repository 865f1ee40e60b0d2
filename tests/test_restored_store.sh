#!/usr/bin/env bash
# Runs gateway hosts as processes while the store comes back from older copies of
# itself. Its copies lack drains, starts of upstreams and configurations.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export FAULT_PERIOD_S=1.5 LINK_PERIOD_S=0 RESTORE_INTERVAL_MS=6000 LOAD_MS=20000 HOSTS=6

# Guards against a host that misses a drain that was written again before its
# offset.
SIGNALS=none bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: hosts run"

# Guards against a host that starts from a copy and learns nothing more.
SIGNALS=ends bash scripts/soak.sh "$build" 2 || exit 1
echo "ok: hosts restart"
