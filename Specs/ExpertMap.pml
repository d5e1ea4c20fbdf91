// The switch of a rank group from one expert map to the next. Names are those
// of Libraries/LibExpertMap. Two ranks; rank 0's agent is the map owner too.
//
// Modelled: orders between owner and ranks that are lost, delayed and seen
// twice; owner and rank agents that are killed and start again at any point;
// an order to an engine that arrives long after the agent that sent it died,
// and before or after its successor reads the engine back; engines that ignore
// fencing numbers. Weights load at once, since only their order matters.
//
// variant GRANT_WITHOUT_SWITCH a rank that has not switched runs past from_step
// variant FROM_STEP_WITHIN_WINDOW a late grant may reach from_step
// variant NO_DECISION_LOG a new owner knows only what it reads back
// variant DECIDE_BEFORE_RUNNING a switch is decided while the last one is still to come
// variant TWO_OWNERS a new owner starts while the old one lives
// variant SWITCH_BEFORE_LOADED an engine is told to use what it does not hold
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
#define MOST_RESTARTS 1
#ifdef TWO_OWNERS
#define OWNERS 2
#else
#define OWNERS 1
#endif

// Orders on the wire to an engine: its agent's own, and a dead agent's.
#define WIRE 2
#define OWN 0
#define DEAD 1
#define NOTHING 0
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

typedef MapOrder {     // what the owner wants, whole, in every message
  byte incarnation;
  byte version;
  byte from_step;
  byte next;
  byte granted_until
};

typedef MapReport {    // what the owner last heard of a rank, however old
  bool is_heard;
  byte step;
  byte version;
  byte loaded
};

typedef MapRank {
  byte fence           // the highest incarnation heard
};

typedef MapOwner {
  bool is_running;
  byte incarnation;
  byte version;
  byte from_step;
  byte next;
  byte granted_until;
  MapReport heard[RANKS]
};

Engine engine[RANKS];
MapRank rank[RANKS];
MapOwner owner[OWNERS];
MapOrder order;   // the newest one under way to rank 1
MapOrder late;    // a dead owner's last one

// The record in the key-value service, changed by compare-and-swap only.
byte log_incarnation = 1;
byte log_version = 1;
byte log_from_step = 0;

byte last_version = 1;
byte restarts = 0;
byte ran[LAST_STEP + 1];   // the map of the first rank that began a step

#define MAX(a, b) ((a) > (b) -> (a) : (b))

#define STEP_OF(o) MAX(owner[o].heard[0].step, owner[o].heard[1].step)
#define HEARD_ALL(o) (owner[o].heard[0].is_heard && owner[o].heard[1].is_heard)
#define ACKNOWLEDGED(o) (HEARD_ALL(o) && owner[o].heard[0].version == owner[o].version && owner[o].heard[1].version == owner[o].version)

inline ForgetReports(o) {
  owner[o].heard[0].is_heard = false;
  owner[o].heard[0].step = 0;
  owner[o].heard[0].version = 0;
  owner[o].heard[0].loaded = 0;
  owner[o].heard[1].is_heard = false;
  owner[o].heard[1].step = 0;
  owner[o].heard[1].version = 0;
  owner[o].heard[1].loaded = 0
}

// A new owner: one compare-and-swap gives the incarnation and the decision.
inline StartOwner(o) {
  log_incarnation++;
  owner[o].is_running = true;
  owner[o].incarnation = log_incarnation;
  owner[o].next = 0;
  owner[o].granted_until = 0;
  ForgetReports(o);
#ifdef NO_DECISION_LOG
  owner[o].version = MAX(engine[0].version, engine[1].version);
  owner[o].from_step = (engine[0].version > engine[1].version ->
                        engine[0].from_step : engine[1].from_step)
#else
  owner[o].version = log_version;
  owner[o].from_step = log_from_step
#endif
}

// All ranks hold the next weights: the decision is logged before any rank can
// hear of it.
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

// Steps past from_step need every acknowledgement; besides, FollowOrder passes
// a grant only to an engine that has switched. Either guard is enough alone, so
// the variant takes out both.
#ifdef GRANT_WITHOUT_SWITCH
#define MAY_GRANT(o) HEARD_ALL(o)
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

// What a dead owner sent may still be under way to rank 1.
inline KeepLateOrder() {
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
#define IS_IDLE(r) (engine[r].order[OWN] == NOTHING)

#define MAY_FOLLOW(r, wanted) (wanted.incarnation > 0 && wanted.incarnation >= rank[r].fence && IS_IDLE(r))

inline PutOnWire(r, kind, what, at) {
  engine[r].order[OWN] = kind;
  engine[r].order_version[OWN] = what;
  engine[r].order_step[OWN] = at
}

// The rank brings its engine one order nearer to what the owner wants.
inline FollowOrder(r, wanted) {
  rank[r].fence = wanted.incarnation;
  if
#ifdef GRANT_WITHOUT_SWITCH
  :: wanted.granted_until > engine[r].granted_until ->
     PutOnWire(r, GRANT, 0, wanted.granted_until)
#endif
  :: wanted.next > engine[r].loaded -> engine[r].loaded = wanted.next
  :: wanted.version > engine[r].version ->
     PutOnWire(r, SET_MAP, wanted.version, wanted.from_step)
  :: wanted.granted_until > engine[r].granted_until &&
     wanted.version == engine[r].version ->
     PutOnWire(r, GRANT, 0, wanted.granted_until)
  :: else
  fi
}

#define IS_REPORTED(o, r) (owner[o].heard[r].is_heard && owner[o].heard[r].step == engine[r].step && owner[o].heard[r].version == engine[r].version && owner[o].heard[r].loaded == engine[r].loaded)

// The rank answers the owner that it last followed.
inline SendReport(o, r) {
  owner[o].heard[r].is_heard = true;
  owner[o].heard[r].step = engine[r].step;
  owner[o].heard[r].version = engine[r].version;
  owner[o].heard[r].loaded = engine[r].loaded
}

// The engine takes an order, whoever sent it and however late. Maps are filed
// by their step, so that a repeated order changes nothing.
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
  engine[r].order[i] = NOTHING;
  engine[r].order_version[i] = 0;
  engine[r].order_step[i] = 0
}

// A rank begins a step by itself; it ends when all ranks have begun it.
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
  :: engine[r].order[OWN] != NOTHING ->
     engine[r].order[DEAD] = engine[r].order[OWN];
     engine[r].order_version[DEAD] = engine[r].order_version[OWN];
     engine[r].order_step[DEAD] = engine[r].order_step[OWN];
     engine[r].order[OWN] = NOTHING;
     engine[r].order_version[OWN] = 0;
     engine[r].order_step[OWN] = 0
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
     KeepLateOrder(); RestartRank(0); StartOwner(0) }
#ifdef TWO_OWNERS
  :: d_step { log_incarnation < LAST_INCARNATION && !owner[1].is_running ->
     KeepLateOrder(); RestartRank(0); StartOwner(1) }
#endif
  :: d_step { restarts < MOST_RESTARTS -> restarts++; RestartRank(1) }
  :: atomic { select(o : 0 .. OWNERS - 1); select(r : 0 .. 1);
     if
     // ProposeMap
     :: owner[o].is_running && ACKNOWLEDGED(o) && owner[o].next == 0 && last_version < LAST_VERSION ->
        d_step { last_version++; owner[o].next = last_version }
     // The swap of the log fails for an owner that has a successor.
     :: owner[o].is_running && ACKNOWLEDGED(o) && owner[o].next > 0 &&
        log_incarnation == owner[o].incarnation &&
#ifndef SWITCH_BEFORE_LOADED
        owner[o].heard[0].loaded >= owner[o].next &&
        owner[o].heard[1].loaded >= owner[o].next &&
#endif
#ifndef DECIDE_BEFORE_RUNNING
        owner[o].heard[0].step >= owner[o].from_step &&
        owner[o].heard[1].step >= owner[o].from_step &&
#endif
        STEP_OF(o) + WINDOW + 1 <= LAST_STEP -> d_step { Decide(o) }
     // Rank 0 hears the owner of its own process without delay.
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
     :: engine[r].order[i] != NOTHING -> DeliverOrder(r, i)
     :: engine[r].step < LAST_STEP && engine[r].step < engine[r].granted_until &&
        engine[1 - r].step >= engine[r].step -> BeginStep(r)
     :: else
     fi; r = 0; i = 0; map = 0 }
  od
}
