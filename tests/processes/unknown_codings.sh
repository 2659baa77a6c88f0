#!/usr/bin/env bash
# Endpoints answer in a transfer coding that the instance does not read. No caller gets the coded bytes as the body.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/raw_answers.bash
log_to_files
start_fronts
remove_sound_endpoints
n=0
for coding in gzip "gzip, chunked" identity; do
    n=$((n + 1))
    heal 2 issue
    raw_answers "HTTP/1.1 200 OK\r\n${plain_fields}Transfer-Encoding: $coding\r\n\r\n3\r\nraw\r\n0\r\n\r\n"
    issue 2 "coding-$n"
    expect_failure "coding-$n"
done
expect_judged 3
finish
