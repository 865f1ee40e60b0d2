#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program for each case with a
# case.c, from it and standin-2/kit.c. Needs a C compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standin-2/bin
for source in [0-9]*/case.c; do
    number=${source%/case.c}
    "${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -pthread -Istandin-2 \
        -o "standin-2/bin/case-$number" "$source" standin-2/kit.c -lm
done
