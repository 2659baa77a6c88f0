#!/usr/bin/env bash
# Writes settings for a small system on loopback into a folder: a platform stand-in, two engines,
# a plain service, a rating service, and three instances (or as many as asked for), each with an agent and a router.
# Usage: meta/write_demo_settings.sh FOLDER FIRST_PORT [INSTANCES]
set -euo pipefail

folder=$1
first_port=$2
instances=${3:-3}
operator_hash=$(printf 'operator-key' | sha256sum | cut -d' ' -f1)

port() { echo $((first_port + $1)); }
address() { echo "127.0.0.1:$(port "$1")"; }

mkdir -p "$folder"

members=""
for i in $(seq "$instances"); do
    members+="{ \"id\": \"entry-$i\", \"data_centre\": \"north-1\", \"agent\": \"$(address $((10 * i + 1)))\", \"router\": \"$(address $((10 * i + 2)))\" },"
done

cat >"$folder/platform.json" <<END
{
    // The platform's object API and instance list.
    "address": "$(address 0)",
    "list_lag_ms": 500,
    "members": [ ${members%,} ],
    "endpoints": [
        { "id": "engine-1", "kind": "engine", "address": "$(address 1)", "data_centre": "north-1",
          "versions": [ "small@1", "large@1" ], "slots": 8 },
        { "id": "engine-2", "kind": "engine", "address": "$(address 2)", "data_centre": "north-1",
          "versions": [ "small@1", "large@1" ], "slots": 8 },
        { "id": "register-1", "kind": "service", "address": "$(address 3)", "data_centre": "north-1",
          "service": "register", "slots": 8 }
    ]
}
END

for i in 1 2; do
    cat >"$folder/engine-$i.json" <<END
{
    "kind": "engine",
    "address": "$(address "$i")",
    "versions": [ "small@1", "large@1" ],
    "first_token_ms": 20,
    "between_tokens_ms": 2
}
END
done

cat >"$folder/register.json" <<END
{ "kind": "service", "address": "$(address 3)", "first_token_ms": 5 }
END

cat >"$folder/rating.json" <<END
{
    "kind": "rating",
    "address": "$(address 4)",
    "first_token_ms": 2,
    // Answers of small@1 do not reach the demo profile's target, so that the demo shows an escalation.
    "ratings": [ { "version": "small@1", "score": 500 }, { "version": "large@1", "score": 950 } ]
}
END

for i in $(seq "$instances"); do
    cat >"$folder/agent-$i.json" <<END
{
    "instance": "entry-$i",
    "data_centre": "north-1",
    "control": "$(address $((10 * i + 1)))",
    "router": "$(address $((10 * i + 2)))",
    "administration": {
        "address": "$(address $((10 * i + 3)))",
        "operators": [ { "name": "operator", "key_hash": "$operator_hash" } ]
    },
    "platform": "$(address 0)",
    "platform_limit_ms": 1000,
    // Asked when the instance list cannot be had.
    "seeds": [ "$(address 11)", "$(address 21)", "$(address 31)" ],
    "log": { "level": "info", "file": "$folder/agent-$i.log" }
}
END
    cat >"$folder/router-$i.json" <<END
{
    "instance": "entry-$i",
    "data_centre": "north-1",
    "callers": { "address": "$(address $((10 * i)))" },
    "control": "$(address $((10 * i + 2)))",
    "agent": "$(address $((10 * i + 1)))",
    "rating": "$(address 4)",
    "leave_delay_ms": 200,
    "log": { "level": "info", "file": "$folder/router-$i.log" }
}
END
done
