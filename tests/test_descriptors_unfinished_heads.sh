#!/usr/bin/env bash
# Guards against a host that spends its descriptors on header blocks that stop short of their end.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/crowd.sh
DESCRIPTORS_MAX=512
start_deployment "$1"
run_crowd head 900 1000 --reconnect 1
