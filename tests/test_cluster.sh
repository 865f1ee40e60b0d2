#!/usr/bin/env bash
# Runs balancer hosts as processes on loopback. Hosts stop, crash and restart,
# and the platform and the upstreams fail, while callers send and retry requests.
# The checks use the journals and totals of upstreams and callers, and no
# durations.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/deployment.sh
deployment_init "$1"

fail() { echo "not ok: $*"; KEEP_WORK=1; exit 1; }

# setup: starts the deployment and publishes its first configuration
setup() {
    start_platform || fail "cannot start the log service and the host list"
    operator_settings amina || fail "cannot create the operator's key"
    add_upstreams desk claims-desk 6 "lac-a charguia-b ariana-c megrine-d" \
        --slots 6 --queue 12 --service-ms 4 --seed 5 || fail "cannot start the upstreams"
    for n in 1 2 3; do start_host "tunis-$n" lac-a || fail "cannot start tunis-$n"; done
    publish_hosts
    first_configuration >"$WORK/first.toml"
    "$BIN/packages/agatecrank/agatecrank" publish -c "$WORK/amina.toml" \
        "$WORK/first.toml" >"$WORK/publish.txt" || fail "cannot publish the first configuration"
    for n in 1 2 3; do wait_ready "tunis-$n"; done
}

wait_ready() { wait_http "$(admin_port "$1")" /readyz || fail "$1 is not ready"; }

# targets: prints the caller ports of all hosts as 127.0.0.1:PORT,...
targets() {
    local n out=""
    for n in 1 2 3; do out="$out,127.0.0.1:$(caller_port tunis-$n)"; done
    echo "${out#,}"
}

# call NAME SECONDS OPTIONS...: starts callers in the background
call() {
    local name=$1 seconds=$2
    shift 2
    start "$name" "$BIN/standins/standin-caller" --targets "$(targets)" \
        --service claims-desk --token demo-token-a --path /policy/42 \
        --methods "${METHODS:-GET:70,POST:30}" --key-share 1 --rate 300 --duration-s "$seconds" \
        --answer-bytes 3000 --body-bytes 200 --deadline-ms 3000 \
        --timeout-ms 4000 --resend key --resend-max 6 --resend-delay-ms 100 \
        --journal "$WORK/$name.journal" "$@"
}

# finish NAME: waits for callers, then checks their journal and totals
finish() {
    wait "$(cat "$WORK/$1.pid")" || fail "$1: callers failed: $(cat "$WORK/$1.out")"
    [ ! -x "$BIN/standins/standin-check" ] || "$BIN/standins/standin-check" --upstream "$WORK/desk.journal" \
        --caller "$WORK/$1.journal" >"$WORK/$1.check" ||
        fail "$1: the journals have violations: $(tail -20 "$WORK/$1.check")"
    [ "$(value "$WORK/$1.out" wrong)" = 0 ] || fail "$1: wrong responses"
    [ "$(value "$WORK/$1.out" sent)" -gt 500 ] || fail "$1: callers sent too few requests"
    echo "ok: $1 sent=$(value "$WORK/$1.out" sent) ok=$(value "$WORK/$1.out" ok)" \
        "refused=$(value "$WORK/$1.out" refused) unknown=$(value "$WORK/$1.out" unknown)"
}

# restart NAME: starts a host that has ended, and waits until it is ready
restart() {
    local name=$1
    start "$name" "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/$name.toml"
    wait_ready "$name"
}

# fixed_ports NAME: makes a host listen on the same ports after a restart
fixed_ports() {
    local caller admin peer
    read -r caller admin peer <"$WORK/$1.ports"
    sed -i -e "s/^caller_port = .*/caller_port = $caller/" \
        -e "s/^admin_port = .*/admin_port = $admin/" \
        -e "s/^peer_port = .*/peer_port = $peer/" "$WORK/$1.toml"
}

# Guards against a graceful stop that loses a request or cuts off a response.
rolling_restart() {
    local n
    call rolling 9 --seed 11
    for n in 1 2 3; do
        fixed_ports "tunis-$n"
        kill -TERM "$(cat "$WORK/tunis-$n.pid")"
        wait "$(cat "$WORK/tunis-$n.pid")" || fail "tunis-$n did not end with code 0 after SIGTERM"
        restart "tunis-$n"
    done
    finish rolling
    [ "$(value "$WORK/rolling.out" incomplete)" = 0 ] || fail "rolling: incomplete responses"
}

# Guards against a second execution of a request with a key after the host that
# handled it has crashed.
killed_host() {
    call killed 4 --seed 12 --allow-incomplete 1
    sleep 1
    kill -KILL "$(cat "$WORK/tunis-2.pid")"
    wait "$(cat "$WORK/tunis-2.pid")" 2>/dev/null
    sleep 1
    restart tunis-2
    finish killed
}

# Guards against the execution of a request with a key without a claim while the
# log service is unavailable.
log_outage() {
    call outage 4 --seed 13
    sleep 1
    control "$LOG_PORT" '{"down":"503"}'
    sleep 1
    control "$LOG_PORT" '{"down":"no"}'
    finish outage
}

# Guards against a second claim for a key after the response to an append was
# lost.
lost_appends() {
    control "$LOG_PORT" '{"lose_share":0.3}'
    call lost 4 --seed 14
    finish lost
    control "$LOG_PORT" '{"lose_share":0}'
}

# Guards against wrong responses to callers when responses of upstreams are cut
# off, too long, late or plain 503 errors.
bad_upstreams() {
    upstream_control '{"short_share":0.03,"long_share":0.03,"late_share":0.05,"late_ms":50,"bare_503_share":0.05}'
    call bad 4 --seed 15 --allow-incomplete 1
    finish bad
    upstream_control '{"short_share":0,"long_share":0,"late_share":0,"bare_503_share":0}'
}

# Guards against a request that crashes one upstream after the other while its
# caller retries it through every host.
crashing_request() {
    local crashes
    upstream_control '{"crash_marker":"poison","crash_mode":"down","crash_down_ms":300}'
    METHODS=GET:100 call warm 3 --seed 16
    finish warm
    for n in 1 2 3 4 5 6 7 8; do
        http_put "$(caller_port "tunis-$((n % 3 + 1))")" /policy/9 'a poison body' >>"$WORK/poison.txt"
        # The other hosts receive the fingerprint of the request within 2 s.
        [ "$n" -gt 2 ] || sleep 2
    done
    crashes=$(grep -c 'outcome=crashed' "$WORK/desk.journal")
    grep -q 'agatecrank-reason: quarantined' "$WORK/poison.txt" || fail "the request was not quarantined: $(cat "$WORK/poison.txt")"
    [ "$crashes" -le 2 ] || fail "the request crashed $crashes upstreams, at most 2 expected"
    http_put "$(caller_port tunis-1)" /policy/9 'an innocent body' | grep -q ' 200 ' ||
        fail "a request with another body was refused"
    echo "ok: crashing_request crashes=$crashes"
    upstream_control '{"crash_marker":""}'
}

# http_put PORT PATH BODY: sends a PUT; prints status line, headers and body of
# the response
http_put() {
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'PUT %s HTTP/1.1\r\nHost: claims-desk\r\nAuthorization: Bearer demo-token-a\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$2" "${#3}" "$3" >&9
    timeout 10 cat <&9
    exec 9>&-
}

# Guards against a connection to an unresponsive upstream that uses up the whole
# deadline of a request. Idempotent requests are retried at another upstream.
silent_upstream() {
    local port
    port=$(sed -n 's/^port=\([0-9]*\) .*/\1/p' "$WORK/desk.out" | head -1)
    control "$port" '{"silent":1}'
    METHODS=GET:100 call silent 4 --seed 17 --allow-incomplete 1
    finish silent
    control "$port" '{"silent":0}'
}

# control PORT JSON: changes the settings of a stand-in
control() { http_post "$1" /control "$2" | grep -q ' 200 ' || fail "port $1 did not accept the settings $2"; }

# upstream_control JSON: changes the settings of all upstreams
upstream_control() {
    local port
    for port in $(sed -n 's/^port=\([0-9]*\) .*/\1/p' "$WORK/desk.out"); do
        control "$port" "$1"
    done
}

setup
for scenario in ${SCENARIOS:-rolling_restart killed_host log_outage lost_appends \
    bad_upstreams crashing_request silent_upstream}; do
    "$scenario"
done
grep -hE 'ERROR: AddressSanitizer|runtime error|LeakSanitizer' "$WORK"/tunis-*.err* &&
    fail "a sanitizer reported an error in a host"
echo "ok: all scenarios"
