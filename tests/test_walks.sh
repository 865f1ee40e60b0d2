#!/usr/bin/env bash
# Walks from the id of a failed request to its cause, by the lines of the hosts
# alone, as docs/OPERATIONS.md describes.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

fail() { echo "not ok: $*"; exit 1; }

# Two upstreams for more calls than they can serve, that are slower than the
# routes' objectives, and crash.
KEEP=$work KEEP_ALL=1 SIGNALS=none HOSTS=2 UPSTREAMS=2 RATE=50 WORK_MS=240 SHOW_LATE_MS=300 \
    START_MS=2000 LOAD_MS=5000 REST_MS=1000 FAULT_PERIOD_S=0.5 LINK_PERIOD_S=0 SERVED_LEAST=0 \
    bash scripts/soak.sh "$build" 7 || fail "soak"
cat "$work"/seed-7/host-*.log >"$work/lines.txt"
answers=$work/seed-7/platform.out

# ids FIELDS: answers that callers got
ids() { sed -n "s/^answer id=\([0-9a-f]*\) $1.*/\1/p" "$answers"; }

# walk NAME PATTERN FIELDS: some request that was answered so is explained by
# PATTERN. The hosts bound their lines, so not each of them has one.
walk() {
    local id
    for id in $(ids "$3"); do
        grep -q "request=$id" "$work/lines.txt" || continue
        "$build/packages/agatecrank/agatecrank" trace "$id" "$work"/seed-7/host-*.log \
            >"$work/out" || fail "$1: trace of $id ends with $?"
        grep -q "^cause: " "$work/out" && grep -q "^next: " "$work/out" ||
            fail "$1: no cause: $(cat "$work/out")"
        if grep -Eq "$2" "$work/out"; then
            echo "ok: $1 $id"
            sed -n 's/^cause/    cause/p' "$work/out"
            return
        fi
    done
    fail "$1: $2 in none of $(ids "$3" | wc -l): $(cat "$work/out")"
}

# Guards against a refusal whose lines do not tell why.
walk refused 'event=refuse .*reason=overloaded' 'status=503'
grep -q '^cause: no upstream of the service had room' "$work/out" || fail "refused: cause"

# Guards against a late answer that leaves no line.
walk late 'event=attempt .*result=answer .*held_ms=' 'status=200'
grep -Eq '^cause: (the upstream took|it waited|an earlier attempt)' "$work/out" || fail "late: cause"

# Guards against an unknown outcome whose upstream is not named.
walk unknown 'event=refuse .*reason=(upstream-broken|deadline) .*upstream=i-' 'status=50[24]'
grep -Eq '^cause: (the connection to the upstream|no whole answer)' "$work/out" ||
    fail "unknown: cause"

# Guards against a command that fails or guesses where there are no lines.
echo nothing | "$build/packages/agatecrank/agatecrank" trace 0123 >"$work/out"
[ $? = 2 ] || fail "unknown id: $(cat "$work/out")"
grep -q 'no line has this id' "$work/out" || fail "unknown id: $(cat "$work/out")"
