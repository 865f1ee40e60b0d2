#!/usr/bin/env bash
# Runs gateway hosts as processes against the stand-in of the users' platform,
# and disturbs both by a seed: hosts get SIGTERM, SIGKILL, SIGSTOP and SIGCONT
# in overlapping series and are started again; the stand-in disturbs store and
# upstreams and checks what callers and upstreams see.
#
# soak.sh BUILD_DIR [SEED...]   settings by environment variables, see below
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
BIN=$(realpath "$1")
# The library that shifts clocks is loaded before that of the sanitizer.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:verify_asan_link_order=0"
shift
HOSTS=${HOSTS:-4}            # gateway hosts, in two failure domains
UPSTREAMS=${UPSTREAMS:-10}
RATE=${RATE:-120}            # calls a second
LOAD_MS=${LOAD_MS:-12000}    # time of load and faults
REST_MS=${REST_MS:-3000}     # load after the last fault, served again by then
FAULT_PERIOD_S=${FAULT_PERIOD_S:-0.8}  # of the stand-in; 0 for none
LINK_PERIOD_S=${LINK_PERIOD_S:-0.6}    # of the links between processes; 0 for none
SIGNALS=${SIGNALS:-mixed}    # mixed, term or none
SERVED_LEAST=${SERVED_LEAST:-0.9}
START_MS=${START_MS:-3000}   # time before the load
WORK_MS=${WORK_MS:-30}       # mean time of a request
SHOW_LATE_MS=${SHOW_LATE_MS:-0}  # print calls that are not served or take longer
KEEP=${KEEP:-}               # folder for the logs of seeds that fail
KEEP_ALL=${KEEP_ALL:-}       # also of those that pass

write_settings() {
    {
        gateway_settings "$1" "$(echo "$STORE_PORTS" | cut -d ' ' -f "$(($1 + 1))")"
        printf '[bounds]\ngraceS = 6\ndrainS = 2\nprobesPerS = 60\nretryBudgetRatio = 0.2\n'
    } >"$WORK/host-$1.toml"
}

start_host() {
    SKEW_FILE=$WORK/skew-$1 LD_PRELOAD=$BIN/standins/libskewed-clock.so \
        "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/host-$1.toml" \
        >>"$WORK/host-$1.log" 2>&1 &
    HOST_PID[$1]=$!
}

# The process ends by itself after SIGTERM; it is killed after the grace time.
stop_and_restart() {
    local host=$1 signal=$2 pid=${HOST_PID[$1]} code
    kill "-$signal" "$pid" 2>/dev/null
    for _ in $(seq 65); do
        kill -0 "$pid" 2>/dev/null || break
        sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    code=$?
    if [ "$signal" = TERM ] && [ "$code" -ne 0 ] && [ "$code" -ne 3 ]; then
        echo "violation: host-$host ended with $code" >>"$WORK/signals.out"
    fi
    start_host "$host"
}

disturb_hosts() {
    local until=$1 host kind
    RANDOM=$SEED
    while [ "$(date +%s%N)" -lt "$until" ]; do
        sleep "0.$((2 + RANDOM % 8))"
        host=$((RANDOM % HOSTS))
        kind=$((RANDOM % 10))
        [ "$SIGNALS" = term ] && kind=0
        case $kind in
        0 | 1 | 2) stop_and_restart "$host" TERM ;;
        3 | 4 | 5) stop_and_restart "$host" KILL ;;
        6) kill -HUP "${HOST_PID[$host]}" ;;
        *)
            kill -STOP "${HOST_PID[$host]}"
            sleep "$((RANDOM % 2)).$((RANDOM % 10))"
            kill -CONT "${HOST_PID[$host]}"
            ;;
        esac
    done
}

# Sets the time of day of one host off by up to an hour, again and again.
disturb_clocks() {
    RANDOM=$((SEED + 1))
    while sleep "0.$((2 + RANDOM % 8))"; do
        echo "$(((RANDOM % 7200 - 3600) * 1000000))" \
            >"$WORK/skew-$((RANDOM % HOSTS))"
    done
}

end_processes() {
    local pid
    for pid in "${HOST_PID[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    kill "$PLATFORM_PID" 2>/dev/null
    wait "$PLATFORM_PID" 2>/dev/null
}

play() {
    local targets="" host code=0
    CLOCKS_PID=
    WORK=$(mktemp -d)
    HOST_PID=()
    : >"$WORK/signals.out"
    for host in $(seq 0 $((HOSTS - 1))); do
        targets="$targets,$(loopback_address "$host"):8080"
    done
    "$BIN/standins/standin-platform" --seed "$SEED" --hosts "${targets#,}" \
        --upstreams "$UPSTREAMS" --rate "$RATE" --load-ms "$LOAD_MS" \
        --start-ms "$START_MS" --work-ms "$WORK_MS" --show-late-ms "$SHOW_LATE_MS" \
        --rest-ms "$REST_MS" --fault-period-s "$FAULT_PERIOD_S" \
        --link-period-s "$LINK_PERIOD_S" \
        --served-least "$SERVED_LEAST" \
        >"$WORK/platform.out" 2>"$WORK/platform.err" &
    PLATFORM_PID=$!
    STORE_PORTS=$(store_ports "$WORK/platform.out")
    for host in $(seq 0 $((HOSTS - 1))); do
        write_settings "$host"
        start_host "$host"
    done
    if [ "$SIGNALS" != none ]; then
        sleep 3
        disturb_clocks &
        CLOCKS_PID=$!
        disturb_hosts "$(($(date +%s%N) + LOAD_MS * 1000000 - 3000000000))"
    fi
    wait "$PLATFORM_PID"
    code=$?
    [ -n "$CLOCKS_PID" ] && kill "$CLOCKS_PID" && wait "$CLOCKS_PID" 2>/dev/null
    end_processes
    cat "$WORK/signals.out"
    grep -q violation "$WORK/signals.out" && code=1
    if grep -lE 'AddressSanitizer|runtime error' "$WORK"/host-*.log; then
        code=1
    fi
    [ "$code" -eq 0 ] || grep -m 8 violation "$WORK/platform.out"
    echo "seed=$SEED code=$code $(grep -E '^(sent|served|refused|failed|unanswered|violations|store_calls|served_at_rest)=' "$WORK/platform.out" | tr '\n' ' ')"
    if [ -n "$KEEP" ] && { [ "$code" -ne 0 ] || [ -n "$KEEP_ALL" ]; }; then
        mkdir -p "$KEEP" && cp -r "$WORK" "$KEEP/seed-$SEED"
    fi
    rm -rf "$WORK"
    return "$code"
}

failed=0
for SEED in "${@:-1}"; do
    play || failed=$((failed + 1))
done
echo "failed=$failed"
[ "$failed" -eq 0 ]
