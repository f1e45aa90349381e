#!/usr/bin/env bash
# Runs the case that claim.txt describes. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 does the same without the disruption.
exec "$(dirname "$0")/../common-2/run_case.sh" 6 "${TROUBLE:-1}"
