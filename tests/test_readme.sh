#!/usr/bin/env bash
# Guards against commands in README.md that no longer work: runs the code blocks
# that follow the marker "<!-- walk -->", in order, in one shell on loopback.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=$1
export BUILD
script=$BUILD/readme_commands.sh
out=$BUILD/readme_commands.out

fail() { echo "not ok: $*"; sed 's/^/# /' "$out"; exit 1; }
# expect NAME PATTERN: fails unless a line of the output matches the pattern
expect() { grep -qaE "$2" "$out" || fail "$1: no line matches $2"; }

awk '/^<!-- walk -->$/ {marked = 1; next}
     marked && /^```sh$/ {inside = 1; next}
     inside && /^```$/ {inside = 0; marked = 0; next}
     inside {print}' README.md >"$script"
[ "$(grep -c . "$script")" -ge 20 ] || { echo "not ok: README.md has fewer than 20 marked lines of commands"; exit 1; }

timeout 120 bash -e -o pipefail "$script" >"$out" 2>&1 || fail "a command of README.md failed"
expect "the host is alive" '^ok$'
expect "the host waits for a configuration" '^HTTP/1.1 503'
expect "the check of the file passes" 'first\.toml: ok$'
expect "the difference is shown" '^7 objects change$'
expect "the publication is accepted" '^accepted id='
[ "$(grep -ac '^agatecrank-outcome: ran$' "$out")" -eq 5 ] || fail "not all 5 lookups ran"
expect "a request without a token is refused" '"reason":"no-credential"'
expect "the counter shows 5 requests" '^agatecrank_requests_total\{.*outcome="ran".*\} 5$'

# Guards against fields of the decision line that README.md does not explain.
line=$(grep -a 'event=route request=walk-5 ' "$out" | tail -1)
[ -n "$line" ] || fail "the output has no event=route line of request walk-5"
for field in $(printf '%s\n' "$line" | grep -oE '(^| )[a-z]+=' | tr -d ' ='); do
    grep -qE "^\|.*\`$field[\`=]" README.md || fail "the table of README.md has no field $field"
done
rm -f "$script" "$out"

# Guards against a capacity page that differs from the committed measurements,
# and against a missing measurement that is taken for a number.
bash scripts/capacity.sh --check >"$out" 2>&1 || fail "docs/CAPACITY.md differs from docs/measurements.txt"
tables=$(mktemp -d)
awk -F= -v tables="$tables" -f scripts/capacity.awk /dev/null
grep -q '| added to a call at p99 | not measured | not measured |' "$tables/traffic.table" ||
    { rm -rf "$tables"; fail "a missing measurement is not printed as \"not measured\""; }
rm -rf "$tables" "$out"

# Guards against log events, fields and metrics that are not documented.
for name in $(grep -rhoE 'EventLog_Begin\([^"]*"[a-z-]+"' packages --include='*.c' | sed 's/.*"\(.*\)"/\1/'); do
    grep -q "^| \`$name\` |" docs/logs.md || { echo "not ok: event $name is not in docs/logs.md"; exit 1; }
done
for name in $(grep -rhoE 'EventLog_(Str|C|Int|Real)\([^"]*"[a-z_]+"' packages --include='*.c' | sed 's/.*"\(.*\)"/\1/' | sort -u); do
    grep -q "\`$name\`" docs/logs.md || { echo "not ok: field $name is not in docs/logs.md"; exit 1; }
done
for name in $(grep -rhoE '"agatecrank_[a-z_]+"' packages --include='*.c' | tr -d '"' | sort -u); do
    grep -q "^| \`$name\` |" docs/alerts.md || { echo "not ok: $name is not in docs/alerts.md"; exit 1; }
done

# Guards against links in README.md to pages that do not exist.
for link in $(grep -ohE '\]\((docs/)?[A-Za-z-]+\.md\)' README.md | sed 's/^..//; s/)$//'); do
    [ -f "$link" ] || { echo "not ok: README.md links to $link, which does not exist"; exit 1; }
done
echo "ok: the commands of README.md, the capacity page, events, metrics, links"
