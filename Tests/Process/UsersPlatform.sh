# Functions for tests of gateways and rank agents with a stand-in for the users'
# platform; sourced after Prelude.sh.
CONTROL=http://$NET.0.20:7001
HOST=app.test

# desired_state VERSION INVOICE-SERVICE [EXTRA-ROUTE]: prints the document that
# an operator writes, with invoices routed to the service, and one more route.
# The service raw has one server, whose answers end with their connection;
# RAW_SERVICE is another service for its routes.
# ROUTE_TIMEOUT holds the routes' time limit in ms (default 5000), MAX_ATTEMPTS
# how many servers a request may reach (default 2), MAX_BODY_BYTES the longest
# body of a request. With
# HAS_URGENT_ROUTE=1 there are also streams at /urgent/, which come before drafts.
desired_state() {
  local route="{\"host\":\"app.test\",\"timeout_ms\":${ROUTE_TIMEOUT:-5000},\"max_attempts\":${MAX_ATTEMPTS:-2},\"priority\":1"
  local extra=""
  if [ -n "${3:-}" ]; then
    extra=",$route,\"name\":\"extra\",\"path_prefix\":\"/$3/\",\"route_kind\":\"idempotent\",\"service\":\"billing\",\"target_latency_ms\":500}"
  fi
  if [ -n "${HAS_URGENT_ROUTE:-}" ]; then
    extra="$extra,{\"host\":\"app.test\",\"timeout_ms\":5000,\"max_attempts\":2,\"priority\":0,\"name\":\"urgent\",\"path_prefix\":\"/urgent/\",\"route_kind\":\"streaming\",\"resumable\":true,\"service\":\"chat\",\"target_latency_ms\":500,\"target_gap_ms\":120}"
  fi
  cat <<JSON
{"version":$1,
 "routes":[
  $route,"name":"draft","path_prefix":"/draft/","route_kind":"streaming","resumable":true,
   "service":"chat","target_latency_ms":500,"target_gap_ms":120},
  $route,"name":"raw","path_prefix":"/raw/","route_kind":"idempotent",
   "service":"${RAW_SERVICE:-raw}","target_latency_ms":500},
  $route,"name":"raw-stream","path_prefix":"/raw-stream/","route_kind":"streaming","resumable":false,
   "service":"${RAW_SERVICE:-raw}","target_latency_ms":500,"target_gap_ms":120},
  $route,"name":"issue","path_prefix":"/issue/","route_kind":"non_idempotent",
   "service":"$2","target_latency_ms":500}$extra],
 "services":[{"name":"billing"},{"name":"archive"},{"name":"${RAW_SERVICE:-raw}"},
  {"name":"chat","engine":{"slots":8,"stride":4,"step_ms":5,"per_seq_ms":1,"read_per_s":60000,
   "sets":2,"experts":8,"placements":6,"spare":4,"expert_mb":10,"link_mbps":1000}}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":${MAX_BODY_BYTES:-65536},"header_timeout_ms":3000,"idle_timeout_ms":10000},
 "tenants":[{"name":"huber","api_keys":["key-huber"]}]}
JSON
}

# configure VERSION INVOICE-SERVICE [EXTRA-ROUTE]: writes this desired state to
# the store.
configure() { desired_state "$@" | curl -sf -X PUT "$CONTROL/config" --data-binary @- -o /dev/null; }
set_server() { curl -sf -X PUT "$CONTROL/server?id=$1&state=$2" -o /dev/null; }
# set_zone SERVER ZONE: moves a server to a zone. evacuate ZONE on|off: what the
# operator writes to evacuate or restore it.
set_zone() { curl -sf -X PUT "$CONTROL/server?id=$1&state=ready&zone=$2" -o /dev/null; }
evacuate() { curl -sf -X PUT "$CONTROL/evacuate?zone=$1&state=$2" -o /dev/null; }
set_store() { curl -sf -X PUT "$CONTROL/store?mode=$1" -o /dev/null; }
# set_signals SERVER QUERY: sets what the server asks of its callers, such as
# limit=1 or, as the status of all its answers, fails=500. arrivals_at SERVER SPAN AFTER: prints the most requests that reached
# it within SPAN ms, in spans that begin AFTER ms after that or later.
set_signals() { curl -sf -X PUT "$CONTROL/signals?id=$1&$2" -o /dev/null; }
arrivals_at() { curl -sf "$CONTROL/arrivals?id=$1&span_ms=$2&after_ms=$3"; }
platform_status() { curl -sf "$CONTROL/status"; }

# runs_of ATTEMPT: prints how often the attempt began to run on any server;
# nothing if never. number_of FIELD: prints a number of the platform's status.
runs_of() { platform_status | grep -o "\"$1\":[0-9]*" | cut -d: -f2 || true; }
number_of() { platform_status | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# start_gateway NUMBER [FLAGS...]: starts a gateway; GATEWAY_FLAGS holds further
# flags.
start_gateway() {
  local number=$1
  shift
  # shellcheck disable=SC2086
  spawn "gateway-$number" env -u BRAMLEYSPAN_TEST_NET "$BIN/bramleyspand" --role=gateway \
    --name="gateway-$number" --zone=a --ip="$NET.1.$number" --store="$NET.0.20:7000" \
    --callers="$NET.1.$number:8080" --directory="$NET.1.$number:8081" --readiness="$NET.1.$number:8082" \
    --peer_ports=7340,7355 --seeds="$NET.1.1:1,$NET.1.2:1" --repeat_ratio=0.2 --repeat_slack=10 \
    --repeat_window_seconds=10 --stop_bound_seconds=8 --notice_bound_milliseconds=3000 \
    --group_fan_out="${FAN_OUT:-12}" ${GATEWAY_FLAGS:-} "$@"
}

start_rank() {
  spawn "rank-$1" env -u BRAMLEYSPAN_TEST_NET "$BIN/bramleyspand" --role=rank --name="rank-$1" \
    --zone=a --ip="$NET.2.$1" --store="$NET.0.20:7000" --engine="$NET.2.$1:8000" \
    --peer_ports=7340,7355 --seeds="$NET.1.1:1,$NET.1.2:1" --group_fan_out="${FAN_OUT:-12}"
}

# kill_gateways: kills both gateways and waits for their ends, so that their
# addresses are free.
kill_gateways() {
  local n
  for n in 1 2; do
    kill -KILL "${PIDS[gateway-$n]}"
    wait "${PIDS[gateway-$n]}" 2>/dev/null || true
  done
}

is_ready() { curl -sf -m 1 -o /dev/null "http://$NET.1.$1:8082/readiness"; }

# Starts the platform, two gateways and the agents of RANKS ranks (default 2),
# with FAN_OUT (default 12) as the fan-out of their tree.
start_platform_and_system() {
  # shellcheck disable=SC2086
  spawn platform "$BIN/StandInUsersPlatform" --net="$NET" --ranks="${RANKS:-2}" \
    ${PLATFORM_FLAGS:-}
  wait_for "the platform" platform_status
  configure 3 billing
  for n in 1 2; do start_gateway "$n" --first_start=true; done
  for n in $(seq "${RANKS:-2}"); do start_rank "$n"; done
  for n in 1 2; do wait_for "gateway-$n" is_ready "$n"; done
}

# request GATEWAY ATTEMPT PATH CURL-ARGUMENTS...: sends a caller's request.
request() {
  local gateway=$1 attempt=$2 path=$3
  shift 3
  curl -sS -m 10 -H "Host: $HOST" -H "X-Attempt-Id: $attempt" -H "X-Api-Key: key-huber" \
    -H "X-Deadline-Ms: 5000" "http://$NET.1.$gateway:8080$path" "$@"
}

# send_at_rate PER-SECOND SECONDS GATEWAYS PREFIX PATH: sends requests to the
# gateways in turn without waiting for answers, then waits for all of them.
# Their statuses go to $LOGS/PREFIX.statuses.
send_at_rate() {
  local n count=$(($1 * $2)) pids=()
  for n in $(seq "$count"); do
    echo "$(status_of "$((n % $3 + 1))" "$4-$n" "$5" -d x)" >>"$LOGS/$4.statuses" &
    pids+=($!)
    sleep "$(bc -l <<<"1/$1")"
  done
  wait "${pids[@]}" || true
}

# send_prompts PER-SECOND SECONDS GATEWAYS PREFIX PATH PARTS: as send_at_rate,
# with prompts of these parts and one of each request's own. Each line of
# $LOGS/PREFIX.statuses has the status and the second it was sent in.
send_prompts() {
  local n count=$(($1 * $2)) pids=() start=$SECONDS
  for n in $(seq "$count"); do
    echo "$(status_of "$((n % $3 + 1))" "$4-$n" "$5" -d x -H "X-Prompt-Prefix: $6,own$4$n:60") $((SECONDS - start))" \
      >>"$LOGS/$4.statuses" &
    pids+=($!)
    sleep "$(bc -l <<<"1/$1")"
  done
  wait "${pids[@]}" || true
}

# end_servers_under PART DELAY-MS DOWN-MS [RENAMES]: from now on a server ends
# that begins to answer a request with this part in its prompt. ends_under: how
# many have ended. late_arrivals AFTER-MS: requests with the part that reached
# servers later than that past the fifth end.
end_servers_under() {
  curl -sf -X PUT "$CONTROL/crashes?part=$1&delay_ms=$2&down_ms=$3&renames=${4:-}" -o /dev/null
}
ends_under() { curl -sf "$CONTROL/crashes?after_ms=0" | grep -o '"ends":[0-9]*' | cut -d: -f2; }
late_arrivals() { curl -sf "$CONTROL/crashes?after_ms=$1" | grep -o '"late":[0-9]*' | cut -d: -f2; }

# expect_servers_kept_from_part: at most three requests with the part reached
# servers later than 3 s after the fifth end.
expect_servers_kept_from_part() {
  local late
  late=$(late_arrivals 3000)
  echo "$(ends_under) servers ended under the part, $late requests with it came later"
  ((late <= 3)) || fail "$late requests with a part under which servers end reached servers later than 3 s after the fifth end"
}

# end_servers_under_requests DELAY-MS DOWN-MS [QUERY]: from now on a server ends
# that begins to answer a request whose body begins with kill-. late_of_requests
# AFTER-MS: how often each of these reached servers later than that past the third
# end under it, one number a line; ends_of_requests: how many ended under each.
end_servers_under_requests() {
  curl -sf -X PUT "$CONTROL/crashes?body=kill-&delay_ms=$1&down_ms=$2&${3:-}" -o /dev/null
}
of_requests() { curl -sf "$CONTROL/crashes?after_ms=$2" | grep -o "\"$1_of_request\":[0-9]*" | cut -d: -f2; }
late_of_requests() { of_requests late "$1"; }
ends_of_requests() { of_requests ends 0; }

# send_until_answered TIMES SECONDS BODY PATH CURL-ARGUMENTS...: what an impatient
# caller does: sends a request up to so many times in so many seconds until it is
# answered, to another gateway each time, under a new attempt id, a stream with
# its last event id. The statuses go to $LOGS/BODY.statuses.
send_until_answered() {
  local times=$1 pause body=$3 path=$4 n last event=()
  pause=$(bc -l <<<"$2/$1")
  shift 4
  for n in $(seq "$times"); do
    if request $((n % 2 + 1)) "$body-$n" "$path" -d "$body" "$@" "${event[@]}" \
      -o "$LOGS/$body-$n" -w '%{http_code}\n' 2>/dev/null >"$LOGS/$body.status" &&
      [ "$(cat "$LOGS/$body.status")" = 200 ]; then
      echo 200 >>"$LOGS/$body.statuses"
      return
    fi
    cat "$LOGS/$body.status" >>"$LOGS/$body.statuses"
    last=$(grep -s '^id:' "$LOGS/$body-$n" | tail -1 | tr -dc 0-9) || true
    [ -z "$last" ] || event=(-H "Last-Event-Id: $last")
    sleep "$pause"
  done
}

# expect_servers_kept_from_requests COUNT: none of so many killing requests reached
# a server later than 0.3 s after the third end under it.
expect_servers_kept_from_requests() {
  local late
  late=$(late_of_requests 300)
  echo "servers ended under each request:" $(ends_of_requests), "later arrivals:" $late
  [ "$(wc -l <<<"$late")" = "$1" ] || fail "not all killing requests reached a server"
  ! grep -qv '^0$' <<<"$late" || fail "requests under which three servers had ended were sent to servers again"
}

# expect_half_served PREFIX FROM: at least half of the prompts sent in second
# FROM or later were answered with 200.
expect_half_served() {
  local sent served
  sent=$(awk -v from="$2" '$2 >= from' "$LOGS/$1.statuses" | wc -l)
  served=$(awk -v from="$2" '$2 >= from && $1 == 200' "$LOGS/$1.statuses" | wc -l)
  echo "$served of $sent $1 requests served from second $2"
  ((sent >= 20 && 2 * served >= sent)) || fail "only $served of $sent sound requests were served from second $2"
}

status_of() { request "$@" -o /dev/null -w '%{http_code}'; }

# start_callers NAME FLAGS...: starts callers that keep the address of gateway 1
# until nobody listens there; what became of their requests goes to
# $LOGS/NAME.callers.
start_callers() {
  local name=$1
  shift
  spawn "callers-$name" bash -c 'exec "$0" "${@:2}" >"$1"' "$BIN/StandInGatewayCallers" "$LOGS/$name.callers" \
    --ip="$NET.1.1" --port=8080 --prefix="$name" "$@"
}

# stop_while_called GATEWAY: stops the gateway with SIGTERM and waits for it and
# for all callers. expect_ended_well GATEWAY: it has ended by itself, before the
# platform would have killed it.
stop_while_called() {
  local began name
  STOP_STATUS=0
  began=$(date +%s%3N)
  stop "gateway-$1" || STOP_STATUS=$?
  STOP_TOOK=$(($(date +%s%3N) - began))
  echo "gateway-$1 was gone after $STOP_TOOK ms with status $STOP_STATUS"
  for name in "${!PIDS[@]}"; do
    [[ $name == callers-* ]] || continue
    wait "${PIDS[$name]}" || fail "$name failed"
    unset "PIDS[$name]"
  done
}
expect_ended_well() {
  [ "$STOP_STATUS" = 0 ] || fail "gateway-$1 ended with status $STOP_STATUS"
  ((STOP_TOOK < 8000)) || fail "gateway-$1 took longer than its stop bound"
}

# expect_nothing_cut NAME: each request of these callers was answered as a whole,
# or nobody has read it.
expect_nothing_cut() {
  local lines="$LOGS/$1.callers" id
  echo "$1:" $(awk '{ print $2 "-" $3 }' "$lines" | sort | uniq -c)
  ! grep -E ' (cut|dropped) ' "$lines" || fail "requests of $1 got no whole answer"
  for id in $(awk '$3 == "crossed" { print $1 }' "$lines"); do
    [ -z "$(runs_of "$id")" ] || fail "$id of $1 was passed on and got no answer"
  done
}

# is_whole_stream FILE ATTEMPT: whether the file has exactly the 20 events of
# this attempt, each once and in order.
is_whole_stream() {
  diff <(grep '^data:' "$1") <(for n in $(seq 20); do echo "data: $2#$n"; done) >/dev/null
}
