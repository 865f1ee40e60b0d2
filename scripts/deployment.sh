# Functions that start a small deployment on loopback: stand-ins of the
# platform, upstreams and balancer hosts. Sourced by the demo, tests and benches.

# deployment_init BUILD_DIR: creates the work folder $WORK and stops the
# deployment when the shell exits
deployment_init() {
    BIN=$1
    WORK=$(mktemp -d)
    PIDS=()
    HOSTS=""
    trap deployment_stop EXIT
}

# deployment_stop: stops all processes that start has started and removes the
# work folder, unless KEEP_WORK is set
deployment_stop() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2>/dev/null
    done
    PIDS=()
    if [ -n "${KEEP_WORK:-}" ]; then
        echo "work folder kept: $WORK" >&2
    else
        rm -rf "$WORK"
    fi
}

# start NAME COMMAND...: runs a command in the background; output in
# $WORK/NAME.out, errors in $WORK/NAME.err, process id in $WORK/NAME.pid
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.out" 2>>"$WORK/$name.err" &
    PIDS+=($!)
    echo $! >"$WORK/$name.pid"
}

# wait_port NAME: waits until a stand-in prints its ports; prints the first one
wait_port() {
    local i port
    for i in $(seq 200); do
        port=$(sed -n 's/^port=\([0-9]*\).*/\1/p' "$WORK/$1.out" | head -1)
        [ -n "$port" ] && { echo "$port"; return 0; }
        sleep 0.05
    done
    echo "$1 printed no port within 10 s" >&2
    cat "$WORK/$1.err" >&2
    return 1
}

# wait_http PORT PATH: waits until a GET of the path returns status 200
wait_http() {
    local i
    for i in $(seq 200); do
        http_status "$1" "$2" | grep -q '^200$' && return 0
        sleep 0.05
    done
    echo "GET $2 on port $1 did not return 200" >&2
    return 1
}

# http_get PORT PATH [HEADER...]: sends a GET; prints status line, headers and
# body of the response
http_get() {
    local port=$1 path=$2 header
    shift 2
    exec 9<>"/dev/tcp/127.0.0.1/$port" || return 1
    {
        printf 'GET %s HTTP/1.1\r\nHost: claims-desk\r\n' "$path"
        for header in "$@"; do printf '%s\r\n' "$header"; done
        printf 'Connection: close\r\n\r\n'
    } >&9
    timeout 10 cat <&9
    exec 9>&-
}

# http_post PORT PATH BODY: sends a POST; prints status line, headers and body of
# the response
http_post() {
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf 'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$2" "${#3}" "$3" >&9
    timeout 10 cat <&9
    exec 9>&-
}

# http_status PORT PATH: sends a GET; prints the status code
http_status() {
    http_get "$1" "$2" 2>/dev/null | sed -n '1s/^HTTP\/1\.1 \([0-9]*\).*/\1/p'
}

# first_configuration: prints a document with an operator that has the key pair
# of operator_settings, two lines, two services, a caller, and a selector that
# admits it to one of the services
first_configuration() {
    cat <<TOML
[operator.amina]
public_key = "$PUBLIC_KEY"
lines = ["*"]

[line.member-a]
weight = 50
[line.member-b]
weight = 50

[service.claims-desk]
slots = 6
require_key = true
idempotent_methods = ["GET", "HEAD", "PUT"]
[service.court-calendar]
slots = 6

[caller.counter-7]
line = "member-a"
token_sha256 = "$(token_hash demo-token-a)"
labels = { role = "broker" }

[selector.lookups]
line = "member-a"
callers = { role = "broker" }
service = "claims-desk"
upstreams = { pool = "main" }
deadline_ms = 2000
TOML
}

# add_upstreams NAME SERVICE COUNT DOMAINS OPTIONS...: starts upstreams of a
# service, spread evenly over the failure domains, and adds them to $HOSTS
add_upstreams() {
    local name=$1 service=$2 count=$3 domains=$4 i=0 port id domain
    shift 4
    start "$name" "$BIN/standins/standin-upstream" --port 0 --count "$count" \
        --id-prefix "$name" --journal "$WORK/$name.journal" "$@"
    wait_port "$name" >/dev/null || return 1
    for i in $(seq 100); do
        [ "$(grep -c '^port=' "$WORK/$name.out")" -ge "$count" ] && break
        sleep 0.05
    done
    i=0
    while read -r port id; do
        domain=$(echo "$domains" | cut -d' ' -f$((i % $(echo "$domains" | wc -w) + 1)))
        HOSTS="$HOSTS,{\"id\":\"$id\",\"role\":\"upstream\",\"address\":\"127.0.0.1\",\"port\":$port,\"service\":\"$service\",\"domain\":\"$domain\",\"state\":\"live\",\"labels\":{\"pool\":\"main\"}}"
        i=$((i + 1))
    done < <(sed -n 's/^port=\([0-9]*\) id=\(.*\)$/\1 \2/p' "$WORK/$name.out")
}

# peer_keys: creates the CURVE key pair that all hosts of the deployment share
peer_keys() {
    [ -f "$WORK/peers.key" ] && return 0
    "$BIN/packages/agatecrank/agatecrank" keygen --peer "$WORK/peers.key" >/dev/null &&
        cp "$WORK/peers.key.pub" "$WORK/peers.allowed"
}

# start_platform: starts the log service and the host list
start_platform() {
    start log "$BIN/standins/standin-log" --port 0
    LOG_PORT=$(wait_port log) || return 1
    start hostlist "$BIN/standins/standin-hostlist" --port 0
    LIST_PORT=$(wait_port hostlist) || return 1
}

# publish_hosts: sets the entries of the host list to $HOSTS
publish_hosts() {
    local body="{\"hosts\":[${HOSTS#,}]}"
    http_post "$LIST_PORT" /control "$body" >"$WORK/hostlist.reply"
}

# operator_settings NAME: creates a key pair and the settings of the operators'
# command
operator_settings() {
    local name=$1
    PUBLIC_KEY=$("$BIN/packages/agatecrank/agatecrank" keygen "$WORK/$name.key") || return 1
    BOOTSTRAP_KEY=${BOOTSTRAP_KEY:-$PUBLIC_KEY}
    cat >"$WORK/$name.toml" <<TOML
log_url = "http://127.0.0.1:$LOG_PORT"
host_list_url = "http://127.0.0.1:$LIST_PORT"
operator = "$name"
key_file = "$WORK/$name.key"
bootstrap_keys = ["$BOOTSTRAP_KEY"]
TOML
}

# start_host NAME DOMAIN [TOML]: starts a balancer host with additional settings
# and adds it to $HOSTS; caller, admin and peer port in $WORK/NAME.ports
start_host() {
    local name=$1 domain=$2 extra=${3:-} i caller admin peer
    peer_keys || return 1
    cat >"$WORK/$name.toml" <<TOML
[host]
id = "$name"
deployment = "demo"
domain = "$domain"
[listen]
caller_address = "127.0.0.1"
caller_port = 0
admin_address = "127.0.0.1"
admin_port = 0
peer_address = "127.0.0.1"
peer_port = 0
[log]
url = "http://127.0.0.1:$LOG_PORT"
[host_list]
url = "http://127.0.0.1:$LIST_PORT"
interval_ms = 200
[config]
bootstrap_keys = ["$BOOTSTRAP_KEY"]
[curve]
public_key_file = "$WORK/peers.key.pub"
secret_key_file = "$WORK/peers.key"
peer_keys_file = "$WORK/peers.allowed"
$extra
TOML
    start "$name" "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/$name.toml"
    for i in $(seq 200); do
        grep -q event=listening "$WORK/$name.err" && break
        sleep 0.05
    done
    read -r caller admin peer < <(sed -n 's/.*event=listening caller_port=\([0-9]*\) admin_port=\([0-9]*\) peer_port=\([0-9]*\).*/\1 \2 \3/p' "$WORK/$name.err")
    [ -n "$caller" ] || { echo "host $name did not log event=listening within 10 s" >&2; return 1; }
    echo "$caller $admin $peer" >"$WORK/$name.ports"
    HOSTS="$HOSTS,{\"id\":\"$name\",\"role\":\"balancer\",\"address\":\"127.0.0.1\",\"port\":$caller,\"peer_port\":$peer,\"domain\":\"$domain\",\"state\":\"live\"}"
}

caller_port() { cut -d' ' -f1 "$WORK/$1.ports"; }
admin_port() { cut -d' ' -f2 "$WORK/$1.ports"; }

# token_hash TOKEN: prints the value of token_sha256
token_hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# value FILE NAME: prints the value of the last line NAME=value
value() { sed -n "s/^$2=//p" "$1" | tail -1; }
