#!/usr/bin/env bash
# Start two idle deployments, of one and of six groups, and measure the slopes of docs/CAPACITY.md.
set -eu
cd "$(dirname "$0")/.."
small=$(mktemp -d) large=$(mktemp -d)
trap 'scripts/down.sh "$small"; scripts/down.sh "$large"; rm -rf "$small" "$large"' EXIT
python -m standins layout "$small" --groups 1 --boxes 1 --data-centres 1
python -m standins layout "$large" --groups 6 --boxes 1 --data-centres 1
for folder in "$small" "$large"; do
  scripts/up.sh "$folder"
  python scripts/demo.py "$folder" --only-pool >/dev/null
done
sleep 3
python -m benchmarks.slopes "$small" "$large"
