#!/usr/bin/env bash
# Start every process of a layout: up.sh FOLDER. Process ids go to FOLDER/pids, logs to FOLDER/logs.
set -eu
folder=$1
mkdir -p "$folder/pids" "$folder/logs"
while read -r name command; do
  $command >"$folder/logs/$name.log" 2>&1 </dev/null &
  echo $! >"$folder/pids/$name"
done <"$folder/commands"
