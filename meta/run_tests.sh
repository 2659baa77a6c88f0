#!/usr/bin/env bash
# Builds everything and runs every test, linter included. The last line is "N passed, N failed".
# Tests that KNOWN-RED.txt lists are printed and do not count as failed.
# Usage: meta/run_tests.sh [BUILD_FOLDER]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

cmake -S . -B "$build" -G Ninja >/dev/null || exit 1
build=$(cd "$build" && pwd)
ninja -C "$build" >"$build/build.log" 2>&1 || { tail -n 60 "$build/build.log"; exit 1; }

passed=0
failed=0

# Counts one test by its exit code; a listed one is printed and passed over.
count() {
    local name=$1 code=$2
    if [ "$code" -eq 0 ]; then
        passed=$((passed + 1))
        echo "passed: $name"
    elif grep -qE "^test: $name( |$)" KNOWN-RED.txt 2>/dev/null; then
        echo "known red: $name"
    else
        failed=$((failed + 1))
        echo "FAILED: $name"
    fi
}

# Lists the cases of a Boost.Test program as suite/case.
list_cases() {
    local line suite=""
    "$1" --list_content 2>&1 | while IFS= read -r line; do
        case "$line" in
            "    "*) echo "$suite/$(echo "$line" | tr -d ' *')" ;;
            *) suite=$(echo "$line" | tr -d ' *') ;;
        esac
    done
}

# Runs one case by itself and leaves its output and its exit code in the folder of logs.
run_case() {
    local log="$logs/$(echo "$2" | tr / .)"
    "$build/tests/test-$1" --run_test="$2" --color_output=no >"$log.log" 2>&1
    echo "$?" >"$log.code"
}
export -f run_case
export build

# The cases do not share anything, so they run side by side.
for library in state coordination protocol transport platform; do
    export logs="$build/logs/$library"
    rm -rf "$logs"
    mkdir -p "$logs"
    list_cases "$build/tests/test-$library" >"$logs/cases.txt"
    xargs -P "$(nproc)" -I{} bash -c 'run_case "$0" "$1"' "$library" {} <"$logs/cases.txt"
    while IFS= read -r name; do
        log="$logs/$(echo "$name" | tr / .)"
        code=$(cat "$log.code")
        [ "$code" -eq 0 ] || tail -n 40 "$log.log"
        count "$library/$name" "$code"
    done <"$logs/cases.txt"
done

meta/write_fault_matrix.sh "$build" | diff - docs/FAULT-MATRIX.md >/dev/null
count docs/fault-matrix "$?"

meta/check_production.sh
count deploy/production "$?"

for script in tests/processes/*.sh; do
    [ -e "$script" ] || continue
    bash "$script" "$build" >"$build/test.log" 2>&1
    code=$?
    [ "$code" -eq 0 ] || { grep -E "found '|not in time" "$build/test.log"; tail -n 40 "$build/test.log"; }
    count "processes/$(basename "$script" .sh)" "$code"
done

[ -s KNOWN-RED.txt ] && cat KNOWN-RED.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
