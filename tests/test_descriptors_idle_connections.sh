#!/usr/bin/env bash
# Guards against a host that spends its descriptors on idle connections.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
DESCRIPTORS_MAX=512
start_deployment "$1"
run_crowd idle 900 0 --reconnect 1
