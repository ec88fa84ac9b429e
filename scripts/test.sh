#!/usr/bin/env bash
# Run the tests. Those that KNOWN-RED.txt lists run too, may fail, and are told at the end.
set -eu
cd "$(dirname "$0")/.."
python -m pytest "$@"
