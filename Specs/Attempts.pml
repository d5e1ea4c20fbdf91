// The attempts of a gateway for one request: when it may send the request to a
// second target, and when it may answer "not run". A target may reject the
// request, run it and answer, run it and lose the answer, or run it long after
// the gateway timed out. The guards are in
// Services/bramleyspand/Gateway/Forwarding.cc and ForwardingAnswers.cc.
//
// Each variant removes a guard:
// variant RETRY_AFTER_CLOSE
// variant REFUSE_WHEN_OUT_OF_TIME
// variant FORGET_FIRST_TARGET

#define TARGETS 3
#define MAX_SENT 2

mtype = { kIdle, kInTransit, kDone };
mtype = { kNone, kNotConnected, kRejected, kClosed, kAnswered };
mtype = { kPending, kForwarded, kRefused, kUnknown };

// State of the request at each target, and its result as the gateway knows it.
mtype delivery[TARGETS] = kIdle;
mtype result[TARGETS] = kNone;

bool is_repeatable;
byte runs = 0;
mtype outcome = kPending;

// A target rejects the request that reached it, or runs it and answers or loses
// the answer. It may also process the request only after the gateway has seen
// the connection close.
proctype Target(byte self) {
  delivery[self] == kInTransit;
  if
  :: atomic {
       delivery[self] = kDone;
       if
       :: result[self] == kNone -> result[self] = kRejected
       :: else
       fi
     }
  :: atomic {
       runs++;
       delivery[self] = kDone;
       if
       :: result[self] == kNone -> result[self] = kAnswered
       :: result[self] == kNone -> result[self] = kClosed
       :: else
       fi
     }
  :: atomic {
       result[self] == kNone -> result[self] = kClosed;
       if
       :: runs++
       :: skip
       fi;
       delivery[self] = kDone
     }
  fi
}

proctype Gateway() {
  byte target = 0;
  byte sent = 0;
  bool may_have_run = false;
  do
  :: target < TARGETS && sent < MAX_SENT ->
    if
    // The connection was never established.
    :: result[target] = kNotConnected
    :: atomic {
         sent++;
         may_have_run = true;
         delivery[target] = kInTransit
       };
       if
       :: result[target] != kNone
       // Timeout: the gateway receives nothing more from this target.
       :: atomic { result[target] == kNone -> result[target] = kClosed }
       fi
    fi;
    if
    :: result[target] == kAnswered -> outcome = kForwarded; break
    :: result[target] == kNotConnected -> target++
    :: result[target] == kRejected ->
       atomic {
         sent--;
#ifdef FORGET_FIRST_TARGET
         may_have_run = false;
#else
         may_have_run = (sent > 0);
#endif
         target++
       }
    :: result[target] == kClosed ->
       if
#ifdef RETRY_AFTER_CLOSE
       :: true -> target++
#else
       :: is_repeatable -> target++
       :: !is_repeatable -> break
#endif
       fi
    fi
  // The limit of attempts, the deadline or the last target is reached.
  :: target > 0 -> break
  od;
  if
  :: outcome == kForwarded
#ifdef REFUSE_WHEN_OUT_OF_TIME
  :: outcome == kPending -> outcome = kRefused
#else
  :: outcome == kPending && may_have_run -> outcome = kUnknown
  :: outcome == kPending && !may_have_run -> outcome = kRefused
#endif
  fi
}

// A request that may not be repeated runs at most once, a refused one never.
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
