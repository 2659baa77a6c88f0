#!/usr/bin/env bash
# Checks the formatting of all sources and runs the linter over them. Needs a configured build folder.
# Usage: meta/check_style.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

git ls-files -- '*.cpp' '*.hpp' | xargs clang-format-16 --dry-run --Werror
echo "The formatting is clean."

# Only platform/ knows the names of the users' platform; tests of it do as well.
if git grep -nE 'X-(Response-Stamp|Expect-Instance|Prompt-Prefix|Attempt-Id|Token-Counts|Tenant)|kvCapacityTokens|coldLeftMs|pathPrefix|trafficSplit|"rollouts"|"servers"' \
    -- libraries services utilities; then
    echo "These names belong into platform/."
    exit 1
fi
echo "Names of the users' platform stand in platform/ only."

[ -d "$build" ] || cmake -S . -B "$build" -G Ninja >/dev/null
meta/lint.sh "$build"
echo "The linter is clean."
