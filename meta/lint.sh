#!/usr/bin/env bash
# Runs the linter over all sources but those that were clean before with the same inputs. Needs a configured build folder.
# Usage: meta/lint.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
export LC_ALL=C
export build=${1:-build}
export stamps=${XDG_CACHE_HOME:-$HOME/.cache}/buckthorndale-lint
export options="--quiet --extra-arg=-Wno-unknown-warning-option"
root=$(printf '%s/' "$PWD" | sed 's/[][\.*^$|]/\\&/g')
export root
temporary=$(mktemp -d)
export temporary
trap 'rm -rf "$temporary"' EXIT
mkdir -p "$stamps"

# Preprocesses a source as one compile command says, with comments kept.
preprocess() {
    local directory=$1 command=$2
    local -a words arguments=()
    eval "words=($command)"
    local i first=0
    # The names of the compiler and its launcher stand before the first option.
    while [[ $first -lt ${#words[@]} && ${words[first]} != -* ]]; do first=$((first + 1)); done
    for ((i = first; i < ${#words[@]}; ++i)); do
        case "${words[i]}" in
            -o) i=$((i + 1)) ;;
            -c) ;;
            *) arguments+=("${words[i]}") ;;
        esac
    done
    # The linter defines this macro as well.
    (cd "$directory" && clang++-16 "${arguments[@]}" -w -D__clang_analyzer__ -E -C -o -)
}

# Prints all that the linter's result for a source depends on, with paths relative to the checkout.
print_inputs() {
    local source=$1 text="$temporary/$BASHPID" entries directory command filter
    entries=$(jq -r --arg file "$PWD/$source" '.[] | select(.file == $file) | .directory, .command' \
        "$build/compile_commands.json") && [ -n "$entries" ] || return 1

    echo "$source -p $build $options"
    clang-tidy-16 --version && clang++-16 --version && cat .clang-tidy &&
        clang-tidy-16 -p "$build" $options --dump-config "$source" || return 1
    # The filter of headers sees whole paths, so it may match the checkout's own.
    filter=$(sed -n "s/^HeaderFilterRegex: '\(.*\)'$/\1/p" .clang-tidy)
    grep -E -e "$filter" <<<"$PWD/header.hpp" || true

    while IFS= read -r directory && IFS= read -r command; do
        echo "$command " | sed "s|$root||g; s|${root%/} |. |g"
        preprocess "$directory" "$command" >"$text.whole" || return 1
        sed "s|$root||g" "$text.whole" >"$text" && cat "$text" || return 1
        # The preprocessor drops directives, comments beside them, and what they leave out; checks see these.
        sed -n 's/^# [0-9]* "\([^"<]*\)".*/\1/p' "$text" | sort -u | xargs -d '\n' cat || return 1
    done <<<"$entries"
    rm -f "$text" "$text.whole"
}

# Prints the hash of a source's inputs, and fails when they cannot be found out.
hash_inputs() {
    set -o pipefail
    print_inputs "$1" 2>/dev/null | sha256sum | cut -d ' ' -f 1
}

# Lints one source unless it has a stamp. Only a clean one whose inputs stayed the same meanwhile gets a stamp.
lint() {
    local source=$1 key output code=0
    key=$(hash_inputs "$source") || key=""
    [ -n "$key" ] && [ -e "$stamps/$key" ] && return
    output=$(clang-tidy-16 -p "$build" $options "$source" 2>/dev/null) || code=$?
    [ -z "$output" ] || echo "$output"
    if [ "$code" -eq 0 ] && [ -z "$output" ] && [ -n "$key" ] && [ "$(hash_inputs "$source")" = "$key" ]; then
        : >"$stamps/$key"
    fi
    return "$code"
}
export -f preprocess print_inputs hash_inputs lint

# The linter cannot read the one file that is C++14.
git ls-files -- '*.cpp' | grep -v 'rpc/client_codec.cpp' | xargs -P "$(nproc)" -I{} bash -c 'lint "$0"' {}
