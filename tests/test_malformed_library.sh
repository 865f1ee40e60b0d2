#!/usr/bin/env bash
# Runs the malformed cases that a lenient HTTP parser accepts; see LIBRARY_CASES
# in test_hardening.sh.
cd "$(dirname "$0")/.."
SCENARIOS=malformed_library exec bash tests/test_hardening.sh "$1"
