#!/usr/bin/env bash
# Builds the stand-ins that the cases 6, 7 and 9 start, after the build of the deploy file. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in probe configs ledger; do
    rustc --edition 2021 -O -o "target/review-2/$case" "review/standins-2/$case.rs"
done
