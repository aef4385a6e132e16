#!/usr/bin/env bash
# The stand-ins need no build: they are Python scripts that use the standard library only. The cases
# play what `cargo build --release --locked` has built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/release/glenmount || cargo build --release --locked
python3 -c 'import http.server, socketserver, sys; assert sys.version_info >= (3, 8)'
