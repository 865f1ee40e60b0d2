#!/usr/bin/env bash
# Guards against a README whose commands no longer work: runs the fenced
# commands that follow a "walk" marker, in order, in one shell on loopback.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$1
export BUILD
script=$BUILD/readme_walk.sh
out=$BUILD/readme_walk.out

fail() { echo "not ok: $*"; sed 's/^/# /' "$out"; exit 1; }
expect() { grep -qaE "$2" "$out" || fail "$1"; }

awk '/^<!-- walk -->$/ {marked = 1; next}
     marked && /^```sh$/ {inside = 1; next}
     inside && /^```$/ {inside = 0; marked = 0; next}
     inside {print}' README.md >"$script"
[ "$(grep -c . "$script")" -ge 20 ] || { echo "not ok: no walk found"; exit 1; }

timeout 120 bash -e -o pipefail "$script" >"$out" 2>&1 || fail "a command failed"
expect "the host is alive" '^ok$'
expect "the host waits for a configuration" '^HTTP/1.1 503'
expect "the file is in order" 'first\.toml: ok$'
expect "the difference is shown" '^7 objects change$'
expect "the publication is accepted" '^accepted id='
[ "$(grep -ac '^agatecrank-outcome: ran$' "$out")" -eq 5 ] || fail "lookups"
expect "a caller without a token" '"reason":"no-credential"'
expect "the counter" '^agatecrank_requests_total\{.*outcome="ran".*\} 5$'

# Each field of the decision line is explained in the table of the README.
line=$(grep -a 'event=route request=walk-5 ' "$out" | tail -1)
[ -n "$line" ] || fail "no decision line"
for field in $(printf '%s\n' "$line" | grep -oE '(^| )[a-z]+=' | tr -d ' ='); do
    grep -qE "^\|.*\`$field[\`=]" README.md || fail "field $field is not explained"
done
rm -f "$script" "$out"
echo "ok: the walk of the README"
