#!/usr/bin/env bash
# Builds everything and runs the demo: see README.md.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --workspace --bins
exec target/release/demo "$@"
