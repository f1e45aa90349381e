#!/usr/bin/env bash
# Runs the benchmarks one after the other, writes their reports to BUILD_FOLDER/bench/ and prints
# the measures with the bounds of bench/bounds.json. Exits with 1 when a bound is missed or a
# benchmark fails. Usage: bench/run_bench.sh BUILD_FOLDER
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$1/bench
failed=0
for name in groups routing drill path; do
  program=$folder/bench_$name
  report=$folder/bench_$name.json
  [ -x "$program" ] || continue
  echo "== bench_$name"
  # A report of an earlier run must not be taken for the report of a run that failed.
  rm -f "$report"
  if ! "$program" --json="$report"; then
    echo "bench_$name failed"
    failed=1
  fi
done
echo
python3 bench/print_verdicts.py bench/bounds.json "$folder" || failed=1
exit "$failed"
