# Functions of the scripts of this review; sourced by review/N/run.sh.
set -uo pipefail
TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
DAEMON=${DAEMON:-$TOP/target/Binaries/bramleyspand}
STANDINS=$TOP/target/review-2
TROUBLE=${TROUBLE:-1}
RANKS=${RANKS:-12}
PLAIN=${PLAIN:-3}
GATEWAYS=${GATEWAYS:-2}
FILES=$(mktemp -d)
declare -A PIDS=()
unset "${!BRAMLEYSPAN_@}"

# Ends all that was started, by pid.
end_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    kill -KILL "${PIDS[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$FILES"
}
trap end_all EXIT
# The case can't run: not a statement on the rule.
cannot_run() {
  echo "cannot run: $*" | tee -a "$HERE/record.txt"
  exit 2
}
say() { echo "$(date +%s%3N) $*" >>"$HERE/record.txt"; }

# A network of 127.0.0.0/8 that nobody else uses.
pick_net() {
  local n
  for n in $(shuf -i 20-250); do
    if ! (exec 3<>"/dev/tcp/127.$n.0.20/7001") 2>/dev/null; then
      NET=127.$n
      return
    fi
  done
  cannot_run "no free network"
}

# ask_platform COMMAND: sends a command, prints the platform's state.
ask_platform() {
  local answer
  exec 9<>"/dev/tcp/$NET.0.20/7001" || return 1
  echo "$*" >&9
  read -r answer <&9
  exec 9>&-
  echo "$answer"
}
# number_of FIELD: a number of the platform's state.
number_of() { ask_platform status | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# settings NODE IP [ENGINE]: renders deploy/flags.template for a machine.
settings() {
  local front= directory= ready= memory=128 link=20
  if [ -z "${3:-}" ]; then
    front=$2:8080 directory=$2:8081 ready=$2:8082 memory=${MEMORY_MB:-260} link=1000
  fi
  sed -e "s/{{node}}/$1/; s/{{zone}}/a/; s/{{ip}}/$2/; s/{{app}}/${3:-}/" \
    -e "s/{{platform.address}}/$NET.0.20:7000/; s/{{listen.front}}/$front/" \
    -e "s/{{listen.directory}}/$directory/; s/{{listen.ready}}/$ready/" \
    -e "s/{{internal_ports}}/7340,7355/; s/{{first_start}}/${FIRST_START:-false}/" \
    -e "s/{{seeds}}/$NET.1.1:8083,$NET.1.2:8083/" \
    -e "s/{{bounds.retry_budget_ratio}}/0.2/; s/{{bounds.budget_slack}}/88/" \
    -e "s/{{bounds.budget_window_s}}/10/; s/{{bounds.grace_s}}/8/" \
    -e "s/{{bounds.stable_window_ms}}/3000/; s/{{limits.link_mbps}}/$link/" \
    -e "s/{{limits.memory_mb}}/$memory/; s/{{[#\/][^}]*}}//g" \
    "$TOP/deploy/flags.template" >"$FILES/$1.flags"
}

# start_gateway K, start_rank K (from 0): with the commands of the deploy file.
start_gateway() {
  settings "gateway-$1" "$NET.1.$1"
  (cd "$TOP" && exec "$DAEMON" --role=gateway --flagfile="$FILES/gateway-$1.flags" \
    --max_descriptors="${DESCRIPTORS:-4200}") >>"$FILES/gateway-$1.log" 2>&1 &
  PIDS[gateway-$1]=$!
}
start_rank() {
  local ip=$NET.2.$(($1 + 1))
  settings "rank-$1" "$ip" "$ip:8000"
  (cd "$TOP" && exec "$DAEMON" --role=rank --flagfile="$FILES/rank-$1.flags" \
    --max_descriptors=2048) >>"$FILES/rank-$1.log" 2>&1 &
  PIDS[rank-$1]=$!
  ask_platform "agent $1 $!" >/dev/null
}
# kill_process NAME: SIGKILL, and waits until it is gone.
kill_process() {
  say "SIGKILL $1"
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
}
is_ready() {
  local answer
  exec 8<>"/dev/tcp/$NET.1.$1/8082" || return 1
  printf 'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&8
  read -r answer <&8
  exec 8>&-
  [[ $answer == *" 200 "* ]]
}
# wait_for SECONDS WHAT COMMAND...
wait_for() {
  local tries=$(($1 * 20)) what=$2
  shift 2
  while ! "$@" 2>/dev/null; do
    ((--tries > 0)) || cannot_run "no $what"
    sleep 0.05
  done
}

desired_state() {
  local common='"host":"app.test","timeout_ms":8000,"max_attempts":2,"priority":1'
  printf '%s' "{\"version\":${1:-3},\"routes\":[" \
    "{$common,\"name\":\"draft\",\"path_prefix\":\"/draft/\",\"route_kind\":\"streaming\",\"resumable\":true,\"service\":\"chat\",\"target_latency_ms\":500,\"target_gap_ms\":120}," \
    "{$common,\"name\":\"issue\",\"path_prefix\":\"/issue/\",\"route_kind\":\"non_idempotent\",\"service\":\"billing\",\"target_latency_ms\":500}," \
    "{$common,\"name\":\"read\",\"path_prefix\":\"/read/\",\"route_kind\":\"idempotent\",\"service\":\"billing\",\"target_latency_ms\":500}]," \
    "\"services\":[{\"name\":\"billing\",\"health_path\":\"/health\",\"max_conns\":96}," \
    "{\"name\":\"chat\",\"health_path\":\"/health\",\"max_conns\":408,\"engine\":{\"slots\":12,\"stride\":4,\"step_ms\":4.55,\"per_seq_ms\":0.905,\"context_per_k\":0.02,\"read_per_s\":61400,\"pairs_per_m\":0.5,\"chunk\":512,\"sets\":3,\"experts\":96,\"placements\":11,\"spare\":4,\"expert_mb\":1700,\"link_mbps\":92000,\"expert_share\":0.85,\"usual\":{\"prompt\":700,\"answer\":80},\"report_lag_ms\":200}}]," \
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}," \
    '"tenants":[{"name":"huber","api_keys":["key-huber"]}]}'
}

# Starts the platform and the system, and waits until it serves.
start_all() {
  local n
  [ -x "$DAEMON" ] || cannot_run "the build of the deploy file is missing"
  [ -x "$STANDINS/Platform" ] || cannot_run "review/build-2.sh was not run"
  : >"$HERE/record.txt"
  pick_net
  "$STANDINS/Platform" --net="$NET" --ranks="$RANKS" --plain="$PLAIN" \
    --log="$FILES/platform.log" ${PLATFORM_FLAGS:-} 2>>"$FILES/platform.err" &
  PIDS[platform]=$!
  wait_for 5 platform ask_platform status >/dev/null
  ask_platform "put op/config $(desired_state)" >/dev/null
  for n in $(seq "$GATEWAYS"); do FIRST_START=true start_gateway "$n"; done
  for n in $(seq 0 $((RANKS - 1))); do FIRST_START=true start_rank "$n"; done
  for n in $(seq "$GATEWAYS"); do wait_for 10 "gateway $n" is_ready "$n"; done
  sleep 2
}
# callers NAME FLAGS...: starts clients; their lines go to NAME.callers.
callers() {
  local name=$1
  shift
  "$STANDINS/Clients" --prefix="$name" "$@" >"$FILES/$name.callers" &
  PIDS[callers-$name]=$!
}
await_callers() {
  wait "${PIDS[callers-$1]}"
  unset "PIDS[callers-$1]"
}
all_gateways() {
  local n list=
  for n in $(seq "$GATEWAYS"); do list+=${list:+,}$NET.1.$n:8080; done
  echo "$list"
}
# keep_record: what was sent, answered and run, in order of time.
keep_record() {
  sort -n "$FILES"/*.callers "$FILES/platform.log" "$HERE/record.txt" -o "$FILES/all" 2>/dev/null
  cp "$FILES/all" "$HERE/record.txt"
}
