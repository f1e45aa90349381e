#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/14 start, into build/review-3. Needs the
# packages of the deploy file only. The scripts themselves need python3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -fcoroutines -Wno-mismatched-new-delete -I. -Iinclude -Isrc
  -DBOOST_ASIO_HAS_CO_AWAIT -DBOOST_ASIO_HAS_STD_COROUTINE -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_BEAST_USE_STD_STRING_VIEW)
for source in stand_ins/*.cc src/core/*.cc; do
  echo "$source"
done | xargs -P 4 -I{} sh -c 'object="$0/$(echo "$1" | tr / -).o"; shift
  g++ "$@" -o "$object"' "$out" {} "${flags[@]}" -c {}
g++ "$out"/*.o -o "$out/waxwingwing_stand_ins" -lgflags -lfmt -lxxhash -pthread
