#!/usr/bin/env bash
# Start a deployment, tell the story, end everything; exits 0 only if every check of the story held.
set -u
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'scripts/down.sh "$folder"; rm -rf "$folder"' EXIT
python -m standins layout "$folder"
scripts/up.sh "$folder"
python scripts/demo.py "$folder"
