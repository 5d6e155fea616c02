#!/usr/bin/env bash
# Plays seeds of the soak one after another beside busy loops, and appends a line a play to a file.
#   scripts/soak-beside-load.sh BUSY_LOOPS PLAYS_FILE LOG_FOLDER SEED...
# The size is that of POINTVANE_SOAK_NODES. Build the workspace with its tests first.
set -euo pipefail
cd "$(dirname "$0")/.."
busy_loops=$1 plays=$2 logs=$3
shift 3
mkdir -p "$logs"
busy=()
end_busy_loops() { [ ${#busy[@]} -eq 0 ] || kill "${busy[@]}" 2>/dev/null || true; }
trap end_busy_loops EXIT
for _ in $(seq "$busy_loops"); do
    while :; do :; done &
    busy+=($!)
done
commit=$(git rev-parse --short HEAD)$(git diff --quiet HEAD -- '*.rs' '*.toml' || echo -changed)
for seed in "$@"; do
    log=$logs/$(date +%H%M%S)-$seed.log
    started=$(date +%s) highest=0
    before=$(cut -d' ' -f1 /proc/loadavg)
    POINTVANE_SOAK_SEEDS=$seed..$((seed + 1)) cargo test -q -p pointvane-standins --test soak guarantees -- --nocapture \
        >"$log" 2>&1 &
    play=$!
    while kill -0 "$play" 2>/dev/null; do
        now=$(cut -d' ' -f1 /proc/loadavg)
        highest=$(printf '%s\n' "$now" "$highest" | sort -g | tail -1)
        sleep 1
    done
    result=passed
    wait "$play" || result=FAILED
    found=$(grep -o '[0-9]* violations' "$log" | head -1 || true)
    echo "$(date -u +%H:%M:%S) $commit seed $seed, ${POINTVANE_SOAK_NODES:-drawn} nodes, $(nproc) cores, $busy_loops busy" \
        "loops, load average $before to $highest, $(($(date +%s) - started)) s: $result, ${found:-did not finish}" >>"$plays"
done
