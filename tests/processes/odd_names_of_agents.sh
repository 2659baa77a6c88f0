#!/usr/bin/env bash
# Agents, routers and the operators' program with names that hold characters with a meaning in targets, heads, metrics
# or JSON: instances, data centres, workspaces, models and versions.
source "$(dirname "$0")/system.bash" "$1"

odd='1&b=c+d#e%41/f é'
# Has quotes and a backslash, which labels of metrics must escape.
version='1"b\c+d#e%41 f&'
export odd version
adjust_settings() {
    local json_version file in_sed
    json_version=$(jq -rn 'env.version | tojson | .[1:-1]')
    in_sed() { sed 's/[&/\]/\\&/g' <<<"$1"; }
    for file in "$folder"/*.json; do
        sed -i -E "s/entry-([0-9])/entry-\1$(in_sed "$odd")/; s/north-1/north-1$(in_sed "$odd")/g;
            s/\"small@1\", \"large@1\"/\"small@1\", \"large@1\", \"odd@$(in_sed "$json_version")\"/" "$file"
    done
}
start_system

put versions "$(jq -nc '{ model: "odd", version: env.version, price_per_thousand_tokens: 1000, expected_quality: 900 }')"
put profiles "$(jq -nc '{ name: ("profile" + env.odd), versions: [ "odd@" + env.version ] }')"
hash=$(printf 'quay-key' | sha256sum | cut -d' ' -f1)
put workspaces "$(jq -nc --arg hash "$hash" '{ id: ("quay" + env.odd), key_hash: $hash, profiles: [ "profile" + env.odd ], services: [ "register" ] }')"
call() { curl -s -m 30 -H 'Authorization: Bearer quay-key' "$@"; }
answers() { ask "$1" "profile$odd" "$2" 'tokens=3' | grep -q '\[DONE\]'; }
for i in 10 20 30; do wait_for 17 "router $i answers with an odd profile" answers "$i" "ready-$i"; done
expect "an answer with odd names" "$(ask 10 "profile$odd" odd-1 'tokens=3' | grep -c '\[DONE\]')" 1
has_odd_bill() { [ "$(control --json ledger "quay$odd" | grep -c '"request" : "odd-1"')" = 1 ]; }
wait_for 10 "the bill of an odd workspace is in the ledger" has_odd_bill

# The label of a metric says which version answered.
label=$(jq -rn '"odd@" + env.version | gsub("\\\\"; "\\\\") | gsub("\""; "\\\"")')
metrics() { for i in 10 20 30; do curl -s "http://127.0.0.1:$(port "$i")/metrics"; done; }
expect "metrics of the odd version" "$(($(metrics | grep -cF "buckthorndale_answers_total{version=\"$label\"} ") > 0))" 1

# Operators can name what they see.
expect "a workspace that is shown" "$(control --json show workspaces "quay$odd" | jq -r .item.id)" "quay$odd"
expect "a version that is shown" "$(control --json show versions "odd@$version" | jq -r .item.version)" "$version"
control withdraw "odd@$version" >/dev/null
expect "a version that is withdrawn" "$(control --json show versions "odd@$version" | jq -r .item.state)" withdrawn
control delete workspaces "quay$odd" >/dev/null
expect "workspaces after a removal" "$(control --json list workspaces | jq -c '[ .items[].id ]')" '["harbour"]'

# The ledger has more than one page, and segments of an odd instance end the pages.
object_url() { echo "http://127.0.0.1:$(port 0)/objects/ledger/$(jq -rn --arg name "$1" '$name | @uri')"; }
segment=$(curl -s "http://127.0.0.1:$(port 0)/objects?prefix=ledger/&most=1" | jq -r '.objects[0].value')
copies_url=$(object_url "entry-0$odd-copy-")
for n in $(seq 250); do
    echo "url = \"$copies_url$((1000 + n))\""
    echo "upload-file = \"$folder/segment\""
    echo "output = \"/dev/null\""
done >"$folder/uploads"
printf '%s' "$segment" >"$folder/segment"
curl -s -m 20 -H "Expect:" -K "$folder/uploads"
expect "bills of a request in a ledger of several pages" "$(timeout 10 "$build/utilities/buckthorndale-control" \
    --agent "127.0.0.1:$(port 23)" --json ledger "quay$odd" | grep -c '"request" : "odd-1"')" 1

# What no head can hold is rejected when it is written.
for text in $'1\r\nX-Not-Run: true' $'1\n' ' 1' $'1\x01'; do
    jq -nc --arg text "$text" '{ model: "odd", version: $text, price_per_thousand_tokens: 1, expected_quality: 9 }' |
        control put versions - >"$folder/refused" 2>&1
    expect "the code for a version that no head can hold" "$?" 1
    expect "the error for a version that no head can hold" "$(grep -c Remedy "$folder/refused")" 1
done
expect "the API answers" "$(control status >/dev/null && echo yes)" yes
for i in 1 2 3; do
    expect "agent $i is running" "$(kill -0 "${process[agent-$i]}" && echo yes)" yes
    expect "router $i is running" "$(kill -0 "${process[router-$i]}" && echo yes)" yes
done
finish
