#!/usr/bin/env bash
# Starts the stand-ins and real ashhoistd processes, measures, and ends them.
# Usage: scripts/bench.sh BIN WHAT INSTANCES
set -euo pipefail
bin=$1 what=${2:-all} instances=${3:-8}
directory=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$directory"
}
trap cleanup EXIT
"$bin/python" -m ashhoist_bench.standins_main --file "$directory/addresses.json" &
pids+=($!)
while [ ! -s "$directory/addresses.json" ]; do sleep 0.1; done
"$bin/python" -m ashhoist_bench.path_bench settings --directory "$directory" \
    --instances "$instances"
for ((index = 0; index < instances; index++)); do
    "$bin/ashhoistd" --settings "$directory/instance-$index.ini" &
    pids+=($!)
    echo $! >"$directory/instance-$index.pid"
done
"$bin/python" -m ashhoist_bench.path_bench "$what" --directory "$directory" \
    --instances "$instances"
