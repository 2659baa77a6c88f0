#!/usr/bin/env bash
# Names of services, versions, workspaces, models, routes, data centres, endpoints and instances hold characters with a
# meaning in targets, heads, log lines or JSON. Each request is answered, and each head and line says what was meant.
source "$(dirname "$0")/system.bash" "$1"
source platform/stand_in/system.bash
source tests/processes/odd_names.bash
log_to_files

odd='1&b=c+d#e%41/f "g" é'
export odd
# Rewrites a file with settings. Usage: rewrite FILE JQ_PROGRAM
rewrite() {
    jq "$2" "$folder/$1" >"$folder/rewritten"
    mv "$folder/rewritten" "$folder/$1"
}
adjust_settings() {
    rewrite users-platform.json '.endpoints |= map(if .service == "desk" then
        .id |= . + env.odd | .service |= . + env.odd | .version |= . + env.odd | .data_centre |= . + env.odd else . end)'
    rewrite configuration.json '.spec.tenants[0].name |= . + env.odd | .spec.routes |= map(.name |= . + env.odd |
        if .service == "desk" then .service |= . + env.odd else .sizes |= map(. + env.odd) end)'
    for i in 1 2 3; do rewrite "front-$i.json" '.instance |= . + env.odd | .data_centre |= . + env.odd'; done
}
start_fronts front-1
expect_service "with odd names"
expect "workspaces that endpoints were told" "$(stand_in /record | jq -c .workspaces)" "$(jq -nc '[ "harbour" + env.odd ]')"

# So may what callers write.
id='id reason="forged" action=refuse é'
expect "an answer to a request with an odd id" "$(ask 1 "$id" /lookup/tag | jq -r .attempt)" "$id"
expect "an odd path" "$(status_of ask 1 odd-path '/lookup/a%20b&c=d+e%23f%25?x=%41+%0a&y=%26')" 200
expect "log lines with a field that a caller has forged" "$(cat "$folder"/front-*.log | grep -c 'reason="forged"')" 0

# A roll-out of the service is recorded under its name.
for n in 5 6; do
    put_object servers "new-$n$odd" "$(endpoint_spec "desk$odd" "$n" "v2$odd")"
done
put_object rollouts "desk$odd" "$(jq -nc '{ service: ("desk" + env.odd), target: ("v2" + env.odd), durationS: 600 }')"
order_state() { stored rollouts "desk$odd" | jq -r .status.state; }
is_running() { [ "$(order_state)" = running ]; }
wait_for 5 "the roll-out of a service with an odd name is recorded" is_running
for n in 5 6; do delete_object servers "new-$n$odd"; done
delete_object rollouts "desk$odd"

# Instances register again under their names when they start, and learn of the others.
restart_fronts "with odd names"
expect_service "with odd names after a restart"
sleep 3
for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" refuse >/dev/null; done
for n in 1 2 3; do ask 1 "first-$n" /lookup/tag >/dev/null; done
for n in $(seq 10); do
    expect "a lookup at an instance without links" "$(status_of ask 1 "relayed-$n" /lookup/tag)" 200
done
for endpoint in engine-1 engine-2 engine-3 desk-1 desk-2; do break_route "$endpoint" none >/dev/null; done

# Names that no head can hold: the endpoint is not used, and the others of the service serve.
unusable=("desk-2$odd"$'\r\nX-Hold: 1' "desk-2$odd"$'\nX-Hold: 1' "desk-2$odd " " desk-2$odd" $'\tdesk-2'"$odd" "desk-2$odd"$'\x01'
    "desk-2$(printf '%2000s' '' | tr ' ' x)")
spec=$(endpoint_spec "desk$odd" 6 "v1$odd" | jq -c '.zone |= . + env.odd')
for name in "${unusable[@]}"; do put_object servers "$name" "$spec"; done
sleep 2
counts() { curl -s "http://127.0.0.1:$(port 21)/metrics" | awk '$1 == "buckthorndale_attempts_total" { print $2 }'; }
before=$(counts)
for n in $(seq 20); do
    expect "a lookup beside a name that no head can hold" "$(status_of ask 2 "beside-$n" /lookup/tag)" 200
done
expect "attempts for these lookups" "$(($(counts) - before))" 20
expect "reserved headers that endpoints got" "$(stand_in /record | jq .forged)" 0
expect_log_lines

# A workspace whose name no head can hold is left out; the others hold.
jq '.spec.version = 2 | .spec.tenants += [ { name: "quay\r\nX-Hold: 1", apiKeys: [ "quay-key" ] }, { name: " harbour", apiKeys: [ "blank-key" ] } ] |
    .spec.routes[0].sizes += [ "large\r\nX-Hold: 1" ]' "$folder/configuration.json" >"$folder/changed.json"
put_configuration "$folder/changed.json"
sleep 2
restart_fronts "beside a workspace that no head can hold"
expect_service "beside a workspace that no head can hold"
for key in quay-key blank-key; do
    expect "a lookup of a workspace that no head can hold" "$(caller_key=$key status_of ask 2 "of-$key" /lookup/tag)" 401
done
expect "reserved headers that endpoints got" "$(stand_in /record | jq .forged)" 0
expect "workspaces that endpoints were told" "$(stand_in /record | jq -c .workspaces)" "$(jq -nc '[ "harbour" + env.odd ]')"
finish
