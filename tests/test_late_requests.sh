#!/usr/bin/env bash
# Runs a gateway host as a process that is told to stop while requests arrive that
# may take longer than the stop does, or are open. The upstreams work for longer.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
build=$(realpath "$1")
work=$(mktemp -d)
host_pid=
ip=$(loopback_address 0)

end_processes() {
    kill -KILL $host_pid $platform_pid 2>/dev/null
    wait $host_pid $platform_pid 2>/dev/null
    rm -rf "$work"
}
trap end_processes EXIT

fail() {
    echo "not ok: $*"
    cat "$work/host.log"
    exit 1
}

# wait_for SECONDS COMMAND...: waits until the command succeeds
wait_for() {
    local i
    for i in $(seq $(($1 * 20))); do
        "${@:2}" && return
        sleep 0.05
    done
    fail "timed out: ${*:2}"
}

is_ready() {
    [[ $(curl -s -o /dev/null -w '%{http_code}' "http://$ip:8081/") = 200 ]]
}

has_logged() {
    grep -q "event=$1" "$work/host.log"
}

start_host() {
    : >"$work/host.log"
    "$build/packages/agatecrankd/agatecrankd" --config "$work/host.toml" >>"$work/host.log" 2>&1 &
    host_pid=$!
    wait_for 60 is_ready
}

# send_head FD METHOD PATH TIMEOUT_MS: opens a connection and sends the beginning
# of a request with a body of 4 bytes
send_head() {
    eval "exec $1<>/dev/tcp/$ip/8080"
    printf '%s %s HTTP/1.1\r\nhost: gateway.example\r\nagatecrank-attempt-id: %016x\r\n' "$2" "$3" "$1" >&"$1"
    printf 'agatecrank-timeout-ms: %d\r\ncontent-length: 4\r\n\r\nab' "$4" >&"$1"
}

# read_response FD: prints the response up to the end of the connection
read_response() {
    timeout 30 cat <&"$1"
    eval "exec $1>&-"
}

"$build/standins/standin-platform" --hosts "$ip:8080" --upstreams 2 --start-ms 600000 \
    --work-ms 60000 --route-ms 8000 >"$work/platform.out" 2>&1 &
platform_pid=$!
{
    gateway_settings 0 "$(store_ports "$work/platform.out")"
    printf '[bounds]\ngraceS = 6\ndrainS = 2\nprobesPerS = 60\nretryBudgetRatio = 0.2\nretryBudgetExtra = 64\n'
} >"$work/host.toml"

# Guards against requests that a host takes after SIGTERM and cuts when it ends.
start_host
send_head 5 POST /once/late 8000
send_head 6 POST /safe/late 8000
kill -TERM "$host_pid"
wait_for 10 has_logged stopping
printf cd >&5
printf cd >&6
for fd in 5 6; do
    response=$(read_response "$fd")
    [[ $response = "HTTP/1.1 503 "* ]] || fail "late request $fd got: ${response:-no response}"
    grep -qi '^retry-after: 0\.' <<<"$response" || fail "no short Retry-After: $response"
    grep -qi '^connection: close' <<<"$response" || fail "the connection stays: $response"
done
wait "$host_pid"
has_logged 'stopped interrupted_requests=0' || fail "requests are open at the end"
echo "ok: late requests"

# Guards against requests that are open when the host ends and get no response.
start_host
send_head 7 POST /once/open 8000
send_head 8 POST /safe/open 8000
printf cd >&7
printf cd >&8
wait_for 10 has_logged 'route request=0000000000000007'
wait_for 10 has_logged 'route request=0000000000000008'
kill -TERM "$host_pid"
for fd in 7 8; do
    response=$(read_response "$fd")
    [[ $response = "HTTP/1.1 502 "* ]] || fail "open request $fd got: ${response:-no response}"
done
wait "$host_pid"
[ $? -eq 3 ] || fail "the exit code does not tell of open requests"
has_logged 'stopped interrupted_requests=2' || fail "the log does not tell of open requests"
echo "ok: open requests"
