#include <doctest/doctest.h>

#include <map>

#include "SimulatedRanks.h"

namespace bramleyspan::mapswitch {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr uint32_t kRanks = 4;

// Sets what the platform's documentation leaves open and servers do
// differently.
void SetVariant(SimulatedRanks& ranks, uint64_t seed) {
  ranks.has_sequences = seed % 3 == 0;
  ranks.is_hold_replaced = seed % 2 == 0;
}

bool is_any_held(const SimulatedRanks& ranks) {
  for (uint32_t rank = 0; rank < ranks.size(); ++rank) {
    if (ranks.status(rank).held != 0) {
      return true;
    }
  }
  return false;
}

// Whether the next pass is held.
bool is_waiting(const SimulatedRanks& ranks) {
  for (uint32_t rank = 0; rank < ranks.size(); ++rank) {
    if (ranks.status(rank).held == ranks.step + 1) {
      return true;
    }
  }
  return false;
}

// The agents of the simulated ranks, as they use the library: rank 0's is the
// owner, and each one follows the desired map that it last received.
struct Agents {
  SimulatedRanks& ranks;
  MapSwitch owner;
  std::vector<std::optional<DesiredMap>> desired_maps;
  // Until then the owner sends and does nothing.
  TimePoint owner_frozen_until{};
  // Until when a rank's machine is frozen: its agent does nothing, and its
  // server takes no orders.
  std::map<uint32_t, TimePoint> frozen_until;
  int lost_message_percent = 0;
  std::mt19937_64 random;
  int switches = 0;
  // The pass at which the owner's process began: it knows the demand, and plans
  // a map, once it has seen another one.
  std::optional<Step> step_at_start;
  std::map<uint32_t, std::pair<std::string, TimePoint>> last_orders;

  Duration tick = kTick;
  Duration repeat_after = std::chrono::milliseconds(100);
  // Whether agents report that they lose orders.
  bool has_loss_reports = false;
  std::map<uint32_t, TimePoint> lost_at;

  explicit Agents(SimulatedRanks& ranks, uint64_t seed)
      : ranks(ranks), desired_maps(ranks.size()), random(seed) {}

  // Returns what the rank's agent reports to the owner.
  RankStatus ReportOf(uint32_t rank) const {
    constexpr Duration kLossWindow = std::chrono::seconds(2);
    RankStatus status = this->ranks.status(rank);
    const auto lost = this->lost_at.find(rank);
    status.is_losing_orders = this->has_loss_reports &&
                              lost != this->lost_at.end() &&
                              this->ranks.now - lost->second < kLossWindow;
    return status;
  }

  bool is_lost() {
    return static_cast<int>(this->random() % 100) < this->lost_message_percent;
  }

  bool is_rank_frozen(uint32_t rank) const {
    const auto found = this->frozen_until.find(rank);
    return found != this->frozen_until.end() && this->ranks.now < found->second;
  }

  void SendOnce(uint32_t rank, const Order& order) {
    constexpr Duration kRepeatPrepare = std::chrono::milliseconds(1500);
    const auto* prepare = std::get_if<Prepare>(&order.body);
    const std::string name =
        NameOf(order.body) + std::to_string(order.epoch) + "." +
        std::to_string(order.expected_sequence) + "." +
        std::to_string(prepare == nullptr ? 0 : prepare->version);
    auto& [last, at] = this->last_orders[rank];
    const Duration wait =
        NameOf(order.body) == "prepare" ? kRepeatPrepare : this->repeat_after;
    if (last == name && this->ranks.now - at < wait) {
      return;
    }
    last = name;
    at = this->ranks.now;
    this->ranks.Send(rank, order);
    if (!this->ranks.is_answered) {
      this->lost_at[rank] = this->ranks.now;
    }
  }

  void Tick() {
    const TimePoint now = this->ranks.now;
    const bool is_frozen =
        now < this->owner_frozen_until || this->is_rank_frozen(0);
    for (uint32_t rank = 0; rank < this->ranks.size() && !is_frozen; ++rank) {
      if (!this->is_rank_frozen(rank) && (rank == 0 || !this->is_lost())) {
        HandleStatus(this->owner, this->ReportOf(rank), now);
      }
    }
    if (!is_frozen) {
      this->RunOwner(now);
    }
    for (uint32_t rank = 0; rank < this->ranks.size(); ++rank) {
      if (!this->desired_maps[rank] || (rank == 0 && is_frozen) ||
          this->is_rank_frozen(rank)) {
        continue;
      }
      const auto order =
          NextOrder(*this->desired_maps[rank], this->ranks.status(rank));
      if (order) {
        this->SendOnce(rank, *order);
      }
    }
  }

  void RunOwner(TimePoint now) {
    Continue(this->owner, now);
    if (lacks_abort_map(this->owner)) {
      this->owner.abort_map = ExpertLists(1, {{0}, {1}, {2}, {3}});
    }
    const bool is_demand_known = this->ranks.step != this->step_at_start;
    if (is_ready_for_map(this->owner, now) && is_demand_known) {
      ++this->switches;
      // Each plan is a different map.
      const auto plan = static_cast<uint16_t>(this->switches);
      StartSwitch(this->owner, ExpertLists(1, {{0}, {1}, {2}, {plan}}), now);
    }
    if (this->owner.phase == SwitchPhase::kIdle) {
      return;
    }
    for (uint32_t rank = 0; rank < this->ranks.size(); ++rank) {
      if (!this->is_rank_frozen(rank) && (rank == 0 || !this->is_lost())) {
        this->desired_maps[rank] = DesiredMapFor(this->owner, rank);
      }
    }
  }

  // The owner's process dies and another one starts beside the same rank.
  void RestartOwner() {
    this->owner = {.version_offset = VersionOffsetAt(this->ranks.now)};
    this->desired_maps[0].reset();
    this->last_orders.erase(0);
    this->step_at_start = this->ranks.step;
  }

  // The agent of another rank polls all ranks and completes the switch.
  void TakeOver(MapSwitch& standby) {
    standby.is_standby = true;
    for (uint32_t rank = 0; rank < this->ranks.size(); ++rank) {
      if (this->is_rank_frozen(rank)) {
        continue;
      }
      HandleStatus(standby, this->ranks.status(rank), this->ranks.now);
      Continue(standby, this->ranks.now);
      const bool may_order =
          standby.phase == SwitchPhase::kArming ||
          standby.phase == SwitchPhase::kReleasing ||
          (standby.phase == SwitchPhase::kArmingOwner && rank == 0);
      const auto order =
          NextOrder(standby.desired_map, this->ranks.status(rank));
      if (may_order && order) {
        this->ranks.Send(rank, *order);
      }
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = this->ranks.now + time; this->ranks.now < end;) {
      this->ranks.Advance(this->tick);
      this->Tick();
    }
  }
};

// Runs a scenario with many seeds, in one of the variants of what the
// platform's documentation leaves open, with this percentage of orders delayed.
template <typename Scenario>
void RunWithSeeds(uint64_t seeds, int late_order_percent, Scenario scenario) {
  for (uint64_t seed = 0; seed < seeds; ++seed) {
    CAPTURE(seed);
    SimulatedRanks ranks(kRanks, seed);
    SetVariant(ranks, seed);
    ranks.late_order_percent = late_order_percent;
    Agents agents(ranks, seed + 1);
    scenario(ranks, agents, seed);
  }
}

}  // namespace

TEST_CASE("A switch brings the map into force at all ranks in one pass") {
  SimulatedRanks ranks(kRanks, 1);
  Agents agents(ranks, 1);
  agents.Run(std::chrono::seconds(2));
  CHECK_FALSE(ranks.is_split);
  CHECK(ranks.status(0).map >= 2);
}

// Failure: an arm order was carried out seconds late, after the switch that it
// belonged to, and the group went on with two maps.
TEST_CASE("Delayed or unanswered orders never make ranks use different maps") {
  RunWithSeeds(200, 25,
               [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
                 agents.lost_message_percent = 20;
                 agents.Run(std::chrono::seconds(15));
                 REQUIRE_FALSE(ranks.is_split);
               });
}

// Failure: the owner's agent is killed after any of its orders. The next one
// must complete the switch it finds while delayed orders of the first one still
// arrive.
TEST_CASE("A restarted owner completes the switch with one map at all ranks") {
  RunWithSeeds(
      200, 20, [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
        for (int restart = 0; restart < 20; ++restart) {
          agents.Run(std::chrono::milliseconds(
              50 + ranks.now.time_since_epoch().count() / 50 % 17 * 50));
          agents.RestartOwner();
        }
        REQUIRE_FALSE(ranks.is_split);
        // No unfinished switch keeps the group from going on.
        ranks.late_order_percent = 0;
        const Step before = ranks.step;
        agents.Run(std::chrono::seconds(12));
        REQUIRE(ranks.step > before + 20);
      });
}

// Failure: a killed owner's order to prepare is carried out after its
// successor's, and the group stands for good.
TEST_CASE("A later owner's versions are higher than any earlier owner's") {
  const TimePoint start{std::chrono::seconds(1000)};
  SimulatedRanks ranks(kRanks, 1);
  Version last = 0;
  for (int owner = 0; owner < 100; ++owner) {
    const TimePoint now = start + owner * std::chrono::milliseconds(50);
    MapSwitch map_switch{.version_offset = VersionOffsetAt(now)};
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      HandleStatus(map_switch, ranks.status(rank), now);
    }
    StartSwitch(map_switch, ExpertLists(1, {{0}, {1}, {2}, {3}}), now);
    CHECK(map_switch.desired_map.version > last);
    last = map_switch.desired_map.version;
  }
}

// Failure: an idle group begins no passes, so that a delayed hold or arm may
// reach it long after the switch.
TEST_CASE(
    "A group that becomes idle during a switch keeps one map at all ranks") {
  RunWithSeeds(200, 25,
               [](SimulatedRanks& ranks, Agents& agents, uint64_t /*seed*/) {
                 for (int round = 0; round < 10; ++round) {
                   ranks.has_work = round % 2 == 0;
                   agents.Run(std::chrono::milliseconds(700));
                 }
                 REQUIRE_FALSE(ranks.is_split);
               });
}

// Failure: the owner's machine froze for four seconds just after its hold, and
// every stream of the group stalled.
TEST_CASE("A standby owner releases a held group while its owner is frozen") {
  SimulatedRanks ranks(kRanks, 1);
  Agents agents(ranks, 1);
  while (!is_any_held(ranks)) {
    agents.Run(kTick);
  }
  const Step held_before = ranks.step;
  agents.owner_frozen_until = ranks.now + std::chrono::seconds(4);
  MapSwitch standby;
  for (int round = 0; round < 10; ++round) {
    agents.Run(kTick);
    agents.TakeOver(standby);
  }
  CHECK(ranks.step > held_before + 2);
  CHECK_FALSE(ranks.is_split);
}

TEST_CASE("A standby owner beside a live owner keeps one map at all ranks") {
  RunWithSeeds(300, 20,
               [](SimulatedRanks& ranks, Agents& agents, uint64_t seed) {
                 agents.lost_message_percent = 20;
                 MapSwitch standby;
                 std::mt19937_64 random(seed);
                 for (int round = 0; round < 150; ++round) {
                   if (random() % 20 == 0) {
                     agents.owner_frozen_until =
                         ranks.now + std::chrono::milliseconds(random() % 2000);
                   }
                   if (random() % 4 == 0) {
                     agents.TakeOver(standby);
                   }
                   if (random() % 30 == 0) {
                     standby = {};
                   }
                   if (random() % 40 == 0) {
                     agents.RestartOwner();
                   }
                   if (random() % 60 == 0) {
                     ranks.Restart(static_cast<uint32_t>(random() % kRanks));
                   }
                   agents.Run(kTick);
                 }
                 REQUIRE_FALSE(ranks.is_split);
               });
}

// Failure: an owner was killed right after its hold. Its successor sent the
// held pass to all agents before its own rank was armed and was killed too; a
// standby owner that could not reach rank 0 assumed that it was armed, and the
// group went on with two maps. Found by Specs/MapSwitch (variant
// RESUME_TELLING).
TEST_CASE("An owner that finds a held group arms its own rank first") {
  const TimePoint now{std::chrono::seconds(100)};
  MapSwitch owner;
  const auto receive = [&](Version armed) {
    for (uint32_t rank = 0; rank < 3; ++rank) {
      HandleStatus(owner,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 3,
                    .is_open = true,
                    .step = 4,
                    .prepared = 1,
                    .armed = rank == 0 ? armed : 0,
                    .armed_step = rank == 0 && armed != 0 ? Step{6} : Step{0},
                    .held = rank == 1 ? Step{6} : Step{0}},
                   now);
    }
    Continue(owner, now);
  };
  receive(0);
  CHECK(DesiredMapFor(owner, 0).arm_step == 6);
  CHECK(DesiredMapFor(owner, 1).arm_step == 0);
  receive(1);
  CHECK(DesiredMapFor(owner, 1).arm_step == 6);
}

TEST_CASE(
    "A standby owner assumes rank 0 is armed only if the owner named the "
    "pass") {
  const TimePoint now{std::chrono::seconds(100)};
  const auto take_over = [&](const DesiredMap& last_received) {
    MapSwitch standby;
    standby.is_standby = true;
    InferOwnerArmed(standby, last_received, 3, now);
    for (uint32_t rank = 1; rank < 3; ++rank) {
      HandleStatus(standby,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 3,
                    .is_open = true,
                    .step = 5,
                    .prepared = 1,
                    .armed = 1,
                    .armed_step = 6,
                    .held = rank == 1 ? Step{6} : Step{0}},
                   now);
    }
    Continue(standby, now);
    Continue(standby, now);
    return standby.desired_map.is_released;
  };
  DesiredMap last_received{
      .epoch = 1, .version = 1, .hold_step = 6, .holder = 1};
  CHECK_FALSE(take_over(last_received));
  last_received.arm_step = 6;
  CHECK(take_over(last_received));
}

// Failure: a rank's machine freezes as the group is held; the group begins no
// pass until the machine wakes.
TEST_CASE("A rank that freezes as the group is held does not stop the group") {
  constexpr Duration kLongestStandstill = std::chrono::milliseconds(500);
  for (uint32_t frozen = 1; frozen < kRanks; ++frozen) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(frozen);
      CAPTURE(seed);
      SimulatedRanks ranks(kRanks, seed);
      SetVariant(ranks, seed);
      Agents agents(ranks, seed);
      agents.tick = std::chrono::milliseconds(5);
      agents.repeat_after = std::chrono::milliseconds(40);
      while (!is_any_held(ranks)) {
        agents.Run(agents.tick);
      }
      if (ranks.status(frozen).held != 0) {
        continue;
      }
      agents.frozen_until[frozen] = ranks.now + std::chrono::seconds(8);
      ranks.longest_pass = {};
      agents.Run(std::chrono::seconds(8));
      CHECK(ranks.status(0).map == 0);
      agents.Run(std::chrono::seconds(5));
      // A standstill counts once a pass has begun after it.
      CHECK(ranks.longest_pass < kLongestStandstill);
      CHECK(ranks.status(0).map != 0);
      CHECK_FALSE(ranks.is_split);
    }
  }
}

// Failure: an owner is killed at any moment of a switch, most often while it
// aborts one; its orders are carried out late, and a rank's machine is frozen
// as well. Its successor knows neither the switch nor the demand, and the group
// stood for good: what waits in a held group does not run, and shows no demand.
TEST_CASE("A held group goes on whatever its owner has forgotten") {
  constexpr Duration kLongestStandstill = std::chrono::seconds(1);
  int held = 0;
  for (uint64_t seed = 1; seed <= 600; ++seed) {
    CAPTURE(seed);
    SimulatedRanks ranks(kRanks, seed);
    SetVariant(ranks, seed);
    ranks.late_order_percent = seed % 2 == 0 ? 30 : 0;
    Agents agents(ranks, seed);
    agents.tick = std::chrono::milliseconds(5);
    agents.repeat_after = std::chrono::milliseconds(40);
    std::mt19937_64 random(seed);
    while (!is_any_held(ranks)) {
      agents.Run(agents.tick);
    }
    const uint32_t frozen = 1 + static_cast<uint32_t>(random() % (kRanks - 1));
    if (ranks.status(frozen).held == 0) {
      agents.frozen_until[frozen] = ranks.now + std::chrono::seconds(8);
    }
    for (uint64_t kill = 0; kill <= seed % 3; ++kill) {
      agents.Run(std::chrono::milliseconds(random() % 250));
      agents.RestartOwner();
    }
    held += is_any_held(ranks) ? 1 : 0;
    ranks.late_order_percent = 0;
    if (ranks.status(0).armed != 0) {
      // Such a switch can only be completed, and the frozen rank can be armed
      // by its own machine alone: the group stands until that wakes.
      agents.frozen_until.clear();
    }
    const Step before = ranks.step;
    agents.Run(kLongestStandstill);
    CHECK(ranks.step > before);
    // Late orders are carried out within 4 s.
    agents.Run(std::chrono::seconds(5));
    const Step later = ranks.step;
    agents.Run(kLongestStandstill);
    CHECK(ranks.step > later);
    CHECK_FALSE(ranks.is_split);
  }
  MESSAGE("held when the last owner began ", held);
  CHECK(held > 100);
}

// Failure: as above, by the least that an owner may know: a fresh report of its
// own rank and one of the holder, while all others are silent and the group is
// idle or all its requests wait.
TEST_CASE("An owner lets a held group go by two ranks' reports") {
  TimePoint now{std::chrono::seconds(1000)};
  MapSwitch owner{.version_offset = VersionOffsetAt(now)};
  RankStatus own{.group = "g",
                 .epoch = 3,
                 .size = kRanks,
                 .is_open = true,
                 .step = 40,
                 .map = 6,
                 .prepared = 8};
  RankStatus holder = own;
  holder.rank = 2;
  holder.prepared = 7;
  holder.held = 41;
  const auto report = [&] {
    now += std::chrono::milliseconds(30);
    HandleStatus(owner, own, now);
    HandleStatus(owner, holder, now);
    Continue(owner, now);
  };
  for (int round = 0; round < 10 && !lacks_abort_map(owner); ++round) {
    report();
  }
  REQUIRE(lacks_abort_map(owner));
  owner.abort_map = MakeAbortMap({{0, 1}}, kRanks, 6);
  const auto order = NextOrder(DesiredMapFor(owner, 0), own);
  REQUIRE(order);
  const auto* prepare = std::get_if<Prepare>(&order->body);
  REQUIRE(prepare != nullptr);
  CHECK(prepare->version > 8);
  CHECK(prepare->map == ExpertLists{{{0, 1}, {2, 5}, {3}, {4}}});
  SUBCASE("The holder lets go once the owner's rank can't be armed") {
    CHECK_FALSE(NextOrder(DesiredMapFor(owner, 2), holder));
    own.prepared = prepare->version;
    report();
    const auto release = NextOrder(DesiredMapFor(owner, 2), holder);
    REQUIRE(release);
    const auto* go = std::get_if<Go>(&release->body);
    REQUIRE(go != nullptr);
    CHECK(go->step == 41);
  }
  SUBCASE("An order to arm that came first is completed") {
    own.armed = 8;
    own.armed_step = 41;
    report();
    report();
    CHECK(owner.phase == SwitchPhase::kArming);
    CHECK(DesiredMapFor(owner, 2).version == 8);
    CHECK(DesiredMapFor(owner, 2).arm_step == 41);
    CHECK_FALSE(DesiredMapFor(owner, 2).is_aborted);
  }
}

TEST_CASE("Machines that freeze at any moment never make ranks use two maps") {
  int aborted = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    SimulatedRanks ranks(kRanks, seed);
    SetVariant(ranks, seed);
    ranks.late_order_percent = seed % 4 == 0 ? 20 : 0;
    Agents agents(ranks, seed);
    agents.tick = std::chrono::milliseconds(10);
    agents.repeat_after = std::chrono::milliseconds(40);
    agents.lost_message_percent = seed % 5 == 0 ? 20 : 0;
    std::mt19937_64 random(seed);
    MapSwitch standby;
    for (int round = 0; round < 400; ++round) {
      agents.Run(agents.tick * (1 + random() % 6));
      if (agents.owner.phase == SwitchPhase::kAborting) {
        ++aborted;
      }
      const bool is_switching = agents.owner.phase > SwitchPhase::kPreparing;
      if (is_switching && random() % 3 == 0) {
        agents.frozen_until[static_cast<uint32_t>(random() % kRanks)] =
            ranks.now + std::chrono::milliseconds(random() % 3000);
      }
      if (is_switching && random() % 8 == 0) {
        agents.RestartOwner();
      }
      if (random() % 4 == 0) {
        agents.TakeOver(standby);
      } else {
        standby = {};
      }
    }
    REQUIRE_FALSE(ranks.is_split);
  }
  CHECK(aborted > 100);
}

// Failure: while half of the orders were lost, each switch kept its group
// waiting for half a second, one after the other, and every stream was late.
TEST_CASE("A slow switch is followed by a cooldown") {
  SimulatedRanks ranks(kRanks, 3);
  ranks.late_order_percent = 60;
  Agents agents(ranks, 3);
  int waiting_ticks = 0;
  constexpr int kTicks = 600;
  for (int tick = 0; tick < kTicks; ++tick) {
    agents.Run(kTick);
    waiting_ticks += is_waiting(ranks) ? 1 : 0;
  }
  CHECK(waiting_ticks < kTicks / 8);
  CHECK_FALSE(ranks.is_split);
}

// Failure: one order in ten is not answered. The group waits until each of 32
// ranks has got its order to arm again, and all its streams are late by one
// pass.
TEST_CASE("A switch while orders are lost does not make a group's pass late") {
  constexpr Duration kLongestPause = std::chrono::milliseconds(120);
  constexpr int kSwitches = 100;
  int late = 0;
  for (uint64_t seed = 0; seed < kSwitches; ++seed) {
    SimulatedRanks ranks(32, seed);
    ranks.late_order_percent = 6;
    Agents agents(ranks, seed);
    agents.tick = std::chrono::milliseconds(10);
    agents.repeat_after = std::chrono::milliseconds(50);
    agents.has_loss_reports = true;
    while (ranks.status(0).map == 0 &&
           ranks.now < TimePoint(std::chrono::seconds(1010))) {
      agents.Run(agents.tick);
      agents.owner.pass = std::chrono::milliseconds(60);
      agents.owner.pass_began = ranks.pass_began;
    }
    REQUIRE(ranks.status(0).map != 0);
    REQUIRE_FALSE(ranks.is_split);
    late += ranks.longest_pass > kLongestPause ? 1 : 0;
  }
  MESSAGE("late ", late);
  // 95 in 100 of all pauses are in time.
  CHECK(late <= kSwitches / 20);
}

// Failure: the hold itself takes a third of the time until all ranks are armed;
// left out of the estimate, it let the next pass be held where all ranks were
// armed 30 ms after it was due.
TEST_CASE("The time to arm a group counts from the request for its hold") {
  SimulatedRanks ranks(8, 1);
  Agents agents(ranks, 1);
  agents.tick = std::chrono::milliseconds(30);
  TimePoint requested_at{};
  while (agents.owner.phase != SwitchPhase::kReleasing) {
    agents.Run(agents.tick);
    if (requested_at == TimePoint{} && agents.owner.is_hold_requested) {
      requested_at = ranks.now;
    }
  }
  CHECK(agents.owner.arming_time >= ranks.now - requested_at);
}

// Failure: half of the orders were lost and the owner's machine froze while its
// group was held. Only the owner's machine could have released the group, and
// servers worked on for callers that had left.
TEST_CASE("A group whose ranks lose orders is not held") {
  MapSwitch map_switch;
  const TimePoint now{std::chrono::seconds(100)};
  const auto receive = [&](uint32_t losing, Version prepared) {
    for (uint32_t rank = 0; rank < 8; ++rank) {
      HandleStatus(map_switch,
                   {.group = "g",
                    .epoch = 1,
                    .rank = rank,
                    .size = 8,
                    .is_open = true,
                    .is_losing_orders = rank < losing,
                    .prepared = prepared},
                   now);
    }
  };
  receive(3, 0);
  CHECK_FALSE(is_ready_for_map(map_switch, now));
  receive(2, 0);
  REQUIRE(is_ready_for_map(map_switch, now));
  StartSwitch(map_switch, ExpertLists(1), now);
  SUBCASE("The switch is aborted before the group is held") {
    receive(3, 1);
    Continue(map_switch, now);
    CHECK(map_switch.phase == SwitchPhase::kIdle);
  }
  SUBCASE("Two ranks that lose orders do not abort the switch") {
    receive(2, 1);
    Continue(map_switch, now);
    CHECK(map_switch.phase == SwitchPhase::kHolding);
  }
}

// Failure: a rank restarted during a switch, and orders of the previous epoch
// reached its server.
TEST_CASE("Orders of a previous epoch are refused") {
  SimulatedRanks ranks(kRanks, 1);
  const Order old_order{
      .epoch = 1, .expected_sequence = 0, .body = Hold{.step = 5}};
  ranks.Restart(0);
  CHECK_FALSE(ranks.Execute(0, old_order));
}

namespace {

// Returns the owner's state when four ranks have all prepared a map.
MapSwitch PreparedSwitch(TimePoint now) {
  MapSwitch map_switch;
  RankStatus status{.group = "g",
                    .epoch = 1,
                    .size = kRanks,
                    .is_open = true,
                    .step = 40,
                    .map = 1};
  for (status.rank = 0; status.rank < kRanks; ++status.rank) {
    HandleStatus(map_switch, status, now);
  }
  StartSwitch(map_switch, ExpertLists(1, {{0}, {1}, {2}, {3}}), now);
  status.prepared = map_switch.desired_map.version;
  for (status.rank = 0; status.rank < kRanks; ++status.rank) {
    HandleStatus(map_switch, status, now);
  }
  map_switch.pass = std::chrono::milliseconds(110);
  return map_switch;
}

}  // namespace

// Failure: with passes of 110 ms after a demand shift, the old map stayed in
// force for a whole further pass although all copies were complete: the group
// was held two passes ahead although the running pass had just begun.
TEST_CASE(
    "A group is held at the next pass if there is time to arm all ranks") {
  const TimePoint now{std::chrono::seconds(1000)};
  MapSwitch map_switch = PreparedSwitch(now);
  SUBCASE("The pass has just begun") {
    map_switch.pass_began = now - std::chrono::milliseconds(15);
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 41);
  }
  SUBCASE("The pass is nearly over") {
    map_switch.pass_began = now - std::chrono::milliseconds(80);
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 42);
  }
  SUBCASE("The start of the pass is unknown") {
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 42);
  }
  SUBCASE("The map has just changed, so that this pass is shorter") {
    map_switch.pass_began = now - std::chrono::milliseconds(15);
    map_switch.in_force_since = map_switch.pass_began;
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 42);
  }
  SUBCASE("A rank loses orders") {
    RankStatus status = map_switch.ranks[2]->status;
    status.is_losing_orders = true;
    HandleStatus(map_switch, status, now);
    map_switch.pass_began = now;
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 42);
  }
  SUBCASE("Recent switches took long to arm") {
    map_switch.arming_time = std::chrono::milliseconds(150);
    map_switch.pass_began = now;
    Continue(map_switch, now);
    CHECK(map_switch.desired_map.hold_step == 42);
  }
}

}  // namespace bramleyspan::mapswitch
