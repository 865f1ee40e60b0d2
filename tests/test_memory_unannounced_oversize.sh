#!/usr/bin/env bash
# Guards against a host that exceeds its memory by bodies over the limit that are just sent.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd chunks 12 "$((BODY_BYTES * 4))"
