#!/usr/bin/env bash
# Runs process tests over mixtures of this build and of another build of the front, as during an upgrade: odd
# instances of one build and even ones of the other, and the other way round.
# Usage: meta/run_mixed_fleet.sh BUILD_FOLDER OTHER_FRONT [TEST...]
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(cd "$1" && pwd)
other=$(realpath "$2")
shift 2
[ $# -gt 0 ] || set -- front restored_store limits_of_endpoints endpoint_notices silent_watches \
    replacement_in_outage

mixed=$(mktemp -d)
trap 'rm -rf "$mixed"' EXIT
cp -rs "$build/." "$mixed/"
rm "$mixed/services/buckthorndale-front"
cp "$build/services/buckthorndale-front" "$mixed/services/this-build"
cp "$other" "$mixed/services/other-build"
# The program keeps the process that the test started, so that signals reach it.
cat >"$mixed/services/buckthorndale-front" <<'END'
#!/usr/bin/env bash
here=$(dirname "$0")
case "$*" in
    *front-1.json*|*front-3.json*) exec "$here/$odd-build" "$@" ;;
    *) exec "$here/$even-build" "$@" ;;
esac
END
chmod +x "$mixed/services/buckthorndale-front"

passed=0
failed=0
for mixture in "this other" "other this"; do
    read -r odd even <<<"$mixture"
    export odd even
    for test in "$@"; do
        if bash "tests/processes/$test.sh" "$mixed" >"$mixed/$test.log" 2>&1; then
            passed=$((passed + 1))
        else
            failed=$((failed + 1))
            echo "FAILED: $test, odd instances of $odd build, even ones of $even build"
            tail -n 20 "$mixed/$test.log"
        fi
    done
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
