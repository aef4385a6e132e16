#!/usr/bin/env bash
# Builds the stand-ins that the cases 4, 5 and 6 start, from the standard library alone: state
# service, cloud, workers and users in one program. The project's own stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -D warnings -o target/review-2/world review/stand-ins-2/main.rs
