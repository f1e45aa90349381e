#!/usr/bin/env bash
# Usage: run_case.sh NUMBER TROUBLE. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE is 0 to leave out the disruption, and 1 otherwise.
set -uo pipefail
cd "$(dirname "$0")/../.."
number=$1
export TROUBLE=$2
program=build/review-2/case-$number
for needed in "$program" target/waxwingwing; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 115 "$program" "review/$number/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
