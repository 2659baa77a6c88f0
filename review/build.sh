#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts below target/review, with the compiler and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in model entries poison promise hot; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "review/stand_ins/$name.cc" -o "target/review/$name"
done
