# Functions for tests with clients that don't behave; sourced after Prelude.sh.
# A process must live, stay within the memory of its machine (what it takes, and
# what the system has received for it and it has not read) and within its
# descriptors, and answer one ordinary request afterwards.

# unread_of IP: bytes that the system holds for sockets at this IP.
unread_of() {
  local a b c d
  IFS=. read -r a b c d <<<"$1"
  awk -v ip="$(printf '%02X%02X%02X%02X' "$d" "$c" "$b" "$a")" '
    index($2, ip ":") == 1 { split($5, queues, ":"); sum += strtonum("0x" queues[2]) }
    function strtonum(text,   i, n) {
      n = 0
      for (i = 3; i <= length(text); ++i) n = n * 16 + index("0123456789ABCDEF", toupper(substr(text, i, 1))) - 1
      return n
    }
    END { printf "%d\n", sum }' /proc/net/tcp
}

# watch_process NAME IP: samples the memory and descriptors of the process until
# it ends; the most goes to $LOGS/NAME.most as "MEGABYTES DESCRIPTORS".
watch_process() {
  local pid=${PIDS[$1]} most_kilobytes=0 most_descriptors=0 kilobytes descriptors
  while kill -0 "$pid" 2>/dev/null; do
    kilobytes=$(($(awk '/VmRSS/ { print $2 }' "/proc/$pid/status" 2>/dev/null || echo 0) + $(unread_of "$2") / 1024))
    descriptors=$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)
    ((kilobytes <= most_kilobytes)) || most_kilobytes=$kilobytes
    ((descriptors <= most_descriptors)) || most_descriptors=$descriptors
    echo "$((most_kilobytes / 1024)) $most_descriptors" >"$LOGS/$1.most.new"
    mv "$LOGS/$1.most.new" "$LOGS/$1.most"
    sleep 0.1
  done
}
start_watch() {
  watch_process "$1" "$2" &
  PIDS[watch-$1]=$!
}

# crowd NAME FLAGS...: starts a crowd; what became of it goes to
# $LOGS/crowd-NAME.log. wait_for_crowd NAME: waits for its end and prints that.
crowd() {
  local name=$1
  shift
  spawn "crowd-$name" "$BIN/StandInCrowd" "$@"
}
wait_for_crowd() {
  wait "${PIDS[crowd-$1]}" || fail "the crowd $1 failed"
  unset "PIDS[crowd-$1]"
  echo "$1: $(tail -1 "$LOGS/crowd-$1.log")"
}

# expect_sound NAME MEGABYTES DESCRIPTORS: the process lives and has stayed
# within these.
expect_sound() {
  local megabytes descriptors peak
  kill -0 "${PIDS[$1]}" 2>/dev/null || fail "$1 has ended"
  read -r megabytes descriptors <"$LOGS/$1.most"
  peak=$(($(awk '/VmHWM/ { print $2 }' "/proc/${PIDS[$1]}/status") / 1024))
  ((peak <= megabytes)) || megabytes=$peak
  echo "$1: at most $megabytes of $2 MB, $descriptors of $3 descriptors"
  ((megabytes < $2)) || fail "$1 has taken $megabytes MB of $2"
  ((descriptors <= $3)) || fail "$1 has had $descriptors descriptors of $3"
}

# expect_answered WHAT COMMAND...: the command, one ordinary request, is answered;
# as the pages' clients do, its caller comes back up to four times after a
# refusal or a connection that was closed.
expect_answered() {
  local what=$1
  shift
  for _ in 1 2 3 4 5; do
    if [ "$("$@" 2>/dev/null)" = 200 ]; then return 0; fi
    sleep 0.3
  done
  fail "$what was not answered"
}

ordinary_request() {
  local number=$((++ORDINARY_REQUESTS))
  expect_answered "an ordinary request" status_of "$1" "ordinary-$number-$RANDOM" /issue/x -m 3 -d x
}
ORDINARY_REQUESTS=0
page_of() { curl -s -m 3 -o /dev/null -w '%{http_code}' "$1"; }
GATEWAY_MEGABYTES=112 # of the smallest machine of a gateway
RANK_MEGABYTES=128    # of the smallest machine of a rank's agent
