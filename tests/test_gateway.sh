#!/usr/bin/env bash
# Runs gateway hosts as processes against the stand-in of the users' platform.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1

# Guards against calls that are not served, or are changed, without any fault.
SIGNALS=none FAULT_PERIOD_S=0 LINK_PERIOD_S=0 LOAD_MS=2000 REST_MS=2000 SERVED_LEAST=0.95 \
    bash scripts/soak.sh "$build" 1 || exit 1
echo "ok: without faults"

# Guards against calls that run twice, are lost or get a wrong response while
# hosts stop and start, and store and upstreams fail. After the faults a quarter
# of the calls must be served, as the users' rule on recovery requires; this must
# hold on a slow machine too.
LOAD_MS=8000 SERVED_LEAST=0.25 bash scripts/soak.sh "$build" 1 2 || exit 1
echo "ok: with faults"
