#!/usr/bin/env bash
# For each mechanism of wharftiller/tests/mechanisms.toml, remove it in a copy of the tree and
# run its tests there, which must fail. Exits 0 only if they fail for every mechanism.
set -u
cd "$(dirname "$0")/.."
count=$(python scripts/without_mechanism.py count)
missed=0
for number in $(seq 0 $((count - 1))); do
  copy=$(mktemp -d)
  name=$(python scripts/without_mechanism.py make "$number" "$copy") || { missed=1; echo "$name"; continue; }
  tests=$(python scripts/without_mechanism.py tests "$number")
  (cd "$copy" && PYTHONPATH="$copy" timeout 300 python -m pytest -q -x -p no:cacheprovider -k "$tests" >out.txt 2>&1)
  status=$?
  summary=$(tail -n 1 "$copy/out.txt")
  if [ $status = 1 ] || [ $status = 124 ]; then
    echo "fails as it should: $name ($summary)"
  else
    echo "NOT PROVED: $name (exit $status: $summary)"
    missed=1
  fi
  rm -rf "$copy"
done
exit $missed
