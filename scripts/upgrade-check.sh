#!/usr/bin/env bash
# Runs hosts of an earlier version of this repository under load and faults and
# replaces them one after the other by those of this build, and back. The checks
# are those of scripts/soak.sh.
#
# upgrade-check.sh BUILD_DIR COMMIT [SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
commit=$(git rev-parse --verify --short=12 "$2^{commit}") || {
    echo "upgrade-check: commit $2 is not in the history of this clone" >&2
    exit 1
}
shift 2
old=$(realpath -m "build/upgrade/$commit")
if [ ! -x "$old/packages/agatecrankd/agatecrankd" ]; then
    rm -rf "$old"
    mkdir -p "$old/source"
    git archive "$commit" | tar -x -C "$old/source"
    cmake -S "$old/source" -B "$old" -DCMAKE_BUILD_TYPE=RelWithDebInfo -DDEPLOY_ONLY=ON >/dev/null
    cmake --build "$old" -j "${JOBS:-$(nproc)}" --target agatecrankd >"$old/build.log" 2>&1 || {
        tail -20 "$old/build.log" >&2
        exit 1
    }
fi
export OLD_BIN=$old SIGNALS=upgrade HOSTS=${HOSTS:-4}
# A host takes 2.5 s to stop.
export LOAD_MS=${LOAD_MS:-$((HOSTS * 3200 + 3000))}
exec bash scripts/soak.sh "$build" "${@:-1}"
