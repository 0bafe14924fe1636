#!/bin/bash
# Builds the programs of the scripts of this review (6 to 10) into target/review-2. Needs the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.cc" ]; then
        g++ -std=c++20 -O1 -g -pthread -o "target/review-2/case-$number" "review/$number/case.cc"
    fi
done
