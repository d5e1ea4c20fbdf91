#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts: the project's own one
# of the users' platform into Build/, the review's own into Build/Review/.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x Build/Binaries/StandInUsersPlatform ]; then
  [ -f Build/CMakeCache.txt ] || cmake -S . -B Build >/dev/null
  cmake --build Build -j8 --target StandInUsersPlatform
fi
mkdir -p Build/Review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "Build/Review/$(basename "$source" .cc)"
done
