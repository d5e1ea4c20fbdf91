# For process tests with StandInCutServer; sourced after Prelude.sh.

# The answers with an odd head that are tried where each takes a while: each
# shape once, and each needed line with a blank before its colon. The unit tests
# try all of them.
ODD_FORMS='[^.]*|.*\.last\.11\.length\.together|.*-colon-of-.*\.11\..*\.together'
odd_names() { "$BIN/StandInCutServer" --list --forms="$ODD_FORMS" "$@"; }

# spawn_odd NAME ADDRESS FLAGS...: starts a server that sends these, one a
# request, and then sound answers; $LOGS/NAME.log has a line for each request.
spawn_odd() {
  local name=$1 address=$2
  shift 2
  spawn "$name" "$BIN/StandInCutServer" --address="$address" --forms="$ODD_FORMS" --in_turn "$@"
}
# has_sent_odd NAME: whether this server has sent all odd heads, or all but one.
has_sent_odd() { [ "$(grep -c . "$LOGS/$1.log")" -ge $(($(odd_names | wc -l) - 1)) ]; }
has_sent_sound() { grep -q '^sound' "$LOGS/$1.log"; }
