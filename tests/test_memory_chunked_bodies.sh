#!/usr/bin/env bash
# Guards against a host that exceeds its memory by many chunked bodies without a last chunk.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd chunks 12 "$((BODY_BYTES - 100000))"
