// At-most-once calls (Libraries/LibClaims, Libraries/LibCalls/AgentCalls).
//
// Two claim keys of agent incarnation 1. Callers present them repeatedly, each
// time through any entry. A message may be lost, delayed or duplicated, so the
// messages in transit to the agents are a count for each key. The agent of
// incarnation 1 may be killed, or frozen and woken, at any step; an agent of
// incarnation 2 serves beside it from any moment on. The back end runs a
// forwarded call at any later time, also after the agent gave it up or died.
//
// Properties, as assertions: a key runs at most once; "not run" is answered
// only for a key that has not run and never will; a key gets only its own
// answer.
//
// Each variant removes a guard and must yield a counterexample:
// variant NO_BURN              "not run" is answered and the key stays usable
// variant NO_INCARNATION_CHECK a restarted agent accepts its predecessor's keys
// variant NO_EPOCH_CHECK       a key of an expired epoch counts as never seen
// variant FORWARD_AGAIN        a duplicate of a running key is forwarded
// variant RETRY_BROKEN         the agent forwards again after a broken exchange
// variant BROKEN_IS_NOT_RUN    a broken exchange counts as never sent
// variant ENTRY_GUESSES        an entry that finds no agent answers "not run"
// variant MATCH_BY_ORDER       an answer goes to the oldest open exchange
// variant SEAL_BEFORE_LEAVING  an agent makes its closing record and still accepts new keys
// variant SEAL_WITHOUT_EPOCH   a closing record omits keys of expired epochs
// variant SEAL_ONLY_DONE       a closing record names only keys that are known to be done
//
// An agent that is leaving refuses every new key. Once nothing is running, it
// makes its closing record (LibClaims/ClosingRecord), from which entries answer
// for its keys from then on.

#define KEYS 2
#define FORWARDS 3
#define MAX_PRESENTED 3
#define OWNER 1

mtype = { kNone, kRunning, kDone, kRefused, kUnknown };
mtype = { kUnsent, kSent, kRan };

byte times_presented[KEYS];
byte in_transit[KEYS];
byte runs[KEYS];
bool was_answered_not_run[KEYS];

byte forwards;
mtype phase[FORWARDS];
byte key_of[FORWARDS];
byte agent_of[FORWARDS];
bool is_open[FORWARDS];

// Variables of the two agents, by incarnation - 1.
mtype record[4];
byte answer[4];
bool has_expired[2];
bool is_alive[2];
bool is_leaving[2];
bool has_closing_record;
bool may_have_run[KEYS];

#define RECORD(a, k) record[(a) * KEYS + (k)]
#define ANSWER(a, k) answer[(a) * KEYS + (k)]

inline AnswerNotRun(k) {
  assert(runs[k] == 0);
  was_answered_not_run[k] = true
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

// AdmitClaim, and how ReceiveCall handles its decision.
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
        :: has_expired[a] -> skip /* kIsUnknown */
        :: else ->
#else
        :: true ->
#endif
           if
           :: is_leaving[a] -> RECORD(a, k) = kRefused; AnswerNotRun(k)
           :: else -> Forward(a, k)
           fi
        fi
     :: RECORD(a, k) == kRunning ->
#ifdef FORWARD_AGAIN
        Forward(a, k)
#else
        skip /* AddWaiter */
#endif
     :: RECORD(a, k) == kDone -> assert(ANSWER(a, k) == k)
     :: RECORD(a, k) == kRefused -> AnswerNotRun(k)
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
  AnswerNotRun(key_of[f]);
  is_open[f] = false
}

inline ReceiveEndBroken(a, f) {
#ifdef BROKEN_IS_NOT_RUN
  RECORD(a, key_of[f]) = kRefused;
  AnswerNotRun(key_of[f]);
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
       :: in_transit[k] > 0 -> in_transit[k]--; ReceiveCall(a, k)
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
  :: atomic { is_alive[a] && !has_expired[a] ->
       // RemoveExpiredEpochs keeps the keys that are running.
       has_expired[a] = true;
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
  :: atomic { is_alive[a] && a + 1 == OWNER && !has_closing_record &&
#ifndef SEAL_BEFORE_LEAVING
       is_leaving[a] &&
#endif
       RECORD(a, 0) != kRunning && RECORD(a, 1) != kRunning ->
       // MakeClosingRecord.
       has_closing_record = true;
       k = 0;
       do
       :: k < KEYS ->
#ifdef SEAL_ONLY_DONE
          may_have_run[k] = RECORD(a, k) == kDone || has_expired[a];
#else
#ifdef SEAL_WITHOUT_EPOCH
          may_have_run[k] = RECORD(a, k) != kNone && RECORD(a, k) != kRefused;
#else
          may_have_run[k] = has_expired[a] || RECORD(a, k) == kDone ||
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
          assert(!was_answered_not_run[key_of[f]])
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
       :: times_presented[k] < MAX_PRESENTED -> times_presented[k]++; in_transit[k]++
       :: in_transit[k] > 0 -> in_transit[k]--
       // DecideByClosingRecord.
       :: has_closing_record && !may_have_run[k] -> AnswerNotRun(k)
#ifdef ENTRY_GUESSES
       :: times_presented[k] < MAX_PRESENTED -> times_presented[k]++; AnswerNotRun(k)
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
