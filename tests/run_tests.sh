#!/usr/bin/env bash
# Runs the unit tests, then the integration tests, and ends with the line "N passed, N failed".
# Passes over exactly the tests named in KNOWN-RED.txt and prints them.
# Usage: tests/run_tests.sh BUILD_FOLDER [unit|integration]
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
which=${2:-all}
passed=0
failed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# Names of the tests listed in KNOWN-RED.txt: the text after "test: " on each entry's first line.
known_red() { [ -f KNOWN-RED.txt ] && sed -n 's/^test: //p' KNOWN-RED.txt; }

run_program() {
  local program=$1
  local name
  [ -x "$program" ] || return 0
  while IFS= read -r name; do
    [ -n "$name" ] || continue
    if known_red | grep -qxF -- "$name"; then
      echo "known red, not run: $name"
      continue
    fi
    if "$program" --warn NoTests "$(printf '%s' "$name" | sed 's/[,\[\\]/\\&/g')" >"$log" 2>&1; then
      passed=$((passed + 1))
      [ "$2" = verbose ] && echo "passed: $name"
    else
      failed=$((failed + 1))
      echo "FAILED: $name"
      tail -n 60 "$log"
    fi
  done < <("$program" --list-test-names-only)
}

[ "$which" = integration ] || run_program "$build/tests/unit_tests" quiet
[ "$which" = unit ] || run_program "$build/tests/integration/integration_tests" verbose
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
