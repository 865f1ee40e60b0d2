#!/usr/bin/env bash
# Runs gateway hosts as processes in front of upstreams that lose most of their
# responses for a while, and counts the retries that arrive there.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
export HOSTS=19 DOMAINS=3 UPSTREAMS=36 RATE=250 WORK_MS=100 LOAD_MS=26000 SERVED_LEAST=0.5
export FAULT_PERIOD_S=0 LINK_PERIOD_S=0 LOSS_PERIOD_MS=12500 LOSS_RATIO=0.95

# Guards against hosts whose retries and those of hosts that were killed are
# allowed by the same load.
SIGNALS=herd bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: hosts are killed"
