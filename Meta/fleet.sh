# Functions that start and stop a small fleet on the loopback network. Each VM
# has its own IP address in 127.0.0.0/8. Sourced by Meta/demo, the process tests
# and measurements, which set BIN (the folder of the binaries) and LOGS.
# BRAMLEYSPAN_TEST_NET (0 to 255) gives concurrent fleets different addresses.

OPERATOR_KEY=demo-operator-key
OPERATOR_KEY_SHA256=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
NET=127.${BRAMLEYSPAN_TEST_NET:-0}
PLATFORM_IP=$NET.0.10
KEY_VALUE=$PLATFORM_IP:8500
VM_LIST=$PLATFORM_IP:8600
WEIGHT_STORE=$PLATFORM_IP:8700
declare -A PIDS=()

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# spawn NAME COMMAND...: starts a process whose output goes to LOGS/NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >>"$LOGS/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# wait_for WHAT COMMAND...: repeats a command until it succeeds, for at least
# 20 s; then fails.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 400); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  fail "timed out waiting for $what"
}

http_ok() { curl -sf -m 2 -o /dev/null "$1"; }

start_platform() {
  spawn key-value "$BIN/StandInKeyValueService" --address="$KEY_VALUE"
  spawn vm-list "$BIN/StandInVmList" --address="$VM_LIST" --lag_milliseconds=200
  spawn weight-store "$BIN/StandInWeightStore" --address="$WEIGHT_STORE"
  wait_for "the VM list" http_ok "http://$VM_LIST/v1/vms"
}

# list_vm NAME IP ZONE KIND STATE: adds or replaces a VM in the VM list.
list_vm() {
  curl -sf -X PUT "http://$VM_LIST/v1/vms/$1" -o /dev/null \
    -d "{\"name\":\"$1\",\"ip\":\"$2\",\"zone\":\"$3\",\"kind\":\"$4\",\"state\":\"$5\"}"
}

# daemon ROLE NAME IP ZONE ARGUMENTS...: starts a bramleyspand.
daemon() {
  local role=$1 name=$2 ip=$3 zone=$4
  shift 4
  # The daemon refuses unknown variables with the prefix BRAMLEYSPAN_.
  spawn "$name" env -u BRAMLEYSPAN_TEST_NET "$BIN/bramleyspand" --role="$role" \
    --name="$name" --ip="$ip" --zone="$zone" --key_value_service="$KEY_VALUE" \
    --vm_list="$VM_LIST" --operator_key_sha256="$OPERATOR_KEY_SHA256" "$@"
}

# start_entry N ZONE: starts the entry at $NET.1.N and lists its VM; ENTRY_FLAGS
# holds further flags.
start_entry() {
  # shellcheck disable=SC2086
  daemon entry "entry-$1" "$NET.1.$1" "$2" ${ENTRY_FLAGS:-}
  list_vm "entry-$1" "$NET.1.$1" "$2" entry live
}

# start_agent N ZONE: starts the agent beside the back end of the target VM at
# $NET.2.N, and lists the VM; AGENT_FLAGS holds further flags.
start_agent() {
  # shellcheck disable=SC2086
  daemon agent "target-$1" "$NET.2.$1" "$2" --target="$NET.2.$1:8000" ${AGENT_FLAGS:-}
  list_vm "target-$1" "$NET.2.$1" "$2" target live
}

start_engine() { spawn "engine-$1" "$BIN/StandInModelEngine" --address="$NET.2.$1:8000"; }
# start_service N: starts the plain service at $NET.2.N; SERVICE_FLAGS holds
# further flags.
start_service() {
  # shellcheck disable=SC2086
  spawn "service-$1" "$BIN/StandInPlainService" --address="$NET.2.$1:8000" ${SERVICE_FLAGS:-}
}

start_fleet() {
  start_platform
  local zones=(wien-nord wien-sued st-poelten)
  for n in 1 2 3 4; do
    start_engine "$n"
    start_agent "$n" "${zones[$(((n - 1) % 3))]}"
  done
  start_service 5
  start_agent 5 st-poelten
  for n in 1 2 3; do start_entry "$n" "${zones[$((n - 1))]}"; done
  for n in 1 2 3; do wait_for "entry-$n" http_ok "http://$NET.1.$n:8080/readyz"; done
}

# control ARGUMENTS...: runs bramleyspanctl as an operator; it uses the first
# entry that answers.
control() {
  BRAMLEYSPAN_OPERATOR_KEY=$OPERATOR_KEY \
    BRAMLEYSPAN_ENTRIES=$NET.1.1:8080,$NET.1.2:8080,$NET.1.3:8080 \
    "$BIN/bramleyspanctl" "$@"
}

# control_at N ARGUMENTS...: as control, but with entry N alone.
control_at() {
  local n=$1
  shift
  BRAMLEYSPAN_OPERATOR_KEY=$OPERATOR_KEY BRAMLEYSPAN_ENTRIES=$NET.1.$n:8080 \
    "$BIN/bramleyspanctl" "$@"
}

# store_mode JSON: sets the failure mode of the key-value service.
store_mode() { curl -sf -X PUT "http://$KEY_VALUE/control" -d "$1" -o "$LOGS/control"; }

# in_force REVISION COUNT: whether every entry sees COUNT processes, itself
# included, that have REVISION in force.
in_force() {
  local n
  for n in 1 2 3; do
    [ "$(control_at "$n" status | grep -cw "revision $1")" -eq "$2" ] || return 1
  done
}

# stop NAME: stops a process with SIGTERM, waits for it and returns its exit
# status.
stop() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid"
}

stop_fleet() {
  local name
  for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!PIDS[@]}"; do wait "${PIDS[$name]}" 2>/dev/null || true; done
  PIDS=()
}

# Kills all processes; scripts run it on exit, so that none outlives them.
kill_fleet() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  # The next fleet uses the same addresses.
  ((${#PIDS[@]} == 0)) || wait "${PIDS[@]}" 2>/dev/null || true
}
