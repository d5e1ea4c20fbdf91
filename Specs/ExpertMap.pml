// The switch of a rank group from one expert map to the next. Names are those
// of Libraries/LibExpertMap. Two ranks; rank 0's agent is also the map owner.
//
// Modelled: orders between owner and ranks that are lost, delayed and received
// twice; owner and rank agents that are killed and restarted at any point;
// an order to an engine that arrives long after the agent that sent it died,
// and before or after the next agent reads the engine's state; engines that
// ignore fencing numbers. Weights load at once, since only their order matters.
//
// variant GRANT_WITHOUT_SWITCH a rank that has not switched runs past from_step
// variant FROM_STEP_WITHIN_WINDOW a delayed grant may reach from_step
// variant NO_DECISION_LOG a new owner knows only the state that it reads from engines
// variant DECIDE_BEFORE_RUNNING a switch is decided before the previous one's step has begun
// variant TWO_OWNERS a new owner starts while the old one is still running
// variant SWITCH_BEFORE_LOADED an engine is ordered to use weights that it has not loaded
// options -DVECTORSZ=2048

#define RANKS 2
#define WINDOW 1
#define LAST_STEP 3
#ifdef DECIDE_BEFORE_RUNNING
#define LAST_VERSION 3
#else
#define LAST_VERSION 2
#endif
#define LAST_INCARNATION 2
#define MAX_RESTARTS 1
#ifdef TWO_OWNERS
#define OWNERS 2
#else
#define OWNERS 1
#endif

// Orders on the wire to an engine: its agent's own, and a dead agent's.
#define WIRE 2
#define OWN_AGENT 0
#define DEAD_AGENT 1
#define NO_ORDER 0
#define SET_MAP 1
#define GRANT 2

typedef Engine {
  byte step;           // the last step begun
  byte granted_until;
  byte version;        // the newest map scheduled,
  byte from_step;      // and the step from which it holds
  byte before;         // the map before it
  byte loaded;         // the newest version whose weights are held
  byte order[WIRE];
  byte order_version[WIRE];
  byte order_step[WIRE]
};

typedef MapOrder {     // the owner's whole desired state, in every message
  byte incarnation;
  byte version;
  byte from_step;
  byte next;
  byte granted_until
};

typedef MapReport {    // the owner's last report of a rank, however old
  bool is_received;
  byte step;
  byte version;
  byte loaded
};

typedef MapRank {
  byte fence           // the highest owner incarnation received
};

typedef MapOwner {
  bool is_running;
  byte incarnation;
  byte version;
  byte from_step;
  byte next;
  byte granted_until;
  MapReport reports[RANKS]
};

Engine engine[RANKS];
MapRank rank[RANKS];
MapOwner owner[OWNERS];
MapOrder order;   // the newest one in transit to rank 1
MapOrder late;    // the last one of a dead owner

// The record in the key-value service, changed by compare-and-swap only.
byte log_incarnation = 1;
byte log_version = 1;
byte log_from_step = 0;

byte last_version = 1;
byte restarts = 0;
byte ran[LAST_STEP + 1];   // the map of the first rank that began a step

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#define STEP_OF(o) MAX(owner[o].reports[0].step, owner[o].reports[1].step)
#define HAS_ALL_REPORTS(o) (owner[o].reports[0].is_received && owner[o].reports[1].is_received)
#define ACKNOWLEDGED(o) (HAS_ALL_REPORTS(o) && owner[o].reports[0].version == owner[o].version && owner[o].reports[1].version == owner[o].version)

inline ClearReports(o) {
  owner[o].reports[0].is_received = false;
  owner[o].reports[0].step = 0;
  owner[o].reports[0].version = 0;
  owner[o].reports[0].loaded = 0;
  owner[o].reports[1].is_received = false;
  owner[o].reports[1].step = 0;
  owner[o].reports[1].version = 0;
  owner[o].reports[1].loaded = 0
}

// A new owner starts: one compare-and-swap sets its incarnation and returns the
// last decision.
inline StartOwner(o) {
  log_incarnation++;
  owner[o].is_running = true;
  owner[o].incarnation = log_incarnation;
  owner[o].next = 0;
  owner[o].granted_until = 0;
  ClearReports(o);
#ifdef NO_DECISION_LOG
  owner[o].version = MAX(engine[0].version, engine[1].version);
  owner[o].from_step = (engine[0].version > engine[1].version ->
                        engine[0].from_step : engine[1].from_step)
#else
  owner[o].version = log_version;
  owner[o].from_step = log_from_step
#endif
}

// All ranks have loaded the next weights. The decision is logged before any
// rank can receive it.
inline Decide(o) {
  owner[o].version = owner[o].next;
#ifdef FROM_STEP_WITHIN_WINDOW
  owner[o].from_step = STEP_OF(o) + 1;
#else
  owner[o].from_step = STEP_OF(o) + WINDOW + 1;
#endif
  owner[o].next = 0;
  log_version = owner[o].version;
  log_from_step = owner[o].from_step
}

// Steps past from_step need every acknowledgement; besides, FollowOrder sends a
// grant only to an engine that has switched. Either guard is enough alone, so
// the variant removes both.
#ifdef GRANT_WITHOUT_SWITCH
#define MAY_GRANT(o) HAS_ALL_REPORTS(o)
#else
#define MAY_GRANT(o) ACKNOWLEDGED(o)
#endif

inline SendOrder(o) {
  order.incarnation = owner[o].incarnation;
  order.version = owner[o].version;
  order.from_step = owner[o].from_step;
  order.next = owner[o].next;
  order.granted_until = owner[o].granted_until
}

// An order of a dead owner may still be in transit to rank 1.
inline SaveLateOrder() {
  late.incarnation = order.incarnation;
  late.version = order.version;
  late.from_step = order.from_step;
  late.next = order.next;
  late.granted_until = order.granted_until;
  order.incarnation = 0;
  order.version = 0;
  order.from_step = 0;
  order.next = 0;
  order.granted_until = 0
}

#define IS_SENT(o) (order.incarnation == owner[o].incarnation && order.version == owner[o].version && order.next == owner[o].next && order.granted_until == owner[o].granted_until)

// An agent waits for the answer to one order before it sends the next.
#define IS_IDLE(r) (engine[r].order[OWN_AGENT] == NO_ORDER)

#define MAY_FOLLOW(r, wanted) (wanted.incarnation > 0 && wanted.incarnation >= rank[r].fence && IS_IDLE(r))

inline SendToEngine(r, kind, what, at) {
  engine[r].order[OWN_AGENT] = kind;
  engine[r].order_version[OWN_AGENT] = what;
  engine[r].order_step[OWN_AGENT] = at
}

// The rank sends its engine the next order towards the owner's desired state.
inline FollowOrder(r, wanted) {
  rank[r].fence = wanted.incarnation;
  if
#ifdef GRANT_WITHOUT_SWITCH
  :: wanted.granted_until > engine[r].granted_until ->
     SendToEngine(r, GRANT, 0, wanted.granted_until)
#endif
  :: wanted.next > engine[r].loaded -> engine[r].loaded = wanted.next
  :: wanted.version > engine[r].version ->
     SendToEngine(r, SET_MAP, wanted.version, wanted.from_step)
  :: wanted.granted_until > engine[r].granted_until &&
     wanted.version == engine[r].version ->
     SendToEngine(r, GRANT, 0, wanted.granted_until)
  :: else
  fi
}

#define IS_REPORTED(o, r) (owner[o].reports[r].is_received && owner[o].reports[r].step == engine[r].step && owner[o].reports[r].version == engine[r].version && owner[o].reports[r].loaded == engine[r].loaded)

// The rank reports its engine to the owner whose order it last followed.
inline SendReport(o, r) {
  owner[o].reports[r].is_received = true;
  owner[o].reports[r].step = engine[r].step;
  owner[o].reports[r].version = engine[r].version;
  owner[o].reports[r].loaded = engine[r].loaded
}

// The engine executes an order, whoever sent it and however late. Maps are
// keyed by their step, so a repeated order changes nothing.
inline DeliverOrder(r, i) {
  if
  :: engine[r].order[i] == GRANT ->
     engine[r].granted_until = MAX(engine[r].granted_until, engine[r].order_step[i])
  :: engine[r].order[i] == SET_MAP && engine[r].order_step[i] > engine[r].from_step &&
     engine[r].order_step[i] > engine[r].step ->
#ifndef SWITCH_BEFORE_LOADED
     assert(engine[r].loaded >= engine[r].order_version[i]);
#endif
     engine[r].before = engine[r].version;
     engine[r].version = engine[r].order_version[i];
     engine[r].from_step = engine[r].order_step[i]
  :: else
  fi;
  engine[r].order[i] = NO_ORDER;
  engine[r].order_version[i] = 0;
  engine[r].order_step[i] = 0
}

// A rank begins a step; the step ends when all ranks have begun it.
inline BeginStep(r) {
  engine[r].step++;
  map = (engine[r].step >= engine[r].from_step -> engine[r].version : engine[r].before);
  assert(engine[r].loaded >= map);
  assert(ran[engine[r].step] == 0 || ran[engine[r].step] == map);
  ran[engine[r].step] = map
}

inline RestartRank(r) {
  rank[r].fence = 0;
  if
  :: engine[r].order[OWN_AGENT] != NO_ORDER ->
     engine[r].order[DEAD_AGENT] = engine[r].order[OWN_AGENT];
     engine[r].order_version[DEAD_AGENT] = engine[r].order_version[OWN_AGENT];
     engine[r].order_step[DEAD_AGENT] = engine[r].order_step[OWN_AGENT];
     engine[r].order[OWN_AGENT] = NO_ORDER;
     engine[r].order_version[OWN_AGENT] = 0;
     engine[r].order_step[OWN_AGENT] = 0
  :: else
  fi
}

active proctype Group() {
  byte map, r, o, i;
  d_step {
    r = 0;
    do
    :: r < RANKS ->
       engine[r].version = 1;
       engine[r].from_step = 0;
       engine[r].loaded = 1;
       r++
    :: else -> break
    od;
    owner[0].is_running = true;
    owner[0].incarnation = 1;
    owner[0].version = 1;
    owner[0].from_step = 0;
    r = 0
  }
  do
  // Kills. Rank 0's agent and the owner are one process.
  :: d_step { log_incarnation < LAST_INCARNATION ->
     SaveLateOrder(); RestartRank(0); StartOwner(0) }
#ifdef TWO_OWNERS
  :: d_step { log_incarnation < LAST_INCARNATION && !owner[1].is_running ->
     SaveLateOrder(); RestartRank(0); StartOwner(1) }
#endif
  :: d_step { restarts < MAX_RESTARTS -> restarts++; RestartRank(1) }
  :: atomic { select(o : 0 .. OWNERS - 1); select(r : 0 .. 1);
     if
     // ProposeMap
     :: owner[o].is_running && ACKNOWLEDGED(o) && owner[o].next == 0 && last_version < LAST_VERSION ->
        d_step { last_version++; owner[o].next = last_version }
     // The compare-and-swap of the log fails for an owner that was replaced.
     :: owner[o].is_running && ACKNOWLEDGED(o) && owner[o].next > 0 &&
        log_incarnation == owner[o].incarnation &&
#ifndef SWITCH_BEFORE_LOADED
        owner[o].reports[0].loaded >= owner[o].next &&
        owner[o].reports[1].loaded >= owner[o].next &&
#endif
#ifndef DECIDE_BEFORE_RUNNING
        owner[o].reports[0].step >= owner[o].from_step &&
        owner[o].reports[1].step >= owner[o].from_step &&
#endif
        STEP_OF(o) + WINDOW + 1 <= LAST_STEP -> d_step { Decide(o) }
     // Rank 0 and the owner are one process, so its orders are not delayed.
     :: r == 0 && owner[o].is_running && IS_IDLE(0) ->
        d_step { FollowOrder(0, owner[o]) }
     :: r == 1 && owner[o].is_running && !IS_SENT(o) -> d_step { SendOrder(o) }
     :: owner[o].is_running && !IS_REPORTED(o, r) &&
        (r == 0 || rank[r].fence == owner[o].incarnation) ->
        d_step {
          SendReport(o, r);
          if
          :: MAY_GRANT(o) -> owner[o].granted_until = STEP_OF(o) + WINDOW
          :: else
          fi
        }
     :: else
     fi; o = 0; r = 0 }
  :: atomic { select(r : 0 .. 1); select(i : 0 .. 1);
     if
     :: r == 1 && MAY_FOLLOW(r, order) -> d_step { FollowOrder(r, order) }
     :: r == 1 && MAY_FOLLOW(r, late) -> d_step { FollowOrder(r, late) }
     :: engine[r].order[i] != NO_ORDER -> DeliverOrder(r, i)
     :: engine[r].step < LAST_STEP && engine[r].step < engine[r].granted_until &&
        engine[1 - r].step >= engine[r].step -> BeginStep(r)
     :: else
     fi; r = 0; i = 0; map = 0 }
  od
}
