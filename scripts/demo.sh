#!/usr/bin/env bash
# Start a deployment, run the demo on it and end it; exits 0 only if every check passed.
set -u
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'scripts/down.sh "$folder"; rm -rf "$folder"' EXIT
python -m standins layout "$folder"
scripts/up.sh "$folder"
python scripts/demo.py "$folder"
