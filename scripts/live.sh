#!/usr/bin/env bash
# Start the processes of one group and one box on this machine and measure them.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'scripts/down.sh "$folder"; rm -rf "$folder"' EXIT
python -m standins layout "$folder" --groups 1 --boxes 1 --data-centres 1 --service-ms 0
scripts/up.sh "$folder"
python scripts/demo.py "$folder" --only-pool >/dev/null
sleep 2
ulimit -n 8192 2>/dev/null || true
python -m benchmarks.live "$folder"
