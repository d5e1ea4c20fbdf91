#!/usr/bin/env bash
# A machine freezes while a group changes its map, and all processes are killed
# right after the ack of an order: the group stands for good afterwards.
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../standins-2/lib.sh"
RECOVERY_S=12

start_all
callers before --to="$(all_gateways)" --per_second=20 --seconds=6
await_callers before
callers meanwhile --to="$(all_gateways)" --per_second=20 --seconds=12
sleep 1
if [ "$TROUBLE" = 1 ]; then
  pids=()
  for name in "${!PIDS[@]}"; do
    [[ $name == gateway-* || $name == rank-* ]] && pids+=("${PIDS[$name]}")
  done
  ask_platform "processes ${pids[*]}" >/dev/null
  # The owner's rank is ordered to prepare a map while the group is held.
  ask_platform "kill-after-ack prepare 0 1" >/dev/null
  # 4 s, the longest freeze of the site's days.
  ask_platform "freeze-at-hold 2 4000" >/dev/null
  is_struck() { [ "$(number_of killed)" = 1 ]; }
  wait_for 8 "order to strike at" is_struck
  say "final fault: all processes are gone"
  for name in "${!PIDS[@]}"; do
    [[ $name == gateway-* || $name == rank-* ]] || continue
    wait "${PIDS[$name]}" 2>/dev/null
    unset "PIDS[$name]"
  done
  sleep 1.2
  for n in $(seq "$GATEWAYS"); do start_gateway "$n"; done
  for n in $(seq 0 $((RANKS - 1))); do start_rank "$n"; done
  for n in $(seq "$GATEWAYS"); do wait_for 10 "gateway $n" is_ready "$n"; done
  say "all processes run again"
fi
await_callers meanwhile
sleep $((RECOVERY_S + 1))
say "recovery_s has passed"
callers after --to="$(all_gateways)" --per_second=5 --seconds=20
await_callers after
say "state of the group: $(ask_platform status)"

served() { grep -c ' 200 whole ' "$FILES/$1.callers"; }
sent() { grep -c . "$FILES/$1.callers"; }
say "served $(served before) of $(sent before) before, $(served after) of $(sent after) later than recovery_s after the return"
keep_record
tail -2 "$HERE/record.txt" | cut -d' ' -f2-
((4 * $(served before) >= $(sent before))) || cannot_run "too few served before the fault"
((4 * $(served after) >= $(sent after))) || exit 1
exit 0
