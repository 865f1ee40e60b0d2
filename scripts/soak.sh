#!/usr/bin/env bash
# Runs gateway hosts as processes against the stand-in of the users' platform
# and injects random faults, derived from a seed. This script sends signals to
# hosts (SIGTERM, SIGKILL, SIGHUP, SIGSTOP and SIGCONT), restarts them and shifts
# their clocks. The stand-in injects faults of the store, the upstreams and the
# links, and checks the results that callers and upstreams observe.
#
# soak.sh BUILD_DIR [SEED...]
#
# For each seed it prints a line with totals, after a failure also violations.
# The settings are the environment variables below.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/gateway.sh
BIN=$(realpath "$1")
# AddressSanitizer refuses to start if another library is loaded before it. The
# library that shifts clocks is, so the check is off.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:verify_asan_link_order=0"
shift
HOSTS=${HOSTS:-4}            # gateway hosts
DOMAINS=${DOMAINS:-2}        # their failure domains
UPSTREAMS=${UPSTREAMS:-10}
RATE=${RATE:-120}            # calls per second
LOAD_MS=${LOAD_MS:-12000}    # duration of load with faults
REST_MS=${REST_MS:-3000}     # duration of load after the last fault
FAULT_PERIOD_S=${FAULT_PERIOD_S:-0.8}  # between faults of store and upstreams; 0 for none
LINK_PERIOD_S=${LINK_PERIOD_S:-0.6}    # between faults of links; 0 for none
SIGNALS=${SIGNALS:-mixed}    # mixed, term (SIGTERM only), ends (SIGTERM and SIGKILL), herd (SIGKILL to four of five
                             # hosts at once, soon after many responses begin to be lost), pairs (SIGKILL to the hosts
                             # that are cut off, twice within a second, every 6 s), upgrade (hosts of OLD_BIN are
                             # replaced one after the other by this build, and back with BACK set), stops (SIGTERM and
                             # SIGHUP in three series that overlap; the stand-in checks requests around stops, so the
                             # faults of store, upstreams and links are off) or none
OLD_BIN=${OLD_BIN:-}         # build folder of an earlier version, with which the hosts start
BACK=${BACK:-}               # not empty: after the upgrade the hosts go back to OLD_BIN
CRASH_INTERVAL_MS=${CRASH_INTERVAL_MS:-0}  # between requests that end upstreams; 0 for none
LIMIT_INTERVAL_MS=${LIMIT_INTERVAL_MS:-0}  # between changes of the limits that upstreams name; 0 for none
NOTICE_INTERVAL_MS=${NOTICE_INTERVAL_MS:-0}  # between upstreams that leave or ask for pauses; 0 for none
RESTORE_INTERVAL_MS=${RESTORE_INTERVAL_MS:-0}  # between returns of the store from a copy; 0 for none
CUT_KIND=${CUT_KIND:-}       # silent, refused or reset: cuts hosts off from the upstreams during the load
CUT_HOSTS=${CUT_HOSTS:-1}    # number of hosts that are cut off, if CUT_KIND is set
NO_FORWARD=${NO_FORWARD:-0}  # number of hosts, the first ones, without forwarding; for tests of the checks
LOSS_PERIOD_MS=${LOSS_PERIOD_MS:-0}  # duration of pauses, and of losses of many responses after each; 0 for none
LOSS_RATIO=${LOSS_RATIO:-0.5}  # fraction of the responses that are lost then
ENDLESS_SHARE=${ENDLESS_SHARE:-0}  # fraction of the responses of upstreams that do not end
REPEATED_SHARE=${REPEATED_SHARE:-0}  # fraction of the refusals of upstreams that are sent a second time, late
OUTDATED_INTERVAL_MS=${OUTDATED_INTERVAL_MS:-0}  # between entries of ended upstreams whose address is in use; 0 for none
RETRY_RATIO=${RETRY_RATIO:-0.2}  # retries per request that hosts are allowed
RETRY_EXTRA=${RETRY_EXTRA:-64}   # retries in addition to that, in 10 s
SERVED_LEAST=${SERVED_LEAST:-0.9}  # fraction of the calls after the last fault that must be served
START_MS=${START_MS:-3000}   # delay before the load
WORK_MS=${WORK_MS:-30}       # mean service time of a request
ROUTE_MS=${ROUTE_MS:-1200}   # timeout of the routes
SHOW_LATE_MS=${SHOW_LATE_MS:-0}  # print calls that take longer or are not served
KEEP=${KEEP:-}               # folder in which the logs of failed seeds are kept
KEEP_ALL=${KEEP_ALL:-}       # not empty: keep the logs of all seeds

STOPS_FILE=
if [ "$SIGNALS" = stops ]; then
    FAULT_PERIOD_S=0 LINK_PERIOD_S=0 STOPS_FILE=host-stops
fi

# write_settings HOST: writes the settings of a host
write_settings() {
    {
        gateway_settings "$1" "$(echo "$STORE_PORTS" | cut -d ' ' -f "$(($1 + 1))")" |
            if [ "$1" -lt "$NO_FORWARD" ]; then grep -v '^forward = '; else cat; fi
        printf '[bounds]\ngraceS = 6\ndrainS = 2\nprobesPerS = 60\n'
        printf 'retryBudgetRatio = %s\nretryBudgetExtra = %s\n' "$RETRY_RATIO" "$RETRY_EXTRA"
    } >"$WORK/host-$1.toml"
}

# use_program HOST BUILD_DIR: starts a host with the program of a build from now on.
# Settings that only this version has are left out for an earlier one.
use_program() {
    local key
    echo "$2" >"$WORK/program-$1"
    write_settings "$1"
    if [ "$2" = "$OLD_BIN" ]; then
        for key in forward first_start; do
            grep -q "\"$key\"" "$OLD_BIN/source/packages/gateway/GatewaySettings.c" ||
                sed -i "/^$key = /d" "$WORK/host-$1.toml"
        done
    else
        sed -i 's/^domain = .*/&\nregion = "r"/; s/^store = .*/&\nlink_mbps = 100.0/' "$WORK/host-$1.toml"
    fi
}

# record_event HOST: tells the stand-in that a host is being started, frozen or
# resumed
record_event() {
    echo "$1 $(date +%s%N)" >>"$WORK/host-events"
}

# note_state HOST STATE: tells the stand-in that a host is down, or up again
note_state() {
    echo "$2" >"$WORK/states/host-$1"
}

# start_host HOST: starts a host with a clock that inject_clock_faults can shift,
# an address of its own from which it connects, and links to the upstreams that
# the stand-in can cut
start_host() {
    local libraries=$BIN/standins/libskewed-clock.so:$BIN/standins/libhost-links.so cut=
    record_event "$1"
    [ "$1" -lt "$CUT_HOSTS" ] && cut=$WORK/cut
    SKEW_FILE=$WORK/skew-$1 LD_PRELOAD=$libraries \
        SOURCE_ADDRESS=$(loopback_address "$1") CUT_FILE=$cut \
        STORE_PORT=$(echo "$STORE_PORTS" | cut -d ' ' -f "$(($1 + 1))") \
        "$(cat "$WORK/program-$1" 2>/dev/null || echo "$BIN")/packages/agatecrankd/agatecrankd" --config "$WORK/host-$1.toml" \
        >>"$WORK/host-$1.log" 2>&1 &
    HOST_PID[$1]=$!
}

# stop_and_restart HOST SIGNAL: sends a signal to a host and starts it again when
# it has exited. After SIGTERM it must exit by itself within 6.5 s, a little more
# than its graceS, with code 0 (drained) or 3 (interrupted); else it is killed.
stop_and_restart() {
    local host=$1 signal=$2 pid=${HOST_PID[$1]} code i
    [ "$signal" = KILL ] && note_state "$host" down
    [ "$signal" = TERM ] && echo "$host $(date +%s%N)" >>"$WORK/host-stops"
    kill "-$signal" "$pid" 2>/dev/null
    for i in $(seq 65); do
        kill -0 "$pid" 2>/dev/null || break
        # Hosts accept connections for 2.5 s after SIGTERM.
        [ "$i" -eq 26 ] && note_state "$host" down
        sleep 0.1
    done
    note_state "$host" down
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    code=$?
    if [ "$signal" = TERM ] && [ "$code" -ne 0 ] && [ "$code" -ne 3 ]; then
        echo "violation: host-$host exited with code $code after SIGTERM" >>"$WORK/signals.out"
    fi
    start_host "$host"
    note_state "$host" up
}

# inject_host_faults UNTIL: sends random signals to random hosts, until a time in
# nanoseconds since 1970
inject_host_faults() {
    local until=$1 host kind
    RANDOM=$SEED
    while [ "$(date +%s%N)" -lt "$until" ]; do
        sleep "0.$((2 + RANDOM % 8))"
        host=$((RANDOM % HOSTS))
        kind=$((RANDOM % 10))
        [ "$SIGNALS" = term ] && kind=0
        [ "$SIGNALS" = ends ] && kind=$((kind % 6))
        case $kind in
        0 | 1 | 2) stop_and_restart "$host" TERM ;;
        3 | 4 | 5) stop_and_restart "$host" KILL ;;
        6) kill -HUP "${HOST_PID[$host]}" ;;
        *)
            record_event "$host"
            echo down >"$WORK/states/freeze-$host"
            kill -STOP "${HOST_PID[$host]}"
            sleep "$((RANDOM % 2)).$((RANDOM % 10))"
            record_event "$host"
            kill -CONT "${HOST_PID[$host]}"
            echo up >"$WORK/states/freeze-$host"
            ;;
        esac
    done
}

# inject_herd_kill: kills four of five hosts at once, 2 s after many responses
# begin to be lost, and starts them again
inject_herd_kill() {
    local count=$((HOSTS * 4 / 5)) host
    until grep -q '^fault=responses' "$WORK/platform.out"; do
        sleep 0.1
    done
    sleep 2
    kill -KILL "${HOST_PID[@]:0:count}"
    for host in $(seq 0 $((count - 1))); do
        note_state "$host" down
        wait "${HOST_PID[$host]}" 2>/dev/null
        start_host "$host"
        note_state "$host" up
    done
}

# inject_pair_kills UNTIL: kills the hosts that are cut off and starts them again,
# twice within a second, until a time in nanoseconds since 1970
inject_pair_kills() {
    local until=$1 host
    until grep -q '^fault=cut' "$WORK/platform.out"; do
        sleep 0.1
    done
    sleep 3
    while [ "$(date +%s%N)" -lt "$until" ]; do
        for host in $(seq 0 $((CUT_HOSTS - 1))); do
            stop_and_restart "$host" KILL
        done
        sleep 0.6
        for host in $(seq 0 $((CUT_HOSTS - 1))); do
            stop_and_restart "$host" KILL
        done
        sleep 5
    done
}

# replace_hosts BUILD_DIR UNTIL: stops one host after the other and starts it again
# with the program of a build, until a time in nanoseconds since 1970
replace_hosts() {
    local host
    for host in $(seq 0 $((HOSTS - 1))); do
        [ "$(date +%s%N)" -ge "$2" ] && break
        use_program "$host" "$1"
        stop_and_restart "$host" TERM
        sleep 0.3
    done
}

# wait_for_handlers HOST: waits until a host handles SIGTERM. One that is told to
# stop before has served nobody, and ends at once.
wait_for_handlers() {
    local masks mask i
    for i in $(seq 100); do
        masks=$(sed -n 's/^Sig\(Cgt\|Blk\):[[:space:]]*/0x/p' "/proc/${HOST_PID[$1]}/status" 2>/dev/null)
        for mask in $masks; do
            [ $((mask & 0x4000)) -ne 0 ] && return
        done
        sleep 0.1
    done
}

# run_stop_series FIRST UNTIL: starts every third host from FIRST on, and sends
# SIGTERM and SIGHUP to random ones of them until a time in nanoseconds since 1970
run_stop_series() {
    local first=$1 until=$2 host own=()
    RANDOM=$((SEED * 3 + first))
    for host in $(seq "$first" 3 $((HOSTS - 1))); do
        own+=("$host")
        start_host "$host"
    done
    sleep 4
    while [ "$(date +%s%N)" -lt "$until" ]; do
        sleep "0.$((1 + RANDOM % 9))"
        host=${own[$((RANDOM % ${#own[@]}))]}
        wait_for_handlers "$host"
        if [ $((RANDOM % 5)) -eq 0 ]; then
            kill -HUP "${HOST_PID[$host]}"
        else
            stop_and_restart "$host" TERM
        fi
    done
    until [ -e "$WORK/over" ]; do
        sleep 0.1
    done
    for host in "${own[@]}"; do
        kill -KILL "${HOST_PID[$host]}" 2>/dev/null
        wait "${HOST_PID[$host]}" 2>/dev/null
    done
}

# inject_clock_faults: repeatedly shifts the time of day of a random host by up to
# an hour in either direction
inject_clock_faults() {
    RANDOM=$((SEED + 1))
    while sleep "0.$((2 + RANDOM % 8))"; do
        echo "$(((RANDOM % 7200 - 3600) * 1000000))" \
            >"$WORK/skew-$((RANDOM % HOSTS))"
    done
}

# kill_processes: ends all hosts and the stand-in
kill_processes() {
    local pid
    for pid in "${HOST_PID[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    kill "$PLATFORM_PID" 2>/dev/null
    wait "$PLATFORM_PID" 2>/dev/null
}

# run_seed: runs the hosts and the stand-in with $SEED; returns 0 without
# violations
run_seed() {
    local targets="" host code=0 series=()
    CLOCKS_PID=
    WORK=$(mktemp -d)
    HOST_PID=()
    : >"$WORK/signals.out"
    : >"$WORK/host-stops"
    mkdir "$WORK/states"
    for host in $(seq 0 $((HOSTS - 1))); do
        targets="$targets,$(loopback_address "$host"):8080"
    done
    "$BIN/standins/standin-platform" --seed "$SEED" --hosts "${targets#,}" \
        --upstreams "$UPSTREAMS" --domains "$DOMAINS" --rate "$RATE" --load-ms "$LOAD_MS" \
        --start-ms "$START_MS" --work-ms "$WORK_MS" --route-ms "$ROUTE_MS" --show-late-ms "$SHOW_LATE_MS" \
        --rest-ms "$REST_MS" --fault-period-s "$FAULT_PERIOD_S" \
        --link-period-s "$LINK_PERIOD_S" \
        --crash-interval-ms "$CRASH_INTERVAL_MS" \
        --limit-interval-ms "$LIMIT_INTERVAL_MS" \
        --notice-interval-ms "$NOTICE_INTERVAL_MS" \
        --restore-interval-ms "$RESTORE_INTERVAL_MS" \
        --loss-period-ms "$LOSS_PERIOD_MS" --loss-ratio "$LOSS_RATIO" \
        --repeated-share "$REPEATED_SHARE" --outdated-interval-ms "$OUTDATED_INTERVAL_MS" \
        --endless-share "$ENDLESS_SHARE" --served-least "$SERVED_LEAST" \
        --host-events "$WORK/host-events" \
        --host-states "$WORK/states" \
        ${STOPS_FILE:+--host-stops "$WORK/$STOPS_FILE"} \
        ${CUT_KIND:+--cut-hosts "$CUT_HOSTS" --cut-kind "$CUT_KIND" --cut-file "$WORK/cut"} \
        >"$WORK/platform.out" 2>"$WORK/platform.err" &
    PLATFORM_PID=$!
    STORE_PORTS=$(store_ports "$WORK/platform.out")
    for host in $(seq 0 $((HOSTS - 1))); do
        if [ -n "$OLD_BIN" ]; then
            use_program "$host" "$OLD_BIN"
        else
            write_settings "$host"
        fi
        [ "$SIGNALS" = stops ] || start_host "$host"
    done
    if [ "$SIGNALS" = herd ]; then
        inject_herd_kill
    elif [ "$SIGNALS" = pairs ]; then
        inject_pair_kills "$(($(date +%s%N) + LOAD_MS * 1000000))"
    elif [ "$SIGNALS" = upgrade ]; then
        sleep 3
        replace_hosts "$BIN" "$(($(date +%s%N) + LOAD_MS * 1000000))"
        [ -n "$BACK" ] && replace_hosts "$OLD_BIN" "$(($(date +%s%N) + LOAD_MS * 1000000))"
        echo "programs=$(sort "$WORK"/program-* | uniq -c | tr '\n' ' ')"
    elif [ "$SIGNALS" = stops ]; then
        for host in 0 1 2; do
            run_stop_series "$host" "$(($(date +%s%N) + (START_MS + LOAD_MS - 1000) * 1000000))" &
            series+=($!)
        done
    elif [ "$SIGNALS" != none ]; then
        sleep 3
        inject_clock_faults &
        CLOCKS_PID=$!
        inject_host_faults "$(($(date +%s%N) + LOAD_MS * 1000000 - 3000000000))"
    fi
    wait "$PLATFORM_PID"
    code=$?
    [ -n "$CLOCKS_PID" ] && kill "$CLOCKS_PID" && wait "$CLOCKS_PID" 2>/dev/null
    touch "$WORK/over"
    [ "${#series[@]}" -eq 0 ] || wait "${series[@]}"
    kill_processes
    cat "$WORK/signals.out"
    grep -q violation "$WORK/signals.out" && code=1
    if grep -lE 'AddressSanitizer|runtime error' "$WORK"/host-*.log; then
        code=1
    fi
    [ "$code" -eq 0 ] || grep -m 8 violation "$WORK/platform.out"
    grep '^crashing=' "$WORK/platform.out"
    grep '^\(counted_at_cut\|served_at_cut\|served_elsewhere\)=' "$WORK/platform.out"
    echo "seed=$SEED code=$code $(grep -E '^(sent|served|refused|failed|unanswered|violations|retries|retries_in_window|retry_limit_used|store_calls|served_at_rest|leaving_told|pauses_told|judged_at_stops)=' "$WORK/platform.out" | tr '\n' ' ')"
    if [ -n "$KEEP" ] && { [ "$code" -ne 0 ] || [ -n "$KEEP_ALL" ]; }; then
        mkdir -p "$KEEP" && cp -r "$WORK" "$KEEP/seed-$SEED"
    fi
    rm -rf "$WORK"
    return "$code"
}

failed=0
for SEED in "${@:-1}"; do
    run_seed || failed=$((failed + 1))
done
echo "failed=$failed"
[ "$failed" -eq 0 ]
