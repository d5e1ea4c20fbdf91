# Functions that send callers' requests, for process tests; sourced after
# Prelude.sh.

# start_fleet_with_catalogue: starts a fleet and puts the demo's catalogue in
# force.
start_fleet_with_catalogue() {
  start_fleet
  apply_catalogue 0
  wait_for "revision 1 on all 8 processes" in_force 1 8
}

# take_key [ENTRY-NUMBER]: prints a claim key for issue-invoice.
take_key() {
  ask issue-invoice -X POST "http://$NET.1.${1:-1}:8080/v1/claims" -d '{}' |
    sed -n 's/.*"keys":\["\([^"]*\)".*/\1/p'
}

# issue ENTRY-NUMBER KEY BODY CURL-ARGUMENTS...: issues an invoice, an
# at-most-once call, with a claim key.
issue() {
  local number=$1 key=$2 body=$3
  shift 3
  ask issue-invoice -H "Bramleyspan-Claim: $key" "$@" \
    "http://$NET.1.$number:8080/v1/services/invoices/issue" -d "$body"
}

# runs BODY: prints how often the service ran an invoice.
runs() {
  curl -sf -m 5 "http://$NET.2.5:8000/status/$1" | sed -n 's/.*"runs":\([0-9]*\).*/\1/p'
}
has_run() { [ "$(runs "$1")" -ge 1 ]; }

expect_runs() {
  local found
  found=$(runs "$1")
  [ "$found" = "$2" ] || fail "$1 ran $found times, not $2"
}

# expect TEXT ANSWER: fails unless the answer contains the text.
expect() {
  grep -qF "$1" <<<"$2" || fail "no $1 in: $2"
}

# chat ENTRY-NUMBER PROMPT TOKENS CURL-ARGUMENTS...: prints a streamed answer.
chat() {
  local number=$1 prompt=$2 tokens=$3
  shift 3
  ask draft-invoice "$@" "http://$NET.1.$number:8080/v1/chat/completions" \
    -d "{\"stream\":true,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}"
}

# expect_whole PROMPT TOKENS ANSWER: fails unless the answer has each token of
# the prompt once, in order, no other token, and its end.
expect_whole() {
  local found
  found=$(grep -o '"content":"[^"]*"' <<<"$3" | tr -d '\n') || true
  local wanted="" n
  for ((n = 0; n < $2; n++)); do wanted+="\"content\":\"$1#$n \""; done
  [ "$found" = "$wanted" ] || fail "the answer to $1 is incomplete or has foreign tokens: $3"
  expect '[DONE]' "$3"
}

# load FIELD: prints the sum of a field of the four engines' load reports.
load() {
  local n field sum=0
  for n in 1 2 3 4; do
    field=$(curl -sf -m 5 "http://$NET.2.$n:8000/load" | grep -o "\"$1\":[0-9]*")
    sum=$((sum + ${field##*:}))
  done
  echo "$sum"
}

signal() { kill "-$1" "${PIDS[$2]}"; }

# kill_process NAME: kills a process with SIGKILL and removes it from PIDS.
kill_process() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
}

# restart_agent REVISION: starts the agent of target-5 again and waits for its
# links.
restart_agent() {
  start_agent 5 st-poelten
  wait_for "the links of target-5" links_of_target_5 "$1"
}

# links_of_target_5 REVISION: whether the agent is linked to all entries and has
# the revision in force.
links_of_target_5() {
  dump "$NET.2.5" |
    grep -q "\"entries_linked\":3.*\"revision\":$1"
}

# start_entry_callers NAME ENTRY PATH FLAGS...: starts callers that send plain
# requests to entry 1 for a catalogue entry until nobody listens there; what
# became of the requests goes to $LOGS/NAME.callers. Their content is not checked.
start_entry_callers() {
  local name=$1 entry=$2 path=$3
  shift 3
  spawn "callers-$name" bash -c 'exec "$0" "${@:2}" >"$1"' "$BIN/StandInGatewayCallers" "$LOGS/$name.callers" \
    --ip="$NET.1.1" --port=8080 --prefix="$name" --plain_every=1 --plain_path="$path" --nocheck_content \
    --headers="Authorization: Bearer studio-huber-key|Bramleyspan-Entry: $entry" "$@"
}

# stop_timed NAME: stops a process with SIGTERM and waits for it: its status and
# the milliseconds it took are STOP_STATUS and STOP_TOOK.
stop_timed() {
  local began
  STOP_STATUS=0
  began=$(date +%s%3N)
  stop "$1" || STOP_STATUS=$?
  STOP_TOOK=$(($(date +%s%3N) - began))
  echo "$1 was gone after $STOP_TOOK ms with status $STOP_STATUS"
}

# wait_for_callers NAME COUNT: waits for the callers and prints what became of
# their requests; fails unless so many were answered with a whole 200.
wait_for_callers() {
  wait "${PIDS[callers-$1]}" || fail "the callers $1 failed"
  unset "PIDS[callers-$1]"
  echo "$1:" $(awk '{ print $2 "-" $3 }' "$LOGS/$1.callers" | sort | uniq -c)
  [ "$(grep -c ' whole ' "$LOGS/$1.callers")" = "$2" ] || fail "not all were answered: $(cat "$LOGS/$1.callers")"
}
