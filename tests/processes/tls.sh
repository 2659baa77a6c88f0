#!/usr/bin/env bash
# Callers over TLS, to an additional router with a self-signed certificate.
source "$(dirname "$0")/system.bash"
start_system
openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=127.0.0.1 -addext subjectAltName=IP:127.0.0.1 \
    -keyout "$folder/key.pem" -out "$folder/certificate.pem" 2>/dev/null
cat >"$folder/router-tls.json" <<END
{
    "instance": "entry-1", "data_centre": "north-1",
    "callers": {
        "address": "127.0.0.1:$(port 38)",
        "tls": { "certificate_file": "$folder/certificate.pem", "key_file": "$folder/key.pem" }
    },
    "control": "127.0.0.1:$(port 39)",
    "agent": "127.0.0.1:$(port 11)",
    "log": { "file": "$folder/router-tls.log" }
}
END
start services/buckthorndale-router router-tls
url="https://127.0.0.1:$(port 38)"
is_ready_over_tls() { curl -sf --cacert "$folder/certificate.pem" "$url/ready"; }
wait_for 17 "the router is ready over TLS" is_ready_over_tls
body='{ "model": "quick", "stream": true, "messages": [ { "role": "user", "content": "tokens=50" } ] }'
call --cacert "$folder/certificate.pem" -H 'X-Request-Id: tls-1' "$url/v1/chat/completions" -d "$body" >"$folder/tls.txt"
expect "the answer is complete" "$(grep -c '\[DONE\]' "$folder/tls.txt")" 1
expect "all tokens were received" "$(grep -c '"content":"w' "$folder/tls.txt")" 50
curl -s -m 5 "http://127.0.0.1:$(port 38)/health" >"$folder/plain.txt"
expect "nothing is served without TLS" "$(grep -c alive "$folder/plain.txt")" 0
wait_for 17 "the request over TLS is billed once" has_bill tls-1

sed 's/key.pem/none.pem/' "$folder/router-tls.json" >"$folder/wrong.json"
"$build/services/buckthorndale-router" --settings "$folder/wrong.json" 2>"$folder/error"
expect "a missing key file is refused" "$?" 2
finish
