#!/usr/bin/env bash
# Builds the program of each script. It contains the stand-ins of the case.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" -o "target/review/case-$number"
done
