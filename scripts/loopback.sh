# loopback_address N: an address of 127.0.0.0/8 that no other run on this
# machine uses at the same time, by the id of the process; N from 0 to 200.
loopback_address() {
    echo "127.$((100 + $$ / 250 % 150)).$((1 + $$ % 250)).$((10 + $1))"
}
