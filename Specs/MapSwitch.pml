// The switch of a group from one expert map to the next, where the ranks step
// on their own clock. Names are those of Libraries/LibMapSwitch. Rank 0's agent
// is the owner; rank 1's agent may stand in for it.
//
// Modelled: orders that are carried out at any later time, however late;
// wishes and reports that are arbitrarily old; an owner that is killed at any
// point and starts again knowing nothing; a deputy that acts beside it, woken
// or dead, and cannot reach rank 0. Copies take no time, since only their order
// matters. A group that is formed anew refuses all orders of before and is left
// out. Two restarts and a third version take more states than a check should;
// Tests/LibMapSwitch plays them by seeds.
//
// variant GO_BEFORE_ALL_ARMED the group is let go while a rank is not armed
// variant ARM_BEFORE_HOLD ranks are armed for a pass that nothing holds
// variant GO_ANY_HELD a holder lets go of whatever pass it holds
// variant TRUST_UNTOLD a deputy takes rank 0 for armed without having been told
// variant RESUME_TELLING a restarted owner names the pass before its rank is armed
// variant TELL_BEFORE_OWN_ARM the owner names the pass before its rank is armed
// options -DVECTORSZ=1024 -DCOLLAPSE

#define RANKS 3
#define LAST_STEP 3
#define LAST_VERSION 2
#define LATE 1
#define MOST_RESTARTS 1
#define DEPUTY 1

#define NOTHING 0
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
#define TRUSTS_UNTOLD true
#else
#define TRUSTS_UNTOLD false
#endif
#ifdef RESUME_TELLING
#define RESUMES_TELLING true
#else
#define RESUMES_TELLING false
#endif
#ifdef TELL_BEFORE_OWN_ARM
#define TELLS_FIRST true
#else
#define TELLS_FIRST false
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
  bool is_released
};

typedef Order {
  byte kind;
  byte rank;
  byte version;
  byte step
};

typedef MapSwitch {
  byte phase;
  DesiredMap wish;
  RankStatus heard[RANKS];
  bool is_heard[RANKS];
  byte heard_step
};

byte step = 0;            // the last pass begun
RankStatus ranks[RANKS];
DesiredMap wishes[RANKS];       // what each agent last heard
Order late[LATE];
DesiredMap told;                // the wish that an agent acts on just now
MapSwitch owner;
MapSwitch deputy;
byte restarts = 0;

inline Copy(to, from) {
  to.map = from.map;
  to.newest = from.newest;
  to.prepared = from.prepared;
  to.armed = from.armed;
  to.armed_step = from.armed_step;
  to.held = from.held
}

inline CopyWish(to, from) {
  to.version = from.version;
  to.hold_step = from.hold_step;
  to.holder = from.holder;
  to.arm_step = from.arm_step;
  to.is_released = from.is_released
}

// Values that say nothing between two steps must not tell states apart.
inline ForgetOrder() {
  rank = 0;
  kind = NOTHING;
  order_version = 0;
  order_step = 0;
  told.version = 0;
  told.hold_step = 0;
  told.holder = 0;
  told.arm_step = 0;
  told.is_released = false
}

// A server carries an order out, or refuses it.
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

// Sends an order: it is carried out now, or at any later time.
inline Send(the_kind, at_rank, the_version, the_step) {
  if
  :: the_kind == NOTHING -> skip
  :: else ->
       if
       :: Execute(the_kind, at_rank, the_version, the_step)
       :: late[0].kind == NOTHING ->
            late[0].kind = the_kind;
            late[0].rank = at_rank;
            late[0].version = the_version;
            late[0].step = the_step
       fi
  fi
}

// NextOrder: what a rank's agent does under the wish `told`, as its server
// reports itself.
inline NextOrder(at_rank) {
  kind = NOTHING;
  order_version = told.version;
  order_step = 0;
  if
  :: told.hold_step != 0 && told.holder == at_rank && told.is_released &&
     ranks[at_rank].held != 0 && MAY_GO(ranks[at_rank].held, told.arm_step) ->
       kind = GO;
       order_step = ranks[at_rank].held
  :: told.hold_step != 0 && told.holder == at_rank && !told.is_released &&
     ranks[at_rank].held == 0 && told.arm_step == 0 &&
     ranks[at_rank].armed == 0 &&
     ranks[at_rank].prepared == told.version && step < told.hold_step ->
       kind = HOLD;
       order_step = told.hold_step
  :: else ->
       if
       :: told.version != 0 && ranks[at_rank].map < told.version &&
          told.arm_step != 0 && ranks[at_rank].prepared == told.version &&
          ranks[at_rank].armed == 0 ->
            kind = ARM;
            order_step = told.arm_step
       :: told.version != 0 && ranks[at_rank].map < told.version &&
          told.arm_step == 0 && ranks[at_rank].prepared < told.version &&
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
       :: map_switch.is_heard[i] && map_switch.heard[i].held != 0 ->
            if
            :: holder == RANKS -> holder = i
            :: else ->
                 if
                 :: map_switch.heard[i].held < map_switch.heard[holder].held ->
                      holder = i
                 :: else -> skip
                 fi
            fi
       :: else -> skip
       fi;
       i++
  od
}

#define ALL_HEARD(map_switch) \
  (map_switch.is_heard[0] && map_switch.is_heard[1] && map_switch.is_heard[2])
#define SAME_PREPARED(map_switch, version) \
  (map_switch.heard[0].prepared == version && \
   map_switch.heard[1].prepared == version && \
   map_switch.heard[2].prepared == version)
#define IS_ARMED(map_switch, rank) \
  (map_switch.heard[rank].armed == map_switch.wish.version && \
   map_switch.heard[rank].armed_step == map_switch.wish.arm_step)
#ifdef GO_BEFORE_ALL_ARMED
#define ALL_ARMED(map_switch) \
  (IS_ARMED(map_switch, 0) && IS_ARMED(map_switch, 1))
#else
#define ALL_ARMED(map_switch) \
  (IS_ARMED(map_switch, 0) && IS_ARMED(map_switch, 1) && \
   IS_ARMED(map_switch, 2))
#endif
#define NONE_ARMED(map_switch) \
  (map_switch.heard[0].armed == 0 && map_switch.heard[1].armed == 0 && \
   map_switch.heard[2].armed == 0)

// Resume: whoever finds a held group finishes what was begun.
inline Resume(map_switch, is_deputy) {
  if
  :: holder < RANKS && ALL_HEARD(map_switch) ->
       map_switch.wish.hold_step = map_switch.heard[holder].held;
       map_switch.wish.arm_step = map_switch.heard[holder].held;
       map_switch.wish.holder = holder;
       map_switch.wish.is_released = false;
       map_switch.wish.version = map_switch.heard[0].prepared;
       is_any_armed = false;
       i = 0;
       do
       :: i == RANKS -> break
       :: else ->
            if
            :: map_switch.heard[i].armed != 0 &&
               map_switch.heard[i].armed_step == map_switch.wish.arm_step ->
                 map_switch.wish.version = map_switch.heard[i].armed;
                 is_any_armed = true
            :: else -> skip
            fi;
            i++
       od;
       if
       :: is_any_armed || (map_switch.heard[0].prepared != 0 &&
                           SAME_PREPARED(map_switch,
                                         map_switch.heard[0].prepared)) ->
            if
            :: is_deputy || RESUMES_TELLING -> map_switch.phase = ARMING
            :: else -> map_switch.phase = ARMING_OWNER
            fi
       :: else -> skip
       fi
  :: else -> skip
  fi
}

// Continue, beside StartSwitch where a switch may start.
inline Continue(map_switch, is_deputy) {
  FindHolder(map_switch);
  if
  :: map_switch.phase == IDLE && holder < RANKS ->
       Resume(map_switch, is_deputy);
       if
       :: !is_deputy && map_switch.phase == IDLE && ALL_HEARD(map_switch) &&
          NONE_ARMED(map_switch) && map_switch.heard[0].newest < LAST_VERSION ->
            Start(map_switch)
       :: else -> skip
       fi
  :: map_switch.phase == IDLE && holder == RANKS && !is_deputy &&
     ALL_HEARD(map_switch) && NONE_ARMED(map_switch) ->
       Start(map_switch)
  :: map_switch.phase == PREPARING && ALL_HEARD(map_switch) &&
     SAME_PREPARED(map_switch, map_switch.wish.version) ->
       map_switch.phase = HOLDING
  :: map_switch.phase == HOLDING && holder < RANKS ->
       map_switch.wish.holder = holder;
       map_switch.wish.hold_step = map_switch.heard[holder].held;
       map_switch.wish.arm_step = map_switch.wish.hold_step;
       map_switch.phase = ARMING_OWNER
  :: map_switch.phase == HOLDING && holder == RANKS &&
     map_switch.wish.hold_step <= map_switch.heard_step &&
     map_switch.heard_step + 1 <= LAST_STEP ->
       map_switch.wish.holder = 1;
       if
       :: map_switch.heard_step + 2 <= LAST_STEP ->
            map_switch.wish.hold_step = map_switch.heard_step + 2
       :: else ->
            map_switch.wish.hold_step = map_switch.heard_step + 1
       fi;
       if
       :: ARMS_FIRST ->
            map_switch.wish.arm_step = map_switch.wish.hold_step;
            map_switch.phase = ARMING_OWNER
       :: else -> skip
       fi
  :: map_switch.phase == ARMING_OWNER &&
     (IS_ARMED(map_switch, 0) || TELLS_FIRST) ->
       map_switch.phase = ARMING
  :: map_switch.phase == ARMING && ALL_HEARD(map_switch) &&
     ALL_ARMED(map_switch) ->
       map_switch.wish.is_released = true;
       map_switch.phase = RELEASING
  :: map_switch.phase == RELEASING && holder < RANKS &&
     map_switch.heard[holder].held <= map_switch.wish.arm_step ->
       map_switch.wish.holder = holder
  :: map_switch.phase == RELEASING &&
     map_switch.heard[0].map == map_switch.wish.version &&
     map_switch.heard[1].map == map_switch.wish.version &&
     map_switch.heard[2].map == map_switch.wish.version ->
       map_switch.phase = IDLE
  :: else -> skip
  fi
}

inline Start(map_switch) {
  newest = map_switch.heard[0].newest;
  if
  :: map_switch.heard[1].newest > newest -> newest = map_switch.heard[1].newest
  :: else -> skip
  fi;
  if
  :: map_switch.heard[2].newest > newest -> newest = map_switch.heard[2].newest
  :: else -> skip
  fi;
  if
  :: newest < LAST_VERSION ->
       map_switch.wish.version = newest + 1;
       map_switch.wish.hold_step = 0;
       map_switch.wish.holder = 0;
       map_switch.wish.arm_step = 0;
       map_switch.wish.is_released = false;
       map_switch.phase = PREPARING
  :: else -> skip
  fi
}

// A wish reaches an agent; one that is older than what it knows is dropped.
inline Tell(at_rank) {
  arm = owner.wish.arm_step;
  if
  :: owner.phase == ARMING_OWNER && at_rank != 0 -> arm = 0
  :: else -> skip
  fi;
  if
  :: wishes[at_rank].version > owner.wish.version ||
     (wishes[at_rank].version == owner.wish.version &&
      (wishes[at_rank].arm_step > arm ||
       wishes[at_rank].hold_step > owner.wish.hold_step ||
       (wishes[at_rank].is_released && !owner.wish.is_released))) -> skip
  :: else ->
       wishes[at_rank].version = owner.wish.version;
       wishes[at_rank].hold_step = owner.wish.hold_step;
       wishes[at_rank].holder = owner.wish.holder;
       wishes[at_rank].arm_step = arm;
       wishes[at_rank].is_released = owner.wish.is_released
  fi;
  arm = 0
}

// TrustOwner: rank 0 cannot be reached, and its owner named the pass.
inline TrustOwner() {
  if
  :: !deputy.is_heard[0] && wishes[DEPUTY].version != 0 &&
     (wishes[DEPUTY].arm_step != 0 || TRUSTS_UNTOLD) ->
       deputy.heard[0].prepared = wishes[DEPUTY].version;
       deputy.heard[0].armed = wishes[DEPUTY].version;
       deputy.heard[0].armed_step = wishes[DEPUTY].arm_step;
       if
       :: wishes[DEPUTY].arm_step == 0 ->
            deputy.heard[0].armed_step = wishes[DEPUTY].hold_step
       :: else -> skip
       fi;
       deputy.is_heard[0] = true
  :: else -> skip
  fi
}

inline ForgetAll(map_switch) {
  map_switch.phase = IDLE;
  map_switch.wish.version = 0;
  map_switch.wish.hold_step = 0;
  map_switch.wish.holder = 0;
  map_switch.wish.arm_step = 0;
  map_switch.wish.is_released = false;
  map_switch.heard_step = 0;
  i = 0;
  do
  :: i == RANKS -> break
  :: else ->
       map_switch.is_heard[i] = false;
       map_switch.heard[i].map = 0;
       map_switch.heard[i].newest = 0;
       map_switch.heard[i].prepared = 0;
       map_switch.heard[i].armed = 0;
       map_switch.heard[i].armed_step = 0;
       map_switch.heard[i].held = 0;
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
  byte kind = NOTHING;
  byte order_version = 0;
  byte order_step = 0;
  byte holder = 0;
  byte newest = 0;
  byte arm = 0;
  bool is_any_armed = false;
end:
  do
  // Time passes.
  :: atomic { step < LAST_STEP && ranks[0].held != step + 1 &&
              ranks[1].held != step + 1 && ranks[2].held != step + 1 ->
              BeginPass() }
  :: atomic { late[0].kind != NOTHING ->
              Execute(late[0].kind, late[0].rank, late[0].version,
                      late[0].step);
              late[0].kind = NOTHING; late[0].rank = 0;
              late[0].version = 0; late[0].step = 0 }
  // An agent acts on what it last heard; a wish comes; a report is heard.
  :: atomic { select(rank : 0 .. RANKS - 1);
              CopyWish(told, wishes[rank]);
              NextOrder(rank);
              Send(kind, rank, order_version, order_step);
              ForgetOrder() }
  :: atomic { owner.phase != IDLE -> select(rank : 0 .. RANKS - 1);
              Tell(rank); rank = 0 }
  :: atomic { select(rank : 0 .. RANKS - 1);
              Copy(owner.heard[rank], ranks[rank]);
              owner.is_heard[rank] = true;
              if
              :: rank == 0 -> owner.heard_step = step
              :: else -> skip
              fi;
              rank = 0 }
  :: atomic { Continue(owner, false); holder = 0; i = 0; newest = 0;
              is_any_armed = false }
  :: atomic { restarts < MOST_RESTARTS -> restarts++; ForgetAll(owner);
              wishes[0].version = 0; wishes[0].hold_step = 0;
              wishes[0].holder = 0; wishes[0].arm_step = 0;
              wishes[0].is_released = false }
  // The deputy of a group that does not go on reads the other ranks and orders
  // them.
  :: atomic { IS_STUCK -> select(rank : 1 .. RANKS - 1);
              Copy(deputy.heard[rank], ranks[rank]);
              deputy.is_heard[rank] = true; rank = 0 }
  :: atomic { true -> TrustOwner(); Continue(deputy, true);
              holder = 0; i = 0; newest = 0; is_any_armed = false }
  :: atomic { deputy.phase == ARMING || deputy.phase == RELEASING ->
              select(rank : 1 .. RANKS - 1);
              CopyWish(told, deputy.wish);
              NextOrder(rank);
              Send(kind, rank, order_version, order_step);
              ForgetOrder() }
  :: atomic { deputy.is_heard[1] || deputy.is_heard[2] ->
              ForgetAll(deputy) }
  od
}
