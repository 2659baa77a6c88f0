#!/usr/bin/env bash
# An endpoint that runs a request and sends a refusal of an earlier one: the request neither runs elsewhere nor is it
# refused as one that has not run.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
start_fronts
sed 's/"version": 1,/"version": 2,/; s/"maxAttempts": 1/"maxAttempts": 2/' "$folder/configuration.json" >"$folder/second.json"
put_configuration "$folder/second.json"
curl -s -X PUT "http://127.0.0.1:$(port 0)/objects/servers/desk-1" -o /dev/null -d "{ \"metadata\": { \"name\": \"desk-1\" }, \"spec\": { \"service\": \"desk\", \"address\": \"127.0.0.1:$(port 7)\",
    \"zone\": \"north-1\", \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"sequence\": 1, \"born\": 2 } }"
sleep 2

for answer in stale_refusal stale_misdirection; do
    stand_in "/raw?answer=$answer" >/dev/null
    for n in $(seq 10); do
        for i in 1 2 3; do
            found=$(status_of ask "$i" "$answer-$i-$n" /issue/tag -d x)
            case "$found" in 200 | 502) ;; *) expect "an issue beside $answer" "$found" "200 or 502" ;; esac
            expect "the runs of an issue beside $answer" "$(runs_of "$answer-$i-$n")" 1
            expect "a lookup beside $answer" "$(status_of ask "$i" "$answer-lookup-$i-$n" /lookup/tag)" 200
        done
    done
done
expect "requests at the raw endpoint" "$(($(stand_in /record | grep -oE '"raw":[0-9]+' | grep -oE '[0-9]+') >= 6))" 1

[ "$failures" -eq 0 ]
