#!/usr/bin/env bash
# Builds the programs of the second review's cases, with their stand-ins, into build/review-2.
# The cases start target/waxwingwing, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
target=build/review-2
mkdir -p "$target"
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$@"; }
objects=()
for source in review/common-2/*.cc; do
  object="$target/$(basename "$source" .cc).o"
  compile -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/{6,7,8,9,10}/case.cc; do
  number=$(basename "$(dirname "$source")")
  compile "$source" "${objects[@]}" -o "$target/case-$number"
done
