# Many streams at once; source tests/processes/system.bash and platform/stand_in/system.bash first.

# Requests 120 streams at once, 40 from each instance; leaves the answer of stream N in the file N.
request_streams() {
    local prefix=$1 i
    rm -rf "$folder/streams"
    mkdir "$folder/streams"
    for i in $(seq 1 120); do
        [ "$i" -gt 1 ] && echo next
        printf '%s\n' "url = \"http://127.0.0.1:$(port $((10 * (i % 3 + 1))))/inquiry/one\"" 'header = "Host: registry.example"' \
            "header = \"X-Attempt-Id: $prefix-$i\"" 'header = "X-Deadline-Ms: 8000"' 'header = "Authorization: Bearer harbour-key"' \
            'header = "X-Model: large"' 'header = "X-Token-Counts: 100,80"' 'header = "X-Prompt-Prefix: aa:60,bb:40"' \
            'data = "question"' "output = \"$folder/streams/$i\"" 'silent' 'write-out = "%{http_code} %{exitcode}\n"'
    done >"$folder/calls"
    curl -Z --parallel-max 120 --parallel-immediate -K "$folder/calls" >"$folder/codes" 2>/dev/null
}

# Counts the streams that began and have other events than 1 to 8, each once.
count_incomplete() {
    local file
    for file in "$folder"/streams/*; do
        grep -q '^id: ' "$file" && event_numbers <"$file" && echo
    done | grep -vc '^1 2 3 4 5 6 7 8 $'
}
