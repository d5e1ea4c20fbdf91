// The switch of a group from one expert map to the next, where the ranks begin
// passes without permission of the owner. Names are those of
// Libraries/LibMapSwitch. Rank 0's agent is the owner; rank 1's agent is the
// standby owner.
//
// Modelled: orders that are executed at any later time; desired maps and
// reports that are arbitrarily old; an owner that is killed at any point and
// restarts without state; a standby owner that acts beside it, whether the
// owner is dead or running again, and cannot reach rank 0. Copies take no time,
// since only their order matters. A re-formed group refuses all earlier orders
// and is not modelled. Two restarts and a third version take more states than a
// check should; Tests/LibMapSwitch covers them with random seeds. That a held
// group goes on is no property here, but there ("A held group goes on").
//
// variant GO_BEFORE_ALL_ARMED the group is released while a rank is not armed
// variant ARM_BEFORE_HOLD ranks are armed for a pass that nothing holds
// variant GO_ANY_HELD a holder releases whatever pass it holds
// variant TRUST_UNTOLD a standby owner infers that rank 0 is armed without having received its arm step
// variant RESUME_TELLING a restarted owner sends the arm step before its own rank is armed
// variant TELL_BEFORE_OWN_ARM the owner sends the arm step before its own rank is armed
// variant ABORT_WITHOUT_RECORD the group is released before the owner's rank can't be armed any more
// variant STANDBY_ARMS_FIRST a standby owner arms other ranks before the owner's
// options -DVECTORSZ=1024 -DCOLLAPSE

#define RANKS 3
#define LAST_STEP 3
#define LAST_VERSION 2
#define DELAYED_ORDERS 1
#define MAX_RESTARTS 1
#define STANDBY 1

#define NO_ORDER 0
#define PREPARE 1
#define HOLD 2
#define ARM 3
#define GO 4

#define IDLE 0
#define PREPARING 1
#define HOLDING 2
#define ARMING_OWNER 3
#define ARMING 4
#define RELEASING 5
#define ABORTING 6
// The version that the owner's rank prepares to abort a switch.
#define ABORT_VERSION LAST_VERSION
// The version that a later owner's rank prepares to abort a switch of which its
// owner knows nothing; higher than any that was used.
#define ABORT_UNKNOWN_VERSION (LAST_VERSION + 1)
#define ABORT_VERSION_OF(map_switch) \
  (map_switch.is_unknown -> ABORT_UNKNOWN_VERSION : ABORT_VERSION)

#ifdef GO_ANY_HELD
#define MAY_GO(held_step, armed_for) true
#else
#define MAY_GO(held_step, armed_for) (held_step <= armed_for)
#endif
#ifdef ARM_BEFORE_HOLD
#define ARMS_FIRST true
#else
#define ARMS_FIRST false
#endif
#ifdef TRUST_UNTOLD
#define INFERS_WITHOUT_ARM_STEP true
#else
#define INFERS_WITHOUT_ARM_STEP false
#endif
#ifdef RESUME_TELLING
#define RESUMES_AT_ARMING true
#else
#define RESUMES_AT_ARMING false
#endif
#ifdef TELL_BEFORE_OWN_ARM
#define SENDS_BEFORE_OWN_ARM true
#else
#define SENDS_BEFORE_OWN_ARM false
#endif

#ifdef ABORT_WITHOUT_RECORD
#define ABORTS_AT_ONCE true
#else
#define ABORTS_AT_ONCE false
#endif
#ifdef STANDBY_ARMS_FIRST
#define STANDBY_RESUMES_AT_ARMING true
#else
#define STANDBY_RESUMES_AT_ARMING false
#endif

typedef RankStatus {
  byte map;
  byte newest;
  byte prepared;
  byte armed;
  byte armed_step;
  byte held
};

typedef DesiredMap {
  byte version;
  byte hold_step;
  byte holder;
  byte arm_step;
  bool is_released;
  bool is_aborted
};

typedef Order {
  byte kind;
  byte rank;
  byte version;
  byte step
};

typedef MapSwitch {
  byte phase;
  DesiredMap desired_map;
  RankStatus statuses[RANKS];
  bool has_status[RANKS];
  bool is_unknown;  // whether the switch to abort was found held
  byte received_step  // the last pass begun, as reported by rank 0
};

byte step = 0;            // the last pass begun
RankStatus ranks[RANKS];
DesiredMap desired_maps[RANKS];  // the last one that each agent received
Order delayed[DELAYED_ORDERS];
DesiredMap current;       // the one that an agent acts on in this step
MapSwitch owner;
MapSwitch standby;
byte restarts = 0;

inline Copy(to, from) {
  to.map = from.map;
  to.newest = from.newest;
  to.prepared = from.prepared;
  to.armed = from.armed;
  to.armed_step = from.armed_step;
  to.held = from.held
}

inline CopyDesiredMap(to, from) {
  to.version = from.version;
  to.hold_step = from.hold_step;
  to.holder = from.holder;
  to.arm_step = from.arm_step;
  to.is_released = from.is_released;
  to.is_aborted = from.is_aborted
}

// Values that have no meaning between two steps must not distinguish states.
inline ClearOrder() {
  rank = 0;
  kind = NO_ORDER;
  order_version = 0;
  order_step = 0;
  current.version = 0;
  current.hold_step = 0;
  current.holder = 0;
  current.arm_step = 0;
  current.is_released = false;
  current.is_aborted = false
}

// A server executes an order or refuses it.
inline Execute(the_kind, at_rank, the_version, the_step) {
  if
  :: the_kind == PREPARE && the_version > ranks[at_rank].newest &&
     ranks[at_rank].armed == 0 ->
       ranks[at_rank].newest = the_version;
       ranks[at_rank].prepared = the_version
  :: the_kind == HOLD && the_step > step && ranks[at_rank].held == 0 ->
       ranks[at_rank].held = the_step
  :: the_kind == ARM && ranks[at_rank].prepared == the_version &&
     the_version != 0 && the_step > step ->
       ranks[at_rank].armed = the_version;
       ranks[at_rank].armed_step = the_step
  :: the_kind == GO && ranks[at_rank].held == the_step && the_step != 0 ->
       ranks[at_rank].held = 0
  :: else -> skip
  fi
}

// Sends an order, which is executed now or at any later time.
inline Send(the_kind, at_rank, the_version, the_step) {
  if
  :: the_kind == NO_ORDER -> skip
  :: else ->
       if
       :: Execute(the_kind, at_rank, the_version, the_step)
       :: delayed[0].kind == NO_ORDER ->
            delayed[0].kind = the_kind;
            delayed[0].rank = at_rank;
            delayed[0].version = the_version;
            delayed[0].step = the_step
       fi
  fi
}

// NextOrder: the order that a rank's agent sends for the desired map `current`
// and its server's reported state.
inline NextOrder(at_rank) {
  kind = NO_ORDER;
  order_version = current.version;
  order_step = 0;
  if
  :: current.hold_step != 0 && current.holder == at_rank && current.is_aborted ->
       if
       :: ranks[at_rank].held != 0 && ranks[at_rank].held <= current.hold_step ->
            kind = GO;
            order_step = ranks[at_rank].held
       :: else -> skip
       fi
  :: current.hold_step != 0 && current.holder == at_rank && !current.is_aborted &&
     current.is_released &&
     ranks[at_rank].held != 0 && MAY_GO(ranks[at_rank].held, current.arm_step) ->
       kind = GO;
       order_step = ranks[at_rank].held
  :: current.hold_step != 0 && current.holder == at_rank && !current.is_aborted &&
     !current.is_released &&
     ranks[at_rank].held == 0 && current.arm_step == 0 &&
     ranks[at_rank].armed == 0 &&
     ranks[at_rank].prepared == current.version && step < current.hold_step ->
       kind = HOLD;
       order_step = current.hold_step
  :: else ->
       if
       :: current.version != 0 && ranks[at_rank].map < current.version &&
          current.arm_step != 0 && ranks[at_rank].prepared == current.version &&
          ranks[at_rank].armed == 0 ->
            kind = ARM;
            order_step = current.arm_step
       :: current.version != 0 && ranks[at_rank].map < current.version &&
          current.arm_step == 0 && ranks[at_rank].prepared < current.version &&
          ranks[at_rank].armed == 0 ->
            kind = PREPARE
       :: else -> skip
       fi
  fi
}

inline FindHolder(map_switch) {
  holder = RANKS;
  i = 0;
  do
  :: i == RANKS -> break
  :: else ->
       if
       :: map_switch.has_status[i] && map_switch.statuses[i].held != 0 ->
            if
            :: holder == RANKS -> holder = i
            :: else ->
                 if
                 :: map_switch.statuses[i].held < map_switch.statuses[holder].held ->
                      holder = i
                 :: else -> skip
                 fi
            fi
       :: else -> skip
       fi;
       i++
  od
}

#define HAS_ALL_STATUSES(map_switch) \
  (map_switch.has_status[0] && map_switch.has_status[1] && map_switch.has_status[2])
#define SAME_PREPARED(map_switch, version) \
  (map_switch.statuses[0].prepared == version && \
   map_switch.statuses[1].prepared == version && \
   map_switch.statuses[2].prepared == version)
#define IS_ARMED(map_switch, rank) \
  (map_switch.statuses[rank].armed == map_switch.desired_map.version && \
   map_switch.statuses[rank].armed_step == map_switch.desired_map.arm_step)
#ifdef GO_BEFORE_ALL_ARMED
#define ALL_ARMED(map_switch) \
  (IS_ARMED(map_switch, 0) && IS_ARMED(map_switch, 1))
#else
#define ALL_ARMED(map_switch) \
  (IS_ARMED(map_switch, 0) && IS_ARMED(map_switch, 1) && \
   IS_ARMED(map_switch, 2))
#endif
#define NONE_ARMED(map_switch) \
  (map_switch.statuses[0].armed == 0 && map_switch.statuses[1].armed == 0 && \
   map_switch.statuses[2].armed == 0)

// Resume: an owner or standby owner that finds the group held continues the
// switch.
inline Resume(map_switch, is_standby) {
  if
  :: holder < RANKS && HAS_ALL_STATUSES(map_switch) ->
       map_switch.desired_map.hold_step = map_switch.statuses[holder].held;
       map_switch.desired_map.arm_step = map_switch.statuses[holder].held;
       map_switch.desired_map.holder = holder;
       map_switch.desired_map.is_released = false;
       map_switch.desired_map.is_aborted = false;
       map_switch.desired_map.version = map_switch.statuses[0].prepared;
       is_any_armed = false;
       i = 0;
       do
       :: i == RANKS -> break
       :: else ->
            if
            :: map_switch.statuses[i].armed != 0 &&
               map_switch.statuses[i].armed_step == map_switch.desired_map.arm_step ->
                 map_switch.desired_map.version = map_switch.statuses[i].armed;
                 is_any_armed = true
            :: else -> skip
            fi;
            i++
       od;
       if
       :: is_any_armed || (map_switch.statuses[0].prepared != 0 &&
                           SAME_PREPARED(map_switch,
                                         map_switch.statuses[0].prepared)) ->
            if
            :: (is_standby && STANDBY_RESUMES_AT_ARMING) || RESUMES_AT_ARMING ->
                 map_switch.phase = ARMING
            :: else -> map_switch.phase = ARMING_OWNER
            fi
       :: else -> skip
       fi
  :: else -> skip
  fi
}

// AbortUnknownSwitch, if the owner's rank shows that no rank is armed.
inline AbortUnknownSwitch(map_switch) {
  if
  :: map_switch.has_status[0] && map_switch.statuses[0].armed == 0 &&
     map_switch.received_step < map_switch.statuses[holder].held ->
       map_switch.desired_map.version = ABORT_UNKNOWN_VERSION;
       map_switch.desired_map.hold_step = map_switch.statuses[holder].held;
       map_switch.desired_map.holder = holder;
       map_switch.desired_map.arm_step = 0;
       map_switch.desired_map.is_released = false;
       map_switch.desired_map.is_aborted = false;
       map_switch.is_unknown = true;
       map_switch.phase = ABORTING
  :: else -> skip
  fi
}

// Continue, and StartSwitch where a switch may start.
inline Continue(map_switch, is_standby) {
  FindHolder(map_switch);
  if
  :: map_switch.phase == IDLE && holder < RANKS ->
       Resume(map_switch, is_standby);
       if
       :: !is_standby && map_switch.phase == IDLE ->
            AbortUnknownSwitch(map_switch)
       :: else -> skip
       fi
  :: map_switch.phase == PREPARING && holder < RANKS ->
       AbortUnknownSwitch(map_switch)
  :: map_switch.phase == ARMING_OWNER && !is_standby && holder < RANKS &&
     map_switch.statuses[0].armed == 0 &&
     map_switch.statuses[0].prepared != map_switch.desired_map.version ->
       AbortUnknownSwitch(map_switch)
  :: map_switch.phase == IDLE && holder == RANKS && !is_standby &&
     HAS_ALL_STATUSES(map_switch) && NONE_ARMED(map_switch) ->
       Start(map_switch)
  :: map_switch.phase == PREPARING && HAS_ALL_STATUSES(map_switch) &&
     SAME_PREPARED(map_switch, map_switch.desired_map.version) ->
       map_switch.phase = HOLDING
  :: map_switch.phase == HOLDING && holder < RANKS ->
       map_switch.desired_map.holder = holder;
       map_switch.desired_map.hold_step = map_switch.statuses[holder].held;
       // A rank may be silent or not.
       if
       :: map_switch.desired_map.arm_step = map_switch.desired_map.hold_step;
          map_switch.phase = ARMING_OWNER
       :: map_switch.desired_map.version < ABORT_VERSION ->
            map_switch.phase = ABORTING
       fi
  :: map_switch.phase == ABORTING && !map_switch.desired_map.is_aborted &&
     map_switch.statuses[0].armed != 0 ->
       map_switch.desired_map.version = map_switch.statuses[0].armed;
       map_switch.desired_map.arm_step = map_switch.desired_map.hold_step;
       map_switch.phase = ARMING_OWNER
  :: map_switch.phase == ABORTING && !map_switch.desired_map.is_aborted &&
     map_switch.statuses[0].armed == 0 &&
     (map_switch.statuses[0].prepared == ABORT_VERSION_OF(map_switch) ||
      ABORTS_AT_ONCE) ->
       map_switch.desired_map.is_aborted = true
  :: map_switch.phase == ABORTING && map_switch.desired_map.is_aborted &&
     map_switch.received_step >= map_switch.desired_map.hold_step ->
       map_switch.phase = IDLE
  :: map_switch.phase == ABORTING && map_switch.desired_map.is_aborted &&
     map_switch.received_step < map_switch.desired_map.hold_step &&
     holder < RANKS ->
       map_switch.desired_map.holder = holder
  :: map_switch.phase == HOLDING && holder == RANKS &&
     map_switch.desired_map.hold_step <= map_switch.received_step &&
     map_switch.received_step + 1 <= LAST_STEP ->
       map_switch.desired_map.holder = 1;
       if
       :: map_switch.received_step + 2 <= LAST_STEP ->
            map_switch.desired_map.hold_step = map_switch.received_step + 2
       :: else ->
            map_switch.desired_map.hold_step = map_switch.received_step + 1
       fi;
       if
       :: ARMS_FIRST ->
            map_switch.desired_map.arm_step = map_switch.desired_map.hold_step;
            map_switch.phase = ARMING_OWNER
       :: else -> skip
       fi
  :: map_switch.phase == ARMING_OWNER &&
     (IS_ARMED(map_switch, 0) || SENDS_BEFORE_OWN_ARM) ->
       map_switch.phase = ARMING
  :: map_switch.phase == ARMING && HAS_ALL_STATUSES(map_switch) &&
     ALL_ARMED(map_switch) ->
       map_switch.desired_map.is_released = true;
       map_switch.phase = RELEASING
  :: map_switch.phase == RELEASING && holder < RANKS &&
     map_switch.statuses[holder].held <= map_switch.desired_map.arm_step ->
       map_switch.desired_map.holder = holder
  :: map_switch.phase == RELEASING &&
     map_switch.statuses[0].map == map_switch.desired_map.version &&
     map_switch.statuses[1].map == map_switch.desired_map.version &&
     map_switch.statuses[2].map == map_switch.desired_map.version ->
       map_switch.phase = IDLE
  :: else -> skip
  fi
}

inline Start(map_switch) {
  newest = map_switch.statuses[0].newest;
  if
  :: map_switch.statuses[1].newest > newest -> newest = map_switch.statuses[1].newest
  :: else -> skip
  fi;
  if
  :: map_switch.statuses[2].newest > newest -> newest = map_switch.statuses[2].newest
  :: else -> skip
  fi;
  if
  :: newest < LAST_VERSION ->
       map_switch.desired_map.version = newest + 1;
       map_switch.desired_map.hold_step = 0;
       map_switch.desired_map.holder = 0;
       map_switch.desired_map.arm_step = 0;
       map_switch.desired_map.is_released = false;
       map_switch.desired_map.is_aborted = false;
       map_switch.is_unknown = false;
       map_switch.phase = PREPARING
  :: else -> skip
  fi
}

// A desired map reaches an agent, which drops it if it has a newer one.
inline SendDesiredMap(at_rank) {
  arm = owner.desired_map.arm_step;
  if
  :: owner.phase == ARMING_OWNER && at_rank != 0 -> arm = 0
  :: else -> skip
  fi;
  if
  // Others hear of it once the owner's rank can't be armed any more.
  :: owner.phase == ABORTING && owner.is_unknown && at_rank != 0 &&
     !owner.desired_map.is_aborted -> skip
  :: else ->
       if
       :: desired_maps[at_rank].version > owner.desired_map.version ||
          (desired_maps[at_rank].version == owner.desired_map.version &&
           (desired_maps[at_rank].arm_step > arm ||
            desired_maps[at_rank].hold_step > owner.desired_map.hold_step ||
            (desired_maps[at_rank].is_aborted && !owner.desired_map.is_aborted) ||
            (desired_maps[at_rank].is_released && !owner.desired_map.is_released))) -> skip
       :: else ->
            desired_maps[at_rank].version = owner.desired_map.version;
            desired_maps[at_rank].hold_step = owner.desired_map.hold_step;
            desired_maps[at_rank].holder = owner.desired_map.holder;
            desired_maps[at_rank].arm_step = arm;
            desired_maps[at_rank].is_released = owner.desired_map.is_released;
            desired_maps[at_rank].is_aborted = owner.desired_map.is_aborted;
            if
            :: owner.phase == ABORTING && at_rank == 0 ->
                 desired_maps[0].version = ABORT_VERSION_OF(owner);
                 if
                 :: owner.desired_map.is_aborted -> skip
                 :: else -> desired_maps[0].hold_step = 0
                 fi
            :: else -> skip
            fi
       fi
  fi;
  arm = 0
}

// InferOwnerArmed: rank 0 can't be reached, but the owner sent the arm step,
// which it does only after its own rank is armed.
inline InferOwnerArmed() {
  if
  :: !standby.has_status[0] && desired_maps[STANDBY].version != 0 &&
     (desired_maps[STANDBY].arm_step != 0 || INFERS_WITHOUT_ARM_STEP) ->
       standby.statuses[0].prepared = desired_maps[STANDBY].version;
       standby.statuses[0].armed = desired_maps[STANDBY].version;
       standby.statuses[0].armed_step = desired_maps[STANDBY].arm_step;
       if
       :: desired_maps[STANDBY].arm_step == 0 ->
            standby.statuses[0].armed_step = desired_maps[STANDBY].hold_step
       :: else -> skip
       fi;
       standby.has_status[0] = true
  :: else -> skip
  fi
}

inline ClearSwitch(map_switch) {
  map_switch.phase = IDLE;
  map_switch.is_unknown = false;
  map_switch.desired_map.version = 0;
  map_switch.desired_map.hold_step = 0;
  map_switch.desired_map.holder = 0;
  map_switch.desired_map.arm_step = 0;
  map_switch.desired_map.is_released = false;
  map_switch.desired_map.is_aborted = false;
  map_switch.received_step = 0;
  i = 0;
  do
  :: i == RANKS -> break
  :: else ->
       map_switch.has_status[i] = false;
       map_switch.statuses[i].map = 0;
       map_switch.statuses[i].newest = 0;
       map_switch.statuses[i].prepared = 0;
       map_switch.statuses[i].armed = 0;
       map_switch.statuses[i].armed_step = 0;
       map_switch.statuses[i].held = 0;
       i++
  od;
  i = 0;
  holder = 0
}

#define IS_STUCK \
  (ranks[0].held == step + 1 || ranks[1].held == step + 1 || \
   ranks[2].held == step + 1)

// A pass begins: every rank that is armed for it switches.
inline BeginPass() {
  step++;
  i = 0;
  do
  :: i == RANKS -> break
  :: else ->
       if
       :: ranks[i].armed != 0 && ranks[i].armed_step == step ->
            ranks[i].map = ranks[i].armed;
            ranks[i].armed = 0;
            ranks[i].armed_step = 0;
            ranks[i].prepared = 0
       :: else -> skip
       fi;
       i++
  od;
  i = 0;
  assert(ranks[0].map == ranks[1].map && ranks[1].map == ranks[2].map)
}

active proctype Group() {
  byte i = 0;
  byte rank = 0;
  byte kind = NO_ORDER;
  byte order_version = 0;
  byte order_step = 0;
  byte holder = 0;
  byte newest = 0;
  byte arm = 0;
  bool is_any_armed = false;
end:
  do
  // A pass begins unless a rank holds the group; a delayed order is executed.
  :: atomic { step < LAST_STEP && ranks[0].held != step + 1 &&
              ranks[1].held != step + 1 && ranks[2].held != step + 1 ->
              BeginPass() }
  :: atomic { delayed[0].kind != NO_ORDER ->
              Execute(delayed[0].kind, delayed[0].rank, delayed[0].version,
                      delayed[0].step);
              delayed[0].kind = NO_ORDER; delayed[0].rank = 0;
              delayed[0].version = 0; delayed[0].step = 0 }
  // An agent acts on its desired map; the owner sends a desired map to an
  // agent; the owner receives a rank's status.
  :: atomic { select(rank : 0 .. RANKS - 1);
              CopyDesiredMap(current, desired_maps[rank]);
              NextOrder(rank);
              Send(kind, rank, order_version, order_step);
              ClearOrder() }
  :: atomic { owner.phase != IDLE -> select(rank : 0 .. RANKS - 1);
              SendDesiredMap(rank); rank = 0 }
  :: atomic { select(rank : 0 .. RANKS - 1);
              Copy(owner.statuses[rank], ranks[rank]);
              owner.has_status[rank] = true;
              if
              :: rank == 0 -> owner.received_step = step
              :: else -> skip
              fi;
              rank = 0 }
  :: atomic { Continue(owner, false); holder = 0; i = 0; newest = 0;
              is_any_armed = false }
  :: atomic { restarts < MAX_RESTARTS -> restarts++; ClearSwitch(owner);
              desired_maps[0].version = 0; desired_maps[0].hold_step = 0;
              desired_maps[0].holder = 0; desired_maps[0].arm_step = 0;
              desired_maps[0].is_released = false;
              desired_maps[0].is_aborted = false }
  // While the group is held, the standby owner polls the other ranks and sends
  // them orders.
  :: atomic { IS_STUCK -> select(rank : 0 .. RANKS - 1);
              Copy(standby.statuses[rank], ranks[rank]);
              standby.has_status[rank] = true; rank = 0 }
  :: atomic { true -> InferOwnerArmed(); Continue(standby, true);
              holder = 0; i = 0; newest = 0; is_any_armed = false }
  :: atomic { standby.phase == ARMING_OWNER && standby.statuses[0].armed == 0 ->
              CopyDesiredMap(current, standby.desired_map);
              NextOrder(0);
              Send(kind, 0, order_version, order_step);
              ClearOrder() }
  :: atomic { standby.phase == ARMING || standby.phase == RELEASING ->
              select(rank : 0 .. RANKS - 1);
              CopyDesiredMap(current, standby.desired_map);
              NextOrder(rank);
              Send(kind, rank, order_version, order_step);
              ClearOrder() }
  :: atomic { standby.has_status[1] || standby.has_status[2] ->
              ClearSwitch(standby) }
  od
}
