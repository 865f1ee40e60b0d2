# For scripts that run gateway hosts against standin-platform; sourced.

# loopback_address N: an address of 127.0.0.0/8 that no other run on this
# machine uses at the same time, by the id of the process; N from 0 to 200.
loopback_address() {
    echo "127.$((100 + $$ / 250 % 150)).$((1 + $$ % 250)).$((10 + $1))"
}

# store_ports FILE: the ports at which hosts reach the store, once
# standin-platform has printed them to FILE
store_ports() {
    for _ in $(seq 100); do
        grep -q '^store_ports=' "$1" && break
        sleep 0.05
    done
    sed -n 's/^store_ports= //p' "$1"
}

# gateway_settings N STORE_PORT: settings of host N
gateway_settings() {
    local ip
    ip=$(loopback_address "$1")
    cat <<TOML
[host]
id = "host-$1"
domain = "d$(($1 % 2))"
[gateway]
callers = "$ip:8080"
readiness = "$ip:8081"
metrics = "$ip:8082"
relay = "$ip:8083"
store = "127.0.0.1:$2"
TOML
}
