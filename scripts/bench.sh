#!/usr/bin/env bash
# Run every experiment of both deployments, BENCH_JOBS at a time, then measure real processes.
set -eu
cd "$(dirname "$0")/.."
jobs=${BENCH_JOBS:-4}
runs=${BENCH_RUNS:-5}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for deployment in sofia highlands; do
  for name in replica-share failover-gap overload flood spreading replica-wait; do
    echo "$deployment $name"
  done
done | xargs -P "$jobs" -L 1 sh -c \
  'python -m benchmarks --deployment "$0" --only "$1" --runs '"$runs"' >"'"$out"'/$0-$1.txt"'
cat "$out"/*.txt
scripts/live.sh
