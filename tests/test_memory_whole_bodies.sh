#!/usr/bin/env bash
# Guards against a host that exceeds its memory by many complete bodies.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd whole 12 "$BODY_BYTES"
