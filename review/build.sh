#!/usr/bin/env bash
# Builds the review's stand-ins, offline: they use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
