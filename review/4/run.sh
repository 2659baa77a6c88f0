#!/usr/bin/env bash
# A server fails a part of the requests that it has run with status 503.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
export TROUBLE=${TROUBLE:-1}
[ -x target/services/buckthorndale-front ] && [ -x target/review/promise ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -s TERM -k 2 115 target/review/promise target/services/buckthorndale-front "$folder" review/4/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
