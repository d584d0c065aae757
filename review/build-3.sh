#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later, with the compiler and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in long_entries odd_entry poison; do
    rustc --edition 2021 -O -o "target/review-3/$name" "review/standins-3/$name.rs"
done
