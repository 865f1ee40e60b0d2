#!/usr/bin/env bash
# The malformed cases that need a stricter parser than the library's.
cd "$(dirname "$0")/.."
SCENARIOS=malformed_library exec bash tests/test_hardening.sh "$1"
