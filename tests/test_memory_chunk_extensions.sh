#!/usr/bin/env bash
# Guards against a host that exceeds its memory by chunk extensions without end.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd extensions 40 4194304
