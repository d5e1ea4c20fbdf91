# Setup of every process test; sourced, not run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BIN=$PWD/Build/Binaries
LOGS=$(mktemp -d)
source Meta/fleet.sh
trap kill_fleet EXIT

# apply_catalogue BASE: applies the demo's catalogue on top of revision BASE.
apply_catalogue() {
  control catalogue apply --base_revision="$1" Meta/demo-files/catalogue.toml
}

# ask ENTRY CURL-ARGUMENTS...: sends a request to a catalogue entry with the key
# of the owner studio-huber.
ask() {
  local entry=$1
  shift
  curl -sS -m 20 -H "Authorization: Bearer studio-huber-key" \
    -H "Bramleyspan-Entry: $entry" "$@"
}

# dump IP: prints the whole state of the process at this IP, as an operator gets
# it.
dump() {
  curl -sf -m 2 -H "Authorization: Bearer $OPERATOR_KEY" "http://$1:8080/v1/operator/dump"
}

# contains PATTERN: whether the standard input has a line that matches. Reads all
# of it, so that the writer of a pipe does not fail, as with grep -q.
contains() { grep -c -- "$1" >/dev/null; }
