#!/usr/bin/env bash
# The store answers no page of a list but the first. What was read and what was known before stays in use.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/odd_names.bash
log_to_files
start_fronts

# Pages of three hold desk-1, desk-2 and engine-1, then the other engines.
break_pages() { stand_in "/pages?size=3&kind=$1&status=$2" >/dev/null; }
mend_pages() { stand_in '/pages?size=3' >/dev/null; }
lost_endpoints() { [ "$(grep -c 'store lost kind=servers' "$folder/front-$1.log")" -gt 0 ]; }

for status in 503 429 400 500; do
    break_pages servers "$status"
    restart_fronts "beside a list of endpoints that ends with $status"
    expect_service "after a start beside a list of endpoints that ends with $status"
done

# A change in the part that can be read comes into force.
curl -s -X PUT "http://127.0.0.1:$(port 0)/objects/servers/desk-2" -o /dev/null \
    --data-binary @- <<<"$(object desk-2 "$(endpoint_spec desk 6 | jq -c '.state = "draining"')")"
sleep 2
before=$(arrivals_at desk-2)
expect_service "beside a draining endpoint in a list that cannot be read to its end"
expect "requests at a draining endpoint" "$(arrivals_at desk-2)" "$before"
curl -s -X PUT "http://127.0.0.1:$(port 0)/objects/servers/desk-2" -o /dev/null \
    --data-binary @- <<<"$(object desk-2 "$(endpoint_spec desk 6)")"

# Endpoints that were known stay in use when the list is read anew and ends early.
mend_pages
sleep 2
delete_object servers engine-1
sleep 1
expect_service "once the list can be read"
break_pages servers 503
for i in 1 2 3; do : >"$folder/front-$i.log"; done
put_object config other-0 '{ "note": 1 }'
stand_in '/store?forget=1' >/dev/null
for i in 1 2 3; do wait_for 20 "front-$i reads the endpoints anew" lost_endpoints "$i"; done
expect_service "when only the first page can be read anew"
mend_pages
put_object servers engine-1 "$(endpoint_spec advice 2)"

# The entries of other kinds that were read are in force too.
for n in 1 2 3 4; do put_object config "other-$n" '{ "note": 1 }'; done
break_pages config 503
restart_fronts "beside an incomplete list of configurations"
expect_service "beside an incomplete list of configurations"
mend_pages
for n in 1 2 3 4; do put_object buckthorndale-instances "front-9$n" '{ "note": 1 }'; done
break_pages buckthorndale-instances 503
restart_fronts "beside an incomplete list of instances"
expect_service "beside an incomplete list of instances"
finish
