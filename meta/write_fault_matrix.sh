#!/usr/bin/env bash
# Writes the fault matrix as a page, from the logs of the last run of the tests.
# Usage: meta/write_fault_matrix.sh [BUILD_FOLDER] >docs/FAULT-MATRIX.md
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

echo "# Fault matrix"
echo
echo "Written by \`meta/write_fault_matrix.sh\` from the run of \`tests/coordination/fault_matrix.cpp\`; the tests compare it with"
echo "what they find. Each cell is three seeds of the decision code in virtual time: traffic runs, the fault strikes the moment the"
echo "step is reached, at the instance that reached it where the fault strikes one, and all checks are made after healing."
echo
cat "$build"/logs/coordination/fault_matrix.*.log | grep '^cell | ' | awk -F ' [|] ' '
    {
        if (!($2 in row)) { row[$2] = ++rows; faults[rows] = $2 }
        if (!($3 in column)) { column[$3] = ++columns; steps[columns] = $3 }
        cell[$2, $3] = $4
    }
    END {
        printf "| fault \\ step |"
        for (c = 1; c <= columns; c++) printf " %s |", steps[c]
        printf "\n|"
        for (c = 0; c <= columns; c++) printf " --- |"
        printf "\n"
        for (r = 1; r <= rows; r++) {
            printf "| %s |", faults[r]
            for (c = 1; c <= columns; c++) printf " %s |", cell[faults[r], steps[c]]
            printf "\n"
        }
    }'
