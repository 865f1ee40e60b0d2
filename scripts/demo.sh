#!/usr/bin/env bash
# Demonstrates the main functions on loopback: the services of both deployments
# at their full sizes, three balancer hosts, a published configuration, a change
# of it and a drain of a host under load, and the results of the callers. Ends
# by itself, with a non-zero exit code on failure.
#
# demo.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$(realpath "$1")"

TUNIS="lac-a charguia-b ariana-c megrine-d"
PUNTARENAS="muelle-norte muelle-sur caldera"
CLI="$BIN/packages/agatecrank/agatecrank"

say() { printf '\n== %s\n' "$*"; }
fail() { echo "demo failed: $*" >&2; exit 1; }
# publish FILE: publishes a configuration document
publish() { timeout 20 "$CLI" publish -c "$WORK/amina.toml" "$1" || fail "cannot publish $1"; }

# service NAME SLOTS: prints a service, and a selector that admits the callers
# with the label role = "broker" to it
service() {
    printf '[service.%s]\nslots = %d\nrequire_key = true\nidempotent_methods = ["GET", "HEAD", "PUT"]\n' "$1" "$2"
    printf '[selector.%s-brokers]\nline = "member-a"\ncallers = { role = "broker" }\nservice = "%s"\nupstreams = { pool = "main" }\ndeadline_ms = 2000\n' "$1" "$1"
}

# load NAME SERVICE TARGETS RATE SECONDS SEED OPTIONS...: starts callers in the
# background
load() {
    local name=$1 service=$2 targets=$3 rate=$4 seconds=$5 seed=$6
    shift 6
    start "$name" timeout 60 "$BIN/standins/standin-caller" --targets "$targets" \
        --service "$service" --token demo-token-a --path /policy/42 --rate "$rate" \
        --duration-s "$seconds" --seed "$seed" --answer-bytes 2000 --body-bytes 300 \
        --deadline-ms 1500 --resend key --resend-max 4 --resend-delay-ms 100 \
        --journal "$WORK/$name.journal" "$@"
}

say "start the platform's stand-ins, 70 upstreams of 4 services and 3 balancer hosts"
start_platform || fail "cannot start the log service and the host list"
operator_settings amina || fail "cannot create the operator's key"
add_upstreams desk claims-desk 20 "$TUNIS" --slots 6 --queue 12 --service-ms 5 || fail "cannot start the upstreams"
add_upstreams court court-calendar 15 "$TUNIS" --slots 6 --queue 12 --service-ms 5 || fail "cannot start the upstreams"
add_upstreams berth dispatch 20 "$PUNTARENAS" --slots 4 --queue 8 --service-ms 5 || fail "cannot start the upstreams"
add_upstreams files archive 15 "$PUNTARENAS" --slots 4 --queue 8 --service-ms 5 || fail "cannot start the upstreams"
start_host host-1 lac-a || fail "cannot start host-1"
start_host host-2 charguia-b || fail "cannot start host-2"
start_host host-3 caldera || fail "cannot start host-3"
publish_hosts

say "publish the first configuration"
first_configuration | sed -n '/^\[service/q;p' >"$WORK/first.toml"
first_configuration | sed -n '/^\[caller/,/^$/p' >>"$WORK/first.toml"
{
    service claims-desk 6
    service court-calendar 6
    service dispatch 4
    service archive 4
} >>"$WORK/first.toml"
publish "$WORK/first.toml"
for n in 1 2 3; do wait_http "$(admin_port host-$n)" /readyz || fail "host-$n is not ready"; done

say "one lookup, a request without a token, a request with an unknown token"
http_get "$(caller_port host-1)" /policy/42 "Authorization: Bearer demo-token-a" |
    tr -d '\r' | sed -n '1,/^$/p'
http_get "$(caller_port host-1)" /policy/42 | tail -1
http_get "$(caller_port host-1)" /policy/42 "Authorization: Bearer wrong" | tail -1

say "lookups and bookings through all hosts; a selector changes and a host drains meanwhile"
targets=$(for n in 1 2 3; do printf '127.0.0.1:%s,' "$(caller_port host-$n)"; done)
direct=$(sed -n 's/^port=\([0-9]*\) .*/127.0.0.1:\1/p' "$WORK/desk.out" | paste -sd,)
load direct claims-desk "$direct" 300 3 3
wait "$(cat "$WORK/direct.pid")" || fail "direct calls failed: $(cat "$WORK/direct.out")"
load balanced claims-desk "${targets%,}" 300 3 3
wait "$(cat "$WORK/balanced.pid")" || fail "calls through the hosts failed: $(cat "$WORK/balanced.out")"
seed=10
for s in claims-desk court-calendar dispatch archive; do
    load "$s" "$s" "${targets%,}" 150 7 $((seed++)) --methods GET:80,POST:20 --key-share 1
done
sleep 1
printf '[selector.archive-brokers]\nline = "member-a"\ncallers = { role = "broker" }\nservice = "archive"\nupstreams = { pool = "main" }\ndeadline_ms = 1200\n' >"$WORK/change.toml"
publish "$WORK/change.toml"
pid=$(cat "$WORK/host-3.pid")
kill -TERM "$pid"
wait "$pid" || fail "host-3 did not end with code 0 after SIGTERM"
echo "host-3 was drained under load and ended with code 0"

printf '\n%-16s %8s %6s %6s %6s %9s %9s\n' service requests ok wrong cut p50_us p99_us
for s in direct balanced claims-desk court-calendar dispatch archive; do
    wait "$(cat "$WORK/$s.pid")" 2>/dev/null
    out=$WORK/$s.out
    printf '%-16s %8s %6s %6s %6s %9s %9s\n' "$s" "$(value "$out" sent)" "$(value "$out" ok)" \
        "$(value "$out" wrong)" "$(value "$out" incomplete)" "$(value "$out" p50_us)" "$(value "$out" p99_us)"
    [ "$(value "$out" wrong)" = 0 ] || fail "$s: wrong responses"
    [ "$(value "$out" incomplete)" = 0 ] || fail "$s: incomplete responses"
    [ "$(value "$out" ok)" -gt 500 ] || fail "$s: too few successful responses"
done
echo "added to a direct call: p50 $(($(value "$WORK/balanced.out" p50_us) - $(value "$WORK/direct.out" p50_us))) us," \
    "p99 $(($(value "$WORK/balanced.out" p99_us) - $(value "$WORK/direct.out" p99_us))) us"

say "the journals of upstreams and callers"
cat "$WORK"/{claims-desk,court-calendar,dispatch,archive}.journal >"$WORK/all-callers.journal"
cat "$WORK"/{desk,court,berth,files}.journal >"$WORK/all-upstreams.journal"
"$BIN/standins/standin-check" --upstream "$WORK/all-upstreams.journal" \
    --caller "$WORK/all-callers.journal" || fail "the journals of upstreams and callers disagree"

say "a routing decision in the log of host-1"
grep -h 'event=route' "$WORK/host-1.err" | tail -1
say "demo passed"
