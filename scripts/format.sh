#!/usr/bin/env bash
# Formats the C sources (--write), or fails if their format differs from
# .clang-format (--check).
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h' |
    grep -v '\.pb-c\.' | while read -r f; do [ -f "$f" ] && echo "$f"; done)
[ "${#files[@]}" -gt 0 ] || exit 0
if [ "${1:-}" = --write ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
