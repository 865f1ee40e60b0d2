#!/usr/bin/env bash
# Runs hosts of the version before this one beside those of this build.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
# The last version that was delivered.
production=fa08b36

if [ "$(git rev-parse --is-shallow-repository)" = true ]; then
    echo "not run: this clone has no history to build $production from"
    exit 0
fi
# Guards against a format between hosts, or in the store, that the version before
# cannot read, and the other way round.
SERVED_LEAST=0.25 bash scripts/upgrade-check.sh "$build" "$production" 1 || exit 1
echo "ok: $production is replaced"
