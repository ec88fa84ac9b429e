#!/usr/bin/env bash
# Run the tests. Tests listed in KNOWN-RED.txt run too, may fail, and are reported at the end.
set -eu
cd "$(dirname "$0")/.."
python -m pytest "$@"
