#!/usr/bin/env bash
# Builds the stand-ins and callers that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e build-review/build.ninja ] || cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review --target waxwingwing_stand_ins -j4
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common)
g++ "${flags[@]}" review/common/*.cc -o build-review/review_tool
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" review/common/net.cc -o "build-review/case_$name"
done
