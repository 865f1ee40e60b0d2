# Functions for scripts that run gateway hosts against standin-platform; source
# this file.

# loopback_address N: prints an address of 127.0.0.0/8 for N from 0 to 200. It is
# derived from the process id, so that runs at the same time on one machine use
# different addresses.
loopback_address() {
    echo "127.$((100 + $$ / 250 % 150)).$((1 + $$ % 250)).$((10 + $1))"
}

# store_ports FILE: waits until standin-platform has printed to FILE the ports at
# which hosts reach the store; prints them
store_ports() {
    for _ in $(seq 100); do
        grep -q '^store_ports=' "$1" && break
        sleep 0.05
    done
    sed -n 's/^store_ports= //p' "$1"
}

# gateway_settings N STORE_PORT: prints the settings of host N, which is in one
# of $DOMAINS failure domains (default 2)
gateway_settings() {
    local ip
    ip=$(loopback_address "$1")
    cat <<TOML
[host]
id = "host-$1"
domain = "d$(($1 % ${DOMAINS:-2}))"
[gateway]
callers = "$ip:8080"
readiness = "$ip:8081"
metrics = "$ip:8082"
relay = "$ip:8083"
forward = "$ip:8084"
store = "127.0.0.1:$2"
first_start = true
TOML
}
