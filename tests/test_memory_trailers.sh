#!/usr/bin/env bash
# Guards against a host that exceeds its memory by trailers, with or without an end.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd trailers 200 1048576
run_crowd trailers 200 65536
