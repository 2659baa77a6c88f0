#!/usr/bin/env bash
# Starts buckthorndale-front three times on the stand-in of the users' platform, sends requests and shows the answers and
# how one of them was decided.
# Usage: meta/demo_front.sh [BUILD_FOLDER]
set -uo pipefail
cd "$(dirname "$0")/.."
build_folder=${1:-build}
[ -d "$build_folder" ] || cmake -S . -B "$build_folder" -G Ninja >/dev/null || exit 1
ninja -C "$build_folder" >"$build_folder/build.log" 2>&1 || { tail -n 40 "$build_folder/build.log"; exit 1; }
source tests/processes/system.bash "$build_folder"
source platform/stand_in/system.bash
log="$folder/decisions.log"
# The instances write their decisions there.
start_fronts >"$log" 2>&1

echo "== A lookup through the first instance."
ask 1 lookup-1 /lookup/tag -i
echo
echo "== A stream through the second one; the small model is not sure, so the large one answers."
inquire 2 inquiry-1 -N
echo "== One engine breaks its streams off; the answer is whole all the same. The numbers of its events:"
stand_in '/fault?endpoint=engine-1&kind=breaks' >/dev/null
asked_model=large inquire 3 inquiry-2 | event_numbers
echo
echo "== How the first stream was decided:"
grep "request=inquiry-1 " "$log" | cut -d' ' -f3-
