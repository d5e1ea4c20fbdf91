#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in Platform Clients Server Link Crowd; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    "review/standins-2/$program.cc" -o "target/review-2/$program"
done
