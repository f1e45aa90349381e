#!/usr/bin/env bash
# Runs seeds of the fault soak, several at a time, and ends with "N passed, N failed".
# Usage: soak/run_soak.sh BUILD_FOLDER FIRST_SEED SEEDS JOBS [FLAG]
set -euo pipefail
build=$1
first=$2
seeds=$3
jobs=$4
flag=${5:---unframed=false}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
seq "$first" $((first + seeds - 1)) |
  xargs -P "$jobs" -I{} sh -c '"$0" --first_seed="$1" "$2" || true' "$build/soak/soak" {} "$flag" |
  grep -v ' passed, [0-9]* failed$' | tee "$output"
passed=$(grep -c '^seed [0-9]*: passed' "$output" || true)
echo "$passed passed, $((seeds - passed)) failed"
[ "$passed" -eq "$seeds" ]
