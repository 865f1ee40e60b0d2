#!/usr/bin/env bash
# Functions that start and stop the stand-ins; source this file. STANDINS_BUILD
# is the build folder, STANDINS_DIR an existing folder for output and journals.
# Only processes that were started by these functions are stopped.

declare -A STANDIN_PID=()
declare -A STANDIN_PORT=()
STANDIN_ORDER=()

# standin_background NAME PROGRAM [OPTION...]: starts a program of the build
# folder; output in STANDINS_DIR/NAME.out and NAME.err
standin_background() {
    local name=$1 program=$2
    shift 2
    [ -z "${STANDIN_PID[$name]:-}" ] || {
        echo "standins: $name is already running" >&2
        return 1
    }
    "$STANDINS_BUILD/$program" "$@" > "$STANDINS_DIR/$name.out" \
        2> "$STANDINS_DIR/$name.err" &
    STANDIN_PID[$name]=$!
    STANDIN_ORDER+=("$name")
}

# standin_start NAME PROGRAM [OPTION...]: starts a server and waits until it has
# printed its ports; stores the first one in STANDIN_PORT[NAME]
standin_start() {
    local name=$1 tries=0
    standin_background "$@" || return 1
    until grep -q '^port=' "$STANDINS_DIR/$name.out"; do
        tries=$((tries + 1))
        if [ "$tries" -gt 200 ] || ! kill -0 "${STANDIN_PID[$name]}" 2>/dev/null; then
            echo "standins: $name exited or printed no port within 10 s" >&2
            cat "$STANDINS_DIR/$name.err" >&2
            return 1
        fi
        sleep 0.05
    done
    STANDIN_PORT[$name]=$(sed -n '1s/^port=\([0-9]*\).*/\1/p' "$STANDINS_DIR/$name.out")
}

# standin_log, standin_hostlist, standin_upstream NAME [OPTION...]: start a log
# service, a host list or upstreams
standin_log() { standin_start "$1" standins/standin-log "${@:2}"; }
standin_hostlist() { standin_start "$1" standins/standin-hostlist "${@:2}"; }
standin_upstream() {
    standin_start "$1" standins/standin-upstream --id-prefix "$1" \
        --journal "$STANDINS_DIR/$1.journal" "${@:2}"
}

# standin_call NAME TARGETS [OPTION...]: runs callers and waits until they end;
# summary in STANDINS_DIR/NAME.out, returns their exit code
standin_call() {
    "$STANDINS_BUILD/standins/standin-caller" --targets "$2" --id-prefix "$1" \
        --journal "$STANDINS_DIR/$1.journal" "${@:3}" \
        > "$STANDINS_DIR/$1.out" 2> "$STANDINS_DIR/$1.err"
}

# standin_call_background NAME TARGETS [OPTION...]: the same without waiting;
# standin_wait NAME waits for the end
standin_call_background() {
    standin_background "$1" standins/standin-caller --targets "$2" --id-prefix "$1" \
        --journal "$STANDINS_DIR/$1.journal" "${@:3}"
}

# standin_value NAME KEY: prints a value of a summary, or 0 if it is missing
standin_value() {
    local value
    value=$(sed -n "s/^$2=//p" "$STANDINS_DIR/$1.out")
    echo "${value:-0}"
}

# standin_ports NAME: prints all ports of a server, one per line
standin_ports() { sed -n 's/^port=\([0-9]*\).*/\1/p' "$STANDINS_DIR/$1.out"; }

# standin_targets NAME: prints all ports as 127.0.0.1:PORT,...
standin_targets() { standin_ports "$1" | sed 's/^/127.0.0.1:/' | paste -sd, -; }

# standin_control NAME JSON [INDEX]: changes the settings of a running server by a
# POST to /control of its port INDEX (from 0, default 0); prints the response
standin_control() {
    local port
    port=$(standin_ports "$1" | sed -n "$((${3:-0} + 1))p")
    standin_http POST "$port" /control "$2"
}

# standin_show NAME [INDEX]: prints the counters of a server
standin_show() {
    local port
    port=$(standin_ports "$1" | sed -n "$((${2:-0} + 1))p")
    standin_http GET "$port" /control ""
}

# standin_http METHOD PORT PATH BODY: sends a request through /dev/tcp of bash;
# prints the body of the response, returns 0 for a 2xx status
standin_http() {
    local fd line status="" length=0
    exec {fd}<> "/dev/tcp/127.0.0.1/$2" || return 1
    printf '%s %s HTTP/1.1\r\nhost: standin\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
        "$1" "$3" "$(LC_ALL=C; echo ${#4})" "$4" >&"$fd"
    while IFS= read -r line <&"$fd" && line=${line%$'\r'} && [ -n "$line" ]; do
        [ -n "$status" ] || status=${line:9:3}
        case $line in content-length:*) length=${line#content-length: } ;; esac
    done
    [ "$length" -eq 0 ] || head -c "$length" <&"$fd"
    exec {fd}>&-
    [ "${status:0:1}" = 2 ]
}

# standin_hosts SERVICE NAME...: prints the host list entries of upstreams as the
# elements of a JSON array, without brackets. DOMAINS may contain the names of
# failure domains, separated by spaces.
standin_hosts() {
    local service=$1 name port id n=0 first=1
    local domains=(${DOMAINS:-local})
    shift
    for name in "$@"; do
        while read -r port id; do
            [ "$first" = 1 ] || printf ','
            first=0
            printf '{"id":"%s","role":"upstream","address":"127.0.0.1","port":%d,"peer_port":0,"service":"%s","domain":"%s","state":"live","labels":{}}' \
                "$id" "$port" "$service" "${domains[$((n % ${#domains[@]}))]}"
            n=$((n + 1))
        done < <(sed -n 's/^port=\([0-9]*\) id=\(.*\)/\1 \2/p' "$STANDINS_DIR/$name.out")
    done
}

# standin_wait NAME: waits for a background program; returns its exit code
standin_wait() {
    local code=0
    wait "${STANDIN_PID[$1]}" || code=$?
    unset "STANDIN_PID[$1]"
    return "$code"
}

# standin_stop NAME [SIGNAL]: sends a signal, by default TERM, to a process and
# waits until it ends; returns its exit code
standin_stop() {
    local pid=${STANDIN_PID[$1]:-} code=0
    [ -n "$pid" ] || return 0
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null || code=$?
    unset "STANDIN_PID[$1]"
    return "$code"
}

# standin_stop_all: stops all processes that still run, in the reverse order of
# their start; for a trap on EXIT
standin_stop_all() {
    local i
    for ((i = ${#STANDIN_ORDER[@]} - 1; i >= 0; i--)); do
        standin_stop "${STANDIN_ORDER[$i]}" || true
    done
    STANDIN_ORDER=()
}
