#!/bin/bash
# Builds the stand-ins of the cases 4 to 8; they need the standard library alone, and no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
