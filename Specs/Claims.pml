// At-most-once calls (Libraries/LibClaims, Libraries/LibCalls/AgentCalls).
//
// Two claim keys of agent incarnation 1. Callers show them again and again by
// any entry; a message may be lost, late or double, so that what is on the way
// to the agents is a count for each key. The agent of incarnation 1 may be
// killed, or frozen and woken, at any step; an agent of incarnation 2 serves
// beside it from any moment on. The back end runs what it was sent whenever it
// likes, also after the agent has given it up or died.
//
// Properties, as assertions: a key runs at most once; "not run" is said only of
// a key that has not run and never will; an answer is the key's own.
//
// Each guard can be taken out; each of these must yield a counterexample:
// variant NO_BURN              "not run" is said and the key stays usable
// variant NO_INCARNATION_CHECK a restarted agent takes its predecessor's keys
// variant NO_EPOCH_CHECK       a forgotten key counts as never seen
// variant FORWARD_AGAIN        a duplicate of a running key is forwarded
// variant RETRY_BROKEN         the agent forwards again after a broken exchange
// variant BROKEN_IS_NOT_RUN    a broken exchange counts as never sent
// variant ENTRY_GUESSES        an entry that finds no agent says "not run"
// variant MATCH_BY_ORDER       an answer goes to the oldest open exchange
// variant SEAL_BEFORE_LEAVING  an agent seals its keys and still takes new ones
// variant SEAL_WITHOUT_EPOCH   a seal says nothing of keys that are forgotten
// variant SEAL_ONLY_DONE       a seal names only the keys that are known to be done
//
// An agent that is leaving refuses every new key; once nothing is running it
// seals its keys (LibClaims/ClosingRecord), and entries answer for it ever after.

#define KEYS 2
#define FORWARDS 3
#define SHOWS 3
#define OWNER 1

mtype = { kNone, kRunning, kDone, kRefused, kUnknown };
mtype = { kUnsent, kSent, kRan };

byte shown[KEYS];
byte on_the_way[KEYS];
byte runs[KEYS];
bool is_told_not_run[KEYS];

byte forwards;
mtype phase[FORWARDS];
byte key_of[FORWARDS];
byte agent_of[FORWARDS];
bool is_open[FORWARDS];

// Variables of the two agents, by incarnation - 1.
mtype record[4];
byte answer[4];
bool is_forgotten[2];
bool is_alive[2];
bool is_leaving[2];
bool is_sealed;
bool may_have_run[KEYS];

#define RECORD(a, k) record[(a) * KEYS + (k)]
#define ANSWER(a, k) answer[(a) * KEYS + (k)]

inline TellNotRun(k) {
  assert(runs[k] == 0);
  is_told_not_run[k] = true
}

inline Forward(a, k) {
  if
  :: forwards < FORWARDS ->
     phase[forwards] = kUnsent;
     key_of[forwards] = k;
     agent_of[forwards] = a;
     is_open[forwards] = true;
     forwards++;
     RECORD(a, k) = kRunning
  :: else
  fi
}

// AdmitClaim and what ReceiveCall makes of its decision.
inline ReceiveCall(a, k) {
  if
#ifndef NO_INCARNATION_CHECK
  :: a + 1 != OWNER -> skip /* kIsUnknown */
  :: else ->
#else
  :: true ->
#endif
     if
     :: RECORD(a, k) == kNone ->
        if
#ifndef NO_EPOCH_CHECK
        :: is_forgotten[a] -> skip /* kIsUnknown */
        :: else ->
#else
        :: true ->
#endif
           if
           :: is_leaving[a] -> RECORD(a, k) = kRefused; TellNotRun(k)
           :: else -> Forward(a, k)
           fi
        fi
     :: RECORD(a, k) == kRunning ->
#ifdef FORWARD_AGAIN
        Forward(a, k)
#else
        skip /* Attach */
#endif
     :: RECORD(a, k) == kDone -> assert(ANSWER(a, k) == k)
     :: RECORD(a, k) == kRefused -> TellNotRun(k)
     :: RECORD(a, k) == kUnknown -> skip
     fi
  fi
}

inline ReceiveEndNeverSent(a, f) {
#ifdef NO_BURN
  RECORD(a, key_of[f]) = kNone;
#else
  RECORD(a, key_of[f]) = kRefused;
#endif
  TellNotRun(key_of[f]);
  is_open[f] = false
}

inline ReceiveEndBroken(a, f) {
#ifdef BROKEN_IS_NOT_RUN
  RECORD(a, key_of[f]) = kRefused;
  TellNotRun(key_of[f]);
  is_open[f] = false
#else
#ifdef RETRY_BROKEN
  is_open[f] = false;
  Forward(a, key_of[f])
#else
  RECORD(a, key_of[f]) = kUnknown;
  is_open[f] = false
#endif
#endif
}

inline ReceiveEndComplete(a, f) {
  g = f;
#ifdef MATCH_BY_ORDER
  g = 0;
  do
  :: g < f && !(is_open[g] && agent_of[g] == a) -> g++
  :: else -> break
  od;
#endif
  RECORD(a, key_of[g]) = kDone;
  ANSWER(a, key_of[g]) = key_of[f];
  assert(ANSWER(a, key_of[g]) == key_of[g]);
  is_open[g] = false;
  g = 0
}

proctype Agent(byte a) {
  byte k;
  byte f;
  byte g;
  do
  :: atomic { is_alive[a] ->
       select(k : 0 .. KEYS - 1);
       if
       :: on_the_way[k] > 0 -> on_the_way[k]--; ReceiveCall(a, k)
       :: else
       fi;
       k = 0 }
  :: atomic { is_alive[a] && forwards > 0 ->
       select(f : 0 .. FORWARDS - 1);
       if
       :: f < forwards && is_open[f] && agent_of[f] == a ->
          if
          :: phase[f] == kUnsent -> phase[f] = kSent
          :: phase[f] == kUnsent -> ReceiveEndNeverSent(a, f)
          :: phase[f] != kUnsent -> ReceiveEndBroken(a, f)
          :: phase[f] == kRan -> ReceiveEndComplete(a, f)
          fi
       :: else
       fi;
       f = 0 }
  :: atomic { is_alive[a] && !is_forgotten[a] ->
       // RemoveExpiredEpochs keeps the keys that are running.
       is_forgotten[a] = true;
       k = 0;
       do
       :: k < KEYS ->
          if
          :: RECORD(a, k) != kRunning -> RECORD(a, k) = kNone; ANSWER(a, k) = 0
          :: else
          fi;
          k++
       :: else -> break
       od;
       k = 0 }
  :: atomic { is_alive[a] && !is_leaving[a] -> is_leaving[a] = true }
  :: atomic { is_alive[a] && a + 1 == OWNER && !is_sealed &&
#ifndef SEAL_BEFORE_LEAVING
       is_leaving[a] &&
#endif
       RECORD(a, 0) != kRunning && RECORD(a, 1) != kRunning ->
       // MakeClosingRecord.
       is_sealed = true;
       k = 0;
       do
       :: k < KEYS ->
#ifdef SEAL_ONLY_DONE
          may_have_run[k] = RECORD(a, k) == kDone || is_forgotten[a];
#else
#ifdef SEAL_WITHOUT_EPOCH
          may_have_run[k] = RECORD(a, k) != kNone && RECORD(a, k) != kRefused;
#else
          may_have_run[k] = is_forgotten[a] || RECORD(a, k) == kDone ||
                            RECORD(a, k) == kUnknown;
#endif
#endif
          k++
       :: else -> break
       od;
       k = 0 }
  :: atomic { !is_alive[a] -> break }
  od
}

proctype BackEnd() {
  byte f;
  do
  :: atomic { forwards > 0 ->
       select(f : 0 .. FORWARDS - 1);
       if
       :: f < forwards && phase[f] == kSent ->
          phase[f] = kRan;
          runs[key_of[f]]++;
          assert(runs[key_of[f]] <= 1);
          assert(!is_told_not_run[key_of[f]])
       :: else
       fi;
       f = 0 }
  od
}

proctype Network() {
  byte k;
  do
  :: atomic { select(k : 0 .. KEYS - 1);
       if
       :: shown[k] < SHOWS -> shown[k]++; on_the_way[k]++
       :: on_the_way[k] > 0 -> on_the_way[k]--
       // DecideByClosingRecord.
       :: is_sealed && !may_have_run[k] -> TellNotRun(k)
#ifdef ENTRY_GUESSES
       :: shown[k] < SHOWS -> shown[k]++; TellNotRun(k)
#endif
       :: else
       fi;
       k = 0 }
  od
}

init {
  atomic {
    byte i;
    for (i : 0 .. 3) {
      record[i] = kNone
    }
    is_alive[0] = true;
    is_alive[1] = true;
    run Agent(0);
    run Agent(1);
    run BackEnd();
    run Network()
  }
  // Incarnation 1 is killed at any moment or never.
  is_alive[0] = false
}
