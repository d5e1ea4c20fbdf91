# Functions of the review's scripts; sourced. Needs CASE, the case's folder, and
# NUMBER, the second number of the loopback addresses that it uses (127.NUMBER).
# It starts the project's own programs with the commands of the deploy file, on
# loopback addresses, and ends what it started by pid.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
# is_free N: whether nobody listens at the ports that a script uses on 127.N.
is_free() {
  local port
  for port in 7000 7001 7340 8000 8220 8224 8227 9464; do
    (exec 3<>"/dev/tcp/127.$1.1.1/$port") 2>/dev/null && return 1
  done
  ! (exec 3<>"/dev/tcp/127.$1.0.20/7000") 2>/dev/null
}
NET_NUMBER=${NET_NUMBER:-$NUMBER}
until is_free "$NET_NUMBER"; do NET_NUMBER=$((NET_NUMBER % 250 + 1)); done
NET=127.$NET_NUMBER
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
BIN=${REVIEW_BIN:-Build/Binaries}
DAEMON=target/Binaries/bramleyspand
CONTROL=http://$NET.0.20:7001
STORE=http://$NET.0.20:7000
declare -A PIDS=()
: >"$RECORD"

note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$RECORD"; }

finish() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap finish EXIT

# held, broken, unable: the three outcomes.
held() { note "held: $*"; exit 0; }
broken() { note "broken: $*"; exit 1; }
unable() { note "could not run: $*"; exit 2; }

[ -x "$DAEMON" ] || unable "$DAEMON is missing"
[ -x "$BIN/StandInUsersPlatform" ] || unable "$BIN/StandInUsersPlatform is missing; run review/build.sh"

# start NAME COMMAND...: output goes to $WORK/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# wait_until WHAT COMMAND...: for at most 20 s.
wait_until() {
  local what=$1 n
  shift
  for n in $(seq 400); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  tail -n 5 "$WORK"/*.log >>"$RECORD" 2>/dev/null
  unable "waited in vain for $what"
}

# flags_of NAME IP ZONE ENGINE: renders deploy/flags.template as the platform
# does, with the bounds and limits of the site sheet fr-honorar.
flags_of() {
  local callers="" directory="" ready=""
  if [ -z "$4" ]; then
    callers=$2:8227 directory=$2:8224 ready=$2:8220
  fi
  sed -e "s|{{node}}|$1|; s|{{zone}}|$3|; s|{{ip}}|$2|; s|{{platform.address}}|$NET.0.20:7000|" \
    -e "s|{{listen.front}}|$callers|; s|{{listen.directory}}|$directory|; s|{{listen.ready}}|$ready|" \
    -e "s|{{internal_ports}}|7340,7355|; s|{{seeds}}|$NET.1.1:8229,$NET.1.2:8229,$NET.1.3:8229|" \
    -e "s|{{app}}|$4|; s|{{bounds.retry_budget_ratio}}|0.2|; s|{{bounds.budget_slack}}|88|" \
    -e "s|{{bounds.budget_window_s}}|10|; s|{{first_start}}|${FIRST_START:-true}|; s|{{bounds.grace_s}}|8|" \
    -e "s|{{[#/]bounds.stable_window_ms}}||g; s|{{bounds.stable_window_ms}}|3000|" \
    -e "s|{{[#/]limits.link_mbps}}||g; s|{{limits.link_mbps}}|1000|" \
    -e "s|{{[#/]limits.memory_mb}}||g; s|{{limits.memory_mb}}|260|" deploy/flags.template
}

# start_gateway N, start_rank N ENGINE: the commands of deploy/system.toml.
start_gateway() {
  flags_of "front-$1" "$NET.1.$1" "zone-$1" "" >"$WORK/gateway-$1.flags"
  start "gateway-$1" "$DAEMON" --role=gateway --flagfile="$WORK/gateway-$1.flags"
}
start_rank() {
  flags_of "side-$1" "$NET.2.$1" "zone-$1" "$2" >"$WORK/rank-$1.flags"
  start "rank-$1" "$DAEMON" --role=rank --flagfile="$WORK/rank-$1.flags"
}
is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$NET.1.$1:8220/readiness")" = 200 ]; }

# list_server ID SERVICE ADDRESS ZONE: what a server writes to the store.
list_server() {
  local value
  value=$(printf '{"service":"%s","address":"%s","zone":"%s","version":"v1","slots":12,"state":"ready","cold_left_ms":0,"seq":1}' "$2" "$3" "$4" | base64 -w0)
  curl -sf -X POST "$STORE/kv-txn" -o /dev/null \
    -d "{\"expected_rev\":[],\"puts\":[{\"key\":\"servers/$1\",\"value\":\"$value\"}],\"deletes\":[]}"
}
configure() { curl -sf -X PUT "$CONTROL/config" -o /dev/null --data-binary @-; }
