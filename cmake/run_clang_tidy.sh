#!/usr/bin/env bash
# Runs clang-tidy on one file; skips it when the same text (with its headers) passed before.
set -euo pipefail
build=$1
file=$2
cache="$build/tidy_cache"
mkdir -p "$cache"
key=$( { cat .clang-tidy "$file"; git ls-files -co --exclude-standard 'include/*.h' 'src/*.h' 'stand_ins/*.h' 'tests/*.h' 'bench/*.h' 'simulation/*.h' | sort | xargs cat; } | sha256sum | cut -c1-32)
[ -e "$cache/$key" ] && exit 0
clang-tidy --quiet -p "$build" "$file" 2>/dev/null || { echo "clang-tidy failed: $file" >&2; exit 1; }
touch "$cache/$key"
