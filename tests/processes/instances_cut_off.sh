#!/usr/bin/env bash
# An instance that loses its links to all endpoints, while callers, the store and the other instances reach it.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
log_to_files
start_fronts front-1
endpoints="engine-1 engine-2 engine-3 desk-1 desk-2"
break_links() { for endpoint in $endpoints; do break_route "$endpoint" "$1"; done >/dev/null; }

for kind in refuse refuse_new accept_silent accept_reset; do
    break_links "$kind"
    # The first requests show the loss.
    for n in 1 2 3; do ask 1 "$kind-first-$n" /lookup/tag >/dev/null; done
    inquire 1 "$kind-first-stream" >/dev/null
    before=$(grep -c action=relay "$folder/front-1.log")
    expect "lookups without links ($kind)" \
        "$(for n in $(seq 10); do status_of ask 1 "$kind-lookup-$n" /lookup/tag; echo; done | sort | uniq -c | tr -s ' \n' ' ')" " 10 200 "
    expect "answers to the right requests ($kind)" "$(ask 1 "$kind-whose" /lookup/tag | grep -c "\"$kind-whose\"")" 1
    expect "issues without links ($kind)" "$(status_of ask 1 "$kind-issue" /issue/tag -d x)" 200
    expect "runs of the issue ($kind)" "$(runs_of "$kind-issue")" 1
    expect "a stream without links ($kind)" "$(inquire 1 "$kind-stream" | event_numbers)" "1 2 3 4 5 6 7 8 "
    expect "requests passed on ($kind)" "$(($(grep -c action=relay "$folder/front-1.log") - before >= 13))" 1
    expect "headers of other instances that callers see ($kind)" \
        "$(ask 1 "$kind-headers" /lookup/tag -D - -o /dev/null | grep -ci buckthorndale)" 0
    break_links none
    lost_and_regained() {
        [ "$(grep -c action=links_lost "$folder/front-1.log")" -gt 0 ] &&
            [ "$(grep -c action=links_lost "$folder/front-1.log")" = "$(grep -c action=links_regained "$folder/front-1.log")" ]
    }
    wait_for 5 "front-1 has its links back ($kind)" lost_and_regained
done
expect "crashes that were announced" "$(grep -c block_part "$folder"/front-*.log | cut -d: -f2 | tr '\n' ' ')" "0 0 0 "
expect "reserved headers that endpoints got" "$(stand_in /record | grep -oE '"forged":[0-9]+')" '"forged":0'

[ "$failures" -eq 0 ]
