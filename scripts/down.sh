#!/usr/bin/env bash
# End the processes that up.sh started: down.sh FOLDER.
set -u
folder=$1
for file in "$folder"/pids/*; do
  [ -f "$file" ] || continue
  pid=$(cat "$file")
  kill -CONT "$pid" 2>/dev/null
  kill "$pid" 2>/dev/null
done
for _ in $(seq 1 100); do
  left=0
  for file in "$folder"/pids/*; do
    [ -f "$file" ] || continue
    if kill -0 "$(cat "$file")" 2>/dev/null; then left=1; else rm -f "$file"; fi
  done
  [ $left = 0 ] && exit 0
  sleep 0.1
done
for file in "$folder"/pids/*; do
  [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null && rm -f "$file"
done
exit 0
