#!/usr/bin/env bash
# Builds the programs of the cases of the third review to target/review-3. They
# need a C compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in storm unread fields quota busy; do
    "${CC:-cc}" -std=gnu11 -O1 -Wall -Wextra -Ireview/lab3 -o "target/review-3/$name" \
        review/lab3/lab.c "review/lab3/$name.c" -lpthread
done
