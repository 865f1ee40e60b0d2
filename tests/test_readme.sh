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

# Guards against a capacity page that differs from the committed measurements,
# and against a missing bench line that is taken for a number.
bash scripts/capacity.sh --check >"$out" 2>&1 || fail "docs/CAPACITY.md differs from docs/measurements.txt"
tables=$(mktemp -d)
awk -F= -v tables="$tables" -f scripts/capacity.awk /dev/null
grep -q '| added to a call at p99 | not measured | not measured |' "$tables/traffic.table" ||
    { rm -rf "$tables"; fail "a missing value is not reported"; }
rm -rf "$tables" "$out"

# Guards against log events, fields and metrics that the pages do not have.
for name in $(grep -rhoE 'EventLog_Begin\([^"]*"[a-z-]+"' packages --include='*.c' | sed 's/.*"\(.*\)"/\1/'); do
    grep -q "^| \`$name\` |" docs/logs.md || { echo "not ok: event $name is not in docs/logs.md"; exit 1; }
done
for name in $(grep -rhoE 'EventLog_(Str|C|Int|Real)\([^"]*"[a-z_]+"' packages --include='*.c' | sed 's/.*"\(.*\)"/\1/' | sort -u); do
    grep -q "\`$name\`" docs/logs.md || { echo "not ok: field $name is not in docs/logs.md"; exit 1; }
done
for name in $(grep -rhoE '"agatecrank_[a-z_]+"' packages --include='*.c' | tr -d '"' | sort -u); do
    grep -q "^| \`$name\` |" docs/alerts.md || { echo "not ok: $name is not in docs/alerts.md"; exit 1; }
done

# Guards against pages that are named and do not exist.
for link in $(grep -ohE '\]\((docs/)?[A-Za-z-]+\.md\)' README.md | sed 's/^..//; s/)$//'); do
    [ -f "$link" ] || { echo "not ok: README names $link"; exit 1; }
done
echo "ok: the walk of the README, the capacity page, events, metrics"
