#!/usr/bin/env bash
# Runs gateway hosts as processes in front of upstreams that lose most of their
# responses for a while, and counts the retries that arrive there.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp)
trap 'rm -f "$work"' EXIT
export HOSTS=19 DOMAINS=3 UPSTREAMS=36 RATE=250 WORK_MS=100 LOAD_MS=26000 SERVED_LEAST=0.5
export FAULT_PERIOD_S=0 LINK_PERIOD_S=0 LOSS_PERIOD_MS=12500 LOSS_RATIO=0.95

# Guards against hosts whose retries and those of hosts that were killed are
# allowed by the same load.
SIGNALS=herd bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: hosts are killed"

# Guards against arrivals that no host counts as retries: hosts that are allowed
# none cause none, whatever fails.
unset HOSTS DOMAINS UPSTREAMS RATE WORK_MS LOAD_MS FAULT_PERIOD_S LINK_PERIOD_S
RETRY_RATIO=0 RETRY_EXTRA=0 LOSS_PERIOD_MS=4000 LOSS_RATIO=0.7 bash scripts/soak.sh "$build" 611 | tee "$work" || exit 1
grep -q ' retries=0 ' "$work" || exit 1
echo "ok: all arrivals are counted"
