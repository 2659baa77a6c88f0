#!/usr/bin/env bash
# A request that must not run twice and has run is never answered with a status that promises it has not.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts

for desk in desk-1 desk-2; do stand_in "/fault?endpoint=$desk&kind=busy" >/dev/null; done
for i in 1 2 3; do
    expect "a request that ran and failed with 503" "$(status_of ask "$i" "issue-$i" /issue/tag -d x)" 502
    expect "the number of its runs" "$(runs_of "issue-$i")" 1
    expect "the signature beside another status" \
        "$(ask "$i" "signed-$i" /issue/tag -d x -D - -o /dev/null | grep -ci '^x-response-stamp')" 0
done
# What may be repeated gets the endpoint's own status and signature.
sed 's/"version": 1,/"version": 2,/; s/"maxAttempts": 2/"maxAttempts": 1/' "$folder/configuration.json" >"$folder/second.json"
put_configuration "$folder/second.json"
sleep 2
expect "a lookup that failed with 503" "$(status_of ask 1 lookup-1 /lookup/tag)" 503
expect "its signature" "$(ask 1 lookup-2 /lookup/tag -D - -o /dev/null | grep -ci '^x-response-stamp')" 1

[ "$failures" -eq 0 ]
