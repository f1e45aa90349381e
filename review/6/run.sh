#!/usr/bin/env bash
# Runs the case that claim.txt describes.
exec "$(dirname "$0")/../common-2/run_case.sh" 6
