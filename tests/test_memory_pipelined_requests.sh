#!/usr/bin/env bash
# Guards against a host that keeps pipelined requests of many callers without a bound.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
start_deployment "$1"
run_crowd pipelined 900 250000 --reconnect 1
