#!/usr/bin/env bash
# Guards against a host that keeps bodies whose announced length is over the limit.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd announced 12 "$((BODY_BYTES * 2))"
