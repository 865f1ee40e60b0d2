# Functions for tests of one gateway host against a crowd of callers that ignore
# its limits; source this file at the repository's root.
. scripts/gateway.sh

CROWD_PID=
HOST_PID=
PLATFORM_PID=
MEMORY_MB=64
DESCRIPTORS_MAX=4100
# In the ratio of 64 MB to 260 MB to MEMORY_MB.
BODY_BYTES=16500000
# Of DESCRIPTORS_MAX, reserved for files by the platform.
FILE_DESCRIPTORS=200
ROUTE_TIME_S=20
ORDINARY_TRIES=10
SETTLE_TIME_S=240

fail() { echo "not ok: $*"; exit 1; }

stop_all() {
    local pid
    for pid in $CROWD_PID $HOST_PID $PLATFORM_PID; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    grep -hE 'AddressSanitizer|runtime error' "$WORK/host.log" && STATUS=1
    if [ -n "${KEEP:-}" ]; then cp -r "$WORK" "$KEEP"; fi
    rm -rf "$WORK"
    exit "${STATUS:-1}"
}

# start_deployment BUILD_DIR: starts the stand-in of the platform and one host with
# the limits above
start_deployment() {
    BIN=$(realpath "$1")
    WORK=$(mktemp -d)
    trap 'STATUS=$?; stop_all' EXIT
    TARGET=$(loopback_address 0):8080
    "$BIN/standins/standin-platform" --hosts "$TARGET" --upstreams 2 --start-ms 3600000 \
        --work-ms 5 --body-bytes-max "$BODY_BYTES" --route-ms "$((ROUTE_TIME_S * 1000))" \
        >"$WORK/platform.out" 2>"$WORK/platform.err" &
    PLATFORM_PID=$!
    gateway_settings 0 "$(store_ports "$WORK/platform.out" | cut -d ' ' -f 1)" |
        sed "s/^store = .*/&\nmemory_mb = $MEMORY_MB\ndescriptors_max = $DESCRIPTORS_MAX/" \
            >"$WORK/host.toml"
    # Freed memory that the sanitizer holds back is not the host's.
    ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=0" \
        bash -c "ulimit -n $DESCRIPTORS_MAX; exec \"\$@\"" host \
        "$BIN/packages/agatecrankd/agatecrankd" --config "$WORK/host.toml" >"$WORK/host.log" 2>&1 &
    HOST_PID=$!
    check_ordinary
    IDLE_KB=$(status_kb VmRSS)
    # The sanitizers need memory of their own.
    grep -q '^SANITIZE:BOOL=ON' "$BIN/CMakeCache.txt" || IDLE_KB=0
}

# status_kb NAME: a field of the host's memory in kB
status_kb() { sed -n "s/^$1:[^0-9]*\([0-9]*\).*/\1/p" "/proc/$HOST_PID/status"; }

# unread_bytes: bytes that the system has received for the host and that it has not
# read
unread_bytes() {
    local address total=0 queue
    address=$(printf '%02X' $(loopback_address 0 | tr . '\n' | tac)):1F90
    for queue in $(awk -v a="$address" '$2 == a { print substr($5, 10) }' /proc/net/tcp); do
        total=$((total + 16#$queue))
    done
    echo "$total"
}

descriptors() { ls "/proc/$HOST_PID/fd" | wc -l; }

# check_ordinary: one ordinary request must be answered with 200
check_ordinary() {
    local i
    for i in $(seq "$ORDINARY_TRIES"); do
        timeout 30 "$BIN/standins/standin-crowd" --target "$TARGET" --kind get --wait 1 \
            >>"$WORK/ordinary.out" 2>&1 && return
        sleep 0.3
    done
    fail "an ordinary request is not answered"
}

check_bounds() {
    local peak unread kept
    kill -0 "$HOST_PID" 2>/dev/null || fail "the host has ended"
    peak=$(status_kb VmHWM)
    unread=$(unread_bytes)
    kept=$((((peak - IDLE_KB) * 1024 + unread) / 1000))
    echo "kept_kb=$kept unread_bytes=$unread bound_kb=$((MEMORY_MB * 1000)) descriptors=$MOST_DESCRIPTORS bound=$((DESCRIPTORS_MAX - FILE_DESCRIPTORS))"
    [ "$kept" -le $((MEMORY_MB * 1000)) ] || fail "memory"
    [ "$MOST_DESCRIPTORS" -le $((DESCRIPTORS_MAX - FILE_DESCRIPTORS)) ] || fail "descriptors"
}

# run_crowd KIND CONNECTIONS BYTES [OPTION...]: runs a crowd in place of the one
# before, and checks the host when it has settled and after an ordinary request
run_crowd() {
    local kind=$1 connections=$2 bytes=$3 i n
    shift 3
    MOST_DESCRIPTORS=0
    if [ -n "$CROWD_PID" ]; then
        kill "$CROWD_PID"
        wait "$CROWD_PID" 2>/dev/null
    fi
    "$BIN/standins/standin-crowd" --target "$TARGET" --kind "$kind" \
        --connections "$connections" --bytes "$bytes" "$@" >"$WORK/crowd.out" 2>&1 &
    CROWD_PID=$!
    for i in $(seq $((SETTLE_TIME_S * 10))); do
        n=$(descriptors 2>/dev/null)
        [ "${n:-0}" -gt "$MOST_DESCRIPTORS" ] && MOST_DESCRIPTORS=$n
        grep -q '^settled=' "$WORK/crowd.out" && break
        kill -0 "$HOST_PID" 2>/dev/null || fail "the host has ended"
        kill -0 "$CROWD_PID" 2>/dev/null || fail "the crowd has ended"
        sleep 0.1
    done
    grep -q '^settled=' "$WORK/crowd.out" || fail "the crowd does not settle"
    tr '\n' ' ' <"$WORK/crowd.out"
    check_bounds
    check_ordinary
    check_bounds
    echo "ok: $kind"
}
