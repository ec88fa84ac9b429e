#!/usr/bin/env bash
# For each mechanism of wharftiller/tests/mechanisms.toml, remove it in a copy of the tree and
# run its tests there, of which one must fail that KNOWN-RED.txt does not list. Exits 0 only if
# one fails for every mechanism.
set -u
cd "$(dirname "$0")/.."

# With -x, pytest exits 1 for a collection error too; only its summary tells them apart.
has_failed_test() {
  sed -n '/ short test summary info /,$p' "$1" | grep -q '^FAILED '
}

count=$(python scripts/without_mechanism.py count)
missed=0
for number in $(seq 0 $((count - 1))); do
  copy=$(mktemp -d)
  name=$(python scripts/without_mechanism.py make "$number" "$copy") || { missed=1; echo "$name"; continue; }
  tests=$(python scripts/without_mechanism.py tests "$number")
  (cd "$copy" && PYTHONPATH="$copy" timeout 300 python -m pytest -q -x -p no:cacheprovider -k "$tests" >out.txt 2>&1)
  status=$?
  summary=$(tail -n 2 "$copy/out.txt" | tr '\n' ' ')
  if [ $status = 124 ] || { [ $status = 1 ] && has_failed_test "$copy/out.txt"; }; then
    echo "fails as it should: $name ($summary)"
  else
    echo "NOT PROVED: $name (exit $status: $summary)"
    missed=1
  fi
  rm -rf "$copy"
done
exit $missed
