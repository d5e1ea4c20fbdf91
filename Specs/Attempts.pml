// What a gateway makes of one request that it sends to targets: when it may
// send it to a second one, and when it may say "not run". A target may turn the
// request away, run it and answer, run it and lose the answer, or run it long
// after the gateway gave up. Guards: Services/bramleyspand/Gateway/
// Forwarding.cc and ForwardingAnswers.cc.
//
// Each variant takes a guard out:
// variant RETRY_AFTER_CLOSE
// variant REFUSE_WHEN_OUT_OF_TIME
// variant FORGET_FIRST_TARGET

#define TARGETS 3
#define MOST_SENT 2

mtype = { kIdle, kOnItsWay, kDone };
mtype = { kNone, kUnreached, kRejected, kClosed, kAnswered };
mtype = { kPending, kPassedOn, kRefused, kUnknown };

// The request at each target, and what the gateway hears of it.
mtype travel[TARGETS] = kIdle;
mtype heard[TARGETS] = kNone;

bool is_repeatable;
byte runs = 0;
mtype outcome = kPending;

// A target runs a request that reached it, turns it away, or loses its answer.
// It may also come to it only after the gateway heard of a closed connection.
proctype Target(byte self) {
  travel[self] == kOnItsWay;
  if
  :: atomic {
       travel[self] = kDone;
       if
       :: heard[self] == kNone -> heard[self] = kRejected
       :: else
       fi
     }
  :: atomic {
       runs++;
       travel[self] = kDone;
       if
       :: heard[self] == kNone -> heard[self] = kAnswered
       :: heard[self] == kNone -> heard[self] = kClosed
       :: else
       fi
     }
  :: atomic {
       heard[self] == kNone -> heard[self] = kClosed;
       if
       :: runs++
       :: skip
       fi;
       travel[self] = kDone
     }
  fi
}

proctype Gateway() {
  byte target = 0;
  byte sent = 0;
  bool may_have_run = false;
  do
  :: target < TARGETS && sent < MOST_SENT ->
    if
    // The connection was never established.
    :: heard[target] = kUnreached
    :: atomic {
         sent++;
         may_have_run = true;
         travel[target] = kOnItsWay
       };
       if
       :: heard[target] != kNone
       // Time runs out: nothing more is heard of it.
       :: atomic { heard[target] == kNone -> heard[target] = kClosed }
       fi
    fi;
    if
    :: heard[target] == kAnswered -> outcome = kPassedOn; break
    :: heard[target] == kUnreached -> target++
    :: heard[target] == kRejected ->
       atomic {
         sent--;
#ifdef FORGET_FIRST_TARGET
         may_have_run = false;
#else
         may_have_run = (sent > 0);
#endif
         target++
       }
    :: heard[target] == kClosed ->
       if
#ifdef RETRY_AFTER_CLOSE
       :: true -> target++
#else
       :: is_repeatable -> target++
       :: !is_repeatable -> break
#endif
       fi
    fi
  // The route's bound, the time or the targets are at an end.
  :: target > 0 -> break
  od;
  if
  :: outcome == kPassedOn
#ifdef REFUSE_WHEN_OUT_OF_TIME
  :: outcome == kPending -> outcome = kRefused
#else
  :: outcome == kPending && may_have_run -> outcome = kUnknown
  :: outcome == kPending && !may_have_run -> outcome = kRefused
#endif
  fi
}

// What may not be repeated runs at most once, and what was refused never runs.
proctype Monitor() {
  do
  :: assert(is_repeatable || runs <= 1);
     assert(outcome != kRefused || runs == 0)
  od
}

init {
  atomic {
    if
    :: is_repeatable = true
    :: is_repeatable = false
    fi;
    byte target;
    for (target : 0 .. TARGETS - 1) {
      run Target(target)
    }
    run Gateway();
    run Monitor()
  }
}
