#!/usr/bin/env bash
# Shows the main job on loopback: a published configuration, requests through
# three balancer hosts to two services, and what callers were told.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$(realpath "$1")"

say() { printf '\n== %s\n' "$*"; }
fail() { echo "demo failed: $*" >&2; exit 1; }

say "start the platform's stand-ins, 8 upstreams and 3 balancer hosts"
start_platform || fail "platform"
operator_settings amina || fail "keygen"
add_upstreams desk claims-desk 4 "lac-a charguia-b ariana-c megrine-d" \
    --slots 6 --queue 12 --service-ms 5 || fail "upstreams"
add_upstreams court court-calendar 4 "lac-a charguia-b ariana-c megrine-d" \
    --slots 6 --queue 12 --service-ms 5 || fail "upstreams"
for n in 1 2 3; do start_host "tunis-$n" lac-a; done
publish_hosts

say "publish the first configuration"
first_configuration >"$WORK/first.toml"
"$BIN/packages/agatecrank/agatecrank" publish -c "$WORK/amina.toml" "$WORK/first.toml" ||
    fail "publish"
for n in 1 2 3; do wait_http "$(admin_port tunis-$n)" /readyz || fail "tunis-$n is not ready"; done

say "one lookup"
http_get "$(caller_port tunis-1)" /policy/42 "Authorization: Bearer demo-token-a" |
    tr -d '\r' | sed -n '1,/^$/p'

say "a caller without a token, and a service that no selector admits"
http_get "$(caller_port tunis-1)" /policy/42 | tail -1
http_get "$(caller_port tunis-1)" /policy/42 "Authorization: Bearer wrong" | tail -1

say "800 lookups and fee advances a second for 5 s through the 3 hosts"
targets=$(for n in 1 2 3; do printf '127.0.0.1:%s,' "$(caller_port tunis-$n)"; done)
"$BIN/standins/standin-caller" --targets "${targets%,}" --service claims-desk \
    --token demo-token-a --path /policy/42 --methods GET:90,POST:10 --key-share 1 \
    --rate 800 --duration-s 5 --seed 7 --answer-bytes 2000 --body-bytes 300 \
    --deadline-ms 1500 --resend key --journal "$WORK/callers.journal" >"$WORK/callers.txt" ||
    fail "callers saw a wrong or incomplete answer: $(cat "$WORK/callers.txt")"
grep -E '^(sent|ok|refused|unknown|wrong|incomplete|p50_us|p99_us)=' "$WORK/callers.txt"

say "a routing decision as logged by tunis-1"
grep -h 'event=route' "$WORK"/tunis-1.err | head -1

say "drain: SIGTERM to tunis-3 under load ends it with code 0"
pid=$(cat "$WORK/tunis-3.pid")
kill -TERM "$pid"
wait "$pid"
[ $? -eq 0 ] || fail "tunis-3 did not drain"
echo "tunis-3 ended with code 0"

[ "$(value "$WORK/callers.txt" wrong)" = 0 ] || fail "wrong answers"
[ "$(value "$WORK/callers.txt" ok)" -gt 3500 ] || fail "too few answers"
say "demo passed"
