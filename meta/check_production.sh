#!/usr/bin/env bash
# Checks that the build named as production in deploy/system.toml is a commit that this one follows.
set -euo pipefail
cd "$(dirname "$0")/.."

commit=$(sed -nE 's/^production *= *"([0-9a-f]{40})"$/\1/p' deploy/system.toml)
if [ -z "$commit" ]; then
    echo "deploy/system.toml names no production build; write production = \"COMMIT\" with 40 hexadecimal digits."
    exit 1
fi
if ! git merge-base --is-ancestor "$commit" HEAD; then
    echo "The production build $commit is not a commit before this one; name one that has landed."
    exit 1
fi
echo "The production build is $commit."
